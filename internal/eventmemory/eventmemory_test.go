package eventmemory_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

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
}

func newStream(b *eventmemory.Budget) *stream {
	s := &stream{}
	s.Stream = b.NewStream(func() { s.ended = true })
	return s
}

// Guards against events without an end that fill a VM together, and against streams with small or few events that
// are ended in place of those that hold most.
func TestStreamsThatHoldMostAreEnded(t *testing.T) {
	is := is.New(t)
	b := eventmemory.New(32 * limit)
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
	b := eventmemory.New(32 * limit)
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
	b := eventmemory.New(32 * 16 * mb)
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
	b := eventmemory.New(32 * limit)
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
