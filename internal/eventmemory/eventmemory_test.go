package eventmemory_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/eventmemory"
)

const (
	kb    = 1 << 10
	mb    = 1 << 20
	limit = 10 * mb
)

// stream is a stream that records that it was ended.
type stream struct {
	*eventmemory.Stream
	ended bool
	// bytes is what it holds.
	bytes int
}

// Hold records what the stream holds.
func (s *stream) Hold(bytes int) error {
	s.bytes = bytes
	return s.Stream.Hold(bytes)
}

// drawnTime is a time that a test sets.
type drawnTime struct{ time.Time }

func (d *drawnTime) now() time.Time { return d.Time }

func (d *drawnTime) advance(by time.Duration) { d.Time = d.Add(by) }

func newStream(b *eventmemory.Budget) *stream {
	s := &stream{}
	s.Stream = b.NewStream(func() { s.ended = true })
	return s
}

// Guards against events without an end that fill a VM together, and against streams with small or few events that
// are ended in place of those that hold most.
func TestStreamsThatHoldMostAreEnded(t *testing.T) {
	is := is.New(t)
	b := eventmemory.New(32*limit, new(drawnTime).now)
	var ordinary, medium, endless []*stream
	for range 1000 {
		s := newStream(b)
		is.NoErr(s.Hold(eventmemory.UncountedBytes))
		ordinary = append(ordinary, s)
	}
	for range 20 {
		s := newStream(b)
		is.NoErr(s.Hold(100 * kb))
		medium = append(medium, s)
	}
	for range 128 {
		endless = append(endless, newStream(b))
	}
	for bytes := 64 * kb; bytes <= mb; bytes *= 2 {
		for _, s := range endless {
			if s.Hold(bytes) != nil || s.ended {
				s.Release()
			}
			is.True(b.Held() <= limit+mb)
		}
	}
	for _, s := range append(ordinary, medium...) {
		is.True(!s.ended)
	}
	left := 0
	for _, s := range endless {
		if !s.ended {
			left++
		}
	}
	is.True(left > 0 && left <= 8) // 2 of 10 MB are taken by the medium ones
}

// Guards against memory that grows beyond the limit while streams that were ended still hold theirs, for example
// because their callers do not read.
func TestStreamsThatDoNotReleaseTheirMemoryCount(t *testing.T) {
	is := is.New(t)
	b := eventmemory.New(32*limit, new(drawnTime).now)
	var blocked []*stream
	for range 4 {
		s := newStream(b)
		is.NoErr(s.Hold(limit / 4))
		blocked = append(blocked, s)
	}
	refused := 0
	for range 128 {
		if s := newStream(b); s.Hold(mb) != nil {
			s.Release()
			refused++
		}
		is.True(b.Held() <= 2*limit)
	}
	is.NoErr(newStream(b).Hold(100 * kb)) // not for the memory of others
	for _, s := range blocked {
		is.True(s.ended)
		s.Release()
	}
	is.Equal(refused, 118) // 10 MB are taken by 10 of the others
	is.True(b.Held() <= limit+100*kb)
}

// Guards against a budget that is used up by streams which have ended or have shrunk.
func TestReleasedMemoryIsAvailableAgain(t *testing.T) {
	is := is.New(t)
	b := eventmemory.New(32*16*mb, new(drawnTime).now)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				s := newStream(b)
				for _, bytes := range []int{kb, mb, 2 * mb, 40 * kb, 0, mb} {
					if err := s.Hold(bytes); err != nil || s.Ended() {
						t.Error("a stream was ended within the limit")
					}
				}
				s.Release()
			}
		})
	}
	wait.Wait()
	is.Equal(b.Held(), int64(0))
}

// Guards against a stream that is ended twice, or after its connection may serve another request.
func TestStreamIsEndedOnceAndNotAfterItsRelease(t *testing.T) {
	is := is.New(t)
	b := eventmemory.New(32*limit, new(drawnTime).now)
	calls := 0
	first := &stream{}
	first.Stream = b.NewStream(func() { calls++ })
	is.NoErr(first.Hold(limit))
	is.NoErr(newStream(b).Hold(mb))
	is.Equal(calls, 1)
	is.True(first.Ended())
	is.Equal(first.Hold(2*mb), eventmemory.ErrEnded)
	is.Equal(first.Hold(12*mb), eventmemory.ErrEnded)
	first.Release()
	is.Equal(b.Held(), int64(mb))
	is.NoErr(newStream(b).Hold(9 * mb))
	is.Equal(calls, 1)
	is.NoErr((*eventmemory.Stream)(nil).Hold(2 * limit))
}

// holdEndless makes streams that hold 64 to 90 kB of an event which does not end, until the limit is reached, and lets
// them hold it for some time.
func holdEndless(is *is.I, b *eventmemory.Budget, clock *drawnTime) []*stream {
	var endless []*stream
	for i := range 128 {
		s := newStream(b)
		is.NoErr(s.Hold((64 + i%4*8) * kb))
		endless = append(endless, s)
	}
	for bytes := 66; b.Held() <= limit-90*kb; bytes += 2 {
		for i, s := range endless {
			if b.Held() <= limit-90*kb {
				is.NoErr(s.Hold(min(90, bytes+i%4*8) * kb))
			}
		}
	}
	clock.advance(100 * time.Millisecond)
	return endless
}

// countEnded returns the number of streams that were ended, and releases what they hold.
func countEnded(streams []*stream) (n int) {
	for _, s := range streams {
		if s.ended {
			s.Release()
			n++
		}
	}
	return n
}

// Guards against a sound stream that is ended in a flood of events which do not end, because its event is larger than
// theirs while it arrives.
func TestEventThatHasJustBegunIsNotEndedForOlderOnes(t *testing.T) {
	for name, sizes := range map[string][]int{
		"at once":  {100 * kb},
		"in parts": {36 * kb, 48 * kb, 64 * kb, 80 * kb, 100 * kb, 128 * kb},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &drawnTime{}
			b := eventmemory.New(32*limit, clock.now)
			endless := holdEndless(is, b, clock)
			sound := newStream(b)
			for range 5 { // events of one stream
				for _, bytes := range sizes {
					is.NoErr(sound.Hold(bytes))
					is.True(!sound.ended)
					clock.advance(3 * time.Millisecond)
				}
				is.NoErr(sound.Hold(4 * kb))
			}
			ended := countEnded(endless)
			is.True(ended > 0 && ended <= 3)
			is.True(b.Held() <= limit)
		})
	}
}

// Guards against sound events from slow targets that are ended in place of much larger ones of faulty targets, which
// are younger.
func TestOldEventsAreNotEndedForMuchLargerYoungOnes(t *testing.T) {
	for name, tc := range map[string]struct {
		bytes int
		age   time.Duration
	}{
		"1 MB at once":  {bytes: mb},
		"256 kB, 15 ms": {bytes: 256 * kb, age: 15 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &drawnTime{}
			b := eventmemory.New(32*limit, clock.now)
			var slow, endless []*stream
			for range 20 {
				s := newStream(b)
				is.NoErr(s.Hold(100 * kb))
				slow = append(slow, s)
			}
			clock.advance(time.Minute)
			for range 128 {
				s := newStream(b)
				endless = append(endless, s)
				_ = s.Hold(tc.bytes)
				clock.advance(tc.age)
				countEnded(endless)
				is.True(b.Held() <= limit)
			}
			is.Equal(countEnded(slow), 0)
		})
	}
}

// Guards against a stream whose age is that of its first event, so that a sound stream of large events is ended for
// one event that does not end.
func TestEachEventHasItsOwnAge(t *testing.T) {
	is := is.New(t)
	clock := &drawnTime{}
	b := eventmemory.New(32*limit, clock.now)
	sound, endless := newStream(b), newStream(b)
	is.NoErr(sound.Hold(2 * mb))
	clock.advance(100 * time.Millisecond)
	is.NoErr(endless.Hold(mb))
	for range 10 {
		is.NoErr(sound.Hold(mb + mb/2)) // the event is complete and the next one has begun
		clock.advance(10 * time.Millisecond)
		is.NoErr(sound.Hold(2 * mb))
	}
	for range 8 {
		is.NoErr(newStream(b).Hold(mb))
	}
	is.True(endless.ended)
	is.True(!sound.ended)
}

// Guards against a sound stream that is ended while it writes an event, for the time in which that event arrived.
func TestCompleteEventHasItsOwnAge(t *testing.T) {
	is := is.New(t)
	clock := &drawnTime{}
	b := eventmemory.New(32*limit, clock.now)
	endless := holdEndless(is, b, clock)
	sound := newStream(b)
	is.NoErr(sound.Hold(128 * kb))
	before := countEnded(endless)
	clock.advance(100 * time.Millisecond)
	sound.NextEvent()
	for countEnded(endless) == before && !sound.ended {
		is.NoErr(newStream(b).Hold(33 * kb))
	}
	is.True(!sound.ended)
	(*eventmemory.Stream)(nil).NextEvent()
}

// Guards against memory that grows on a VM which is short of processor time, where streams that were ended release
// their memory late, if an older stream is ended for each one that grows, which would release its own at once.
func TestOlderStreamsAreNotEndedWhileOthersReleaseLate(t *testing.T) {
	is := is.New(t)
	clock := &drawnTime{}
	b := eventmemory.New(32*limit, clock.now)
	endless := holdEndless(is, b, clock)
	for range 200 {
		if s := newStream(b); s.Hold(128*kb) != nil {
			s.Release()
		}
		is.True(b.Held() <= limit+limit/4+2*90*kb)
	}
	ended := countEnded(endless)
	is.True(ended > 0 && ended < len(endless))
	is.True(b.Held() <= limit)
}

// Guards against many streams, each of them small enough to grow while others release their memory late, that take
// several times the limit together. A daemon that is short of processor time releases memory late.
func TestSmallStreamsAreBoundedWhileOthersReleaseLate(t *testing.T) {
	const (
		step         = 10 * time.Millisecond
		releaseSteps = 10 // steps until a stream that was ended releases its memory
		streams      = 256
		newPerStep   = 10
	)
	is := is.New(t)
	clock := &drawnTime{}
	b := eventmemory.New(32*limit, clock.now)
	var flood []*stream
	stepsSinceEnd := map[*stream]int{}
	most := int64(0)
	for range 100 {
		for range min(newPerStep, streams-len(flood)) {
			flood = append(flood, newStream(b))
		}
		for _, s := range flood {
			if s.ended {
				stepsSinceEnd[s]++
				if stepsSinceEnd[s] == releaseSteps {
					s.Release()
				}
			} else if s.Hold(min(mb, s.bytes+32*kb)) != nil {
				s.Release() // its own goroutine
			}
			most = max(most, b.Held())
		}
		clock.advance(step)
	}
	t.Logf("%d kB were held at most, of a limit of %d", most/kb, limit/kb)
	is.True(most <= 3*limit)
}

// Guards against a flood that takes more than the limit because of how its events arrive.
func TestFloodIsBoundedHoweverItsEventsArrive(t *testing.T) {
	const streams = 128
	for name, tc := range map[string]struct {
		// sizes is what each stream holds in turn, and pause the time between two of them.
		sizes []int
		pause time.Duration
		// begins is the time between the starts of two streams.
		begins time.Duration
		// unread is set if streams that were ended do not release their memory.
		unread bool
		most   int64
	}{
		"a whole event at once":     {sizes: []int{mb}, most: limit},
		"small parts, slowly":       {sizes: []int{33 * kb, 64 * kb, 96 * kb, 128 * kb}, pause: 10 * time.Second, most: limit},
		"callers that do not read":  {sizes: []int{mb, mb + mb/2}, pause: time.Second, begins: 10 * time.Millisecond, unread: true, most: 2 * limit},
		"equal sizes, then growth":  {sizes: []int{70 * kb, 80 * kb, 90 * kb}, pause: time.Millisecond, most: limit},
		"new streams at short gaps": {sizes: []int{128 * kb}, begins: time.Millisecond, most: limit},
		"event after event":         {sizes: []int{mb, 40 * kb, mb, 40 * kb, mb}, pause: 5 * time.Millisecond, most: limit},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := &drawnTime{}
			b := eventmemory.New(32*limit, clock.now)
			var flood []*stream
			hold := func(s *stream, bytes int) {
				if s.ended {
					return
				}
				if s.Hold(bytes) != nil {
					s.Release() // its own goroutine
				}
				if !tc.unread {
					countEnded(flood)
				}
				is.True(b.Held() <= tc.most)
			}
			for range streams {
				s := newStream(b)
				flood = append(flood, s)
				hold(s, tc.sizes[0])
				clock.advance(tc.begins)
			}
			for _, bytes := range tc.sizes[1:] {
				clock.advance(tc.pause)
				for _, s := range flood {
					hold(s, bytes)
				}
			}
			ended := countEnded(flood)
			is.True(ended > 0 && ended < streams)
			is.True(b.Held() <= limit)
		})
	}
}

// Guards against a sequence of events, of any sizes and ages, that takes more than the limit.
func TestStreamsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &drawnTime{}
		b := eventmemory.New(32*limit, clock.now)
		streams := make([]*stream, 40)
		for i := range streams {
			streams[i] = newStream(b)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(streams)-1).Draw(t, "stream")
			s, before := streams[i], streams[i].bytes
			err := s.Hold(rapid.IntRange(0, 2*mb).Draw(t, "bytes"))
			if err == nil && s.bytes > max(before, limit/16) && b.Held() > 2*limit {
				t.Fatalf("a stream grew as %d bytes were held", b.Held())
			}
			kept := 0
			for _, other := range streams {
				if !other.ended && other.bytes > eventmemory.UncountedBytes {
					kept += other.bytes
				}
			}
			if kept > limit {
				t.Fatalf("streams that were not ended hold %d bytes", kept)
			}
			if s.ended && rapid.Bool().Draw(t, "released") {
				s.Release()
				streams[i] = newStream(b)
			}
		}
	})
}
