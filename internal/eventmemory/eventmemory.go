// Package eventmemory decides which streams are ended because the incomplete events of all streams take more memory
// than a VM has for them.
//
// An event is kept until it is complete, and one that does not end is bounded by its size alone. The load pattern
// is a target that begins an event in each of its streams and ends none: a hundred events below that bound fill a
// small VM. The package uses neither a network nor a clock; a stream is ended by a function that its owner passes in.
package eventmemory

import (
	"errors"
	"sync"
	"time"
)

const (
	// UncountedBytes is what a stream may hold without being counted, so that no stream of ordinary events is
	// ended because of others, nor takes a lock. The number of callers' connections bounds what these streams
	// hold together.
	UncountedBytes = 32 << 10
	// limitFraction is the fraction of a VM's memory that the counted streams may hold.
	limitFraction = 1.0 / 32
	// defaultLimit is the same in bytes if the memory of the VM is not known.
	defaultLimit = 8 << 20
	// reserveFactor is how much of the limit may be held while streams that were ended release their memory.
	reserveFactor = 2
	// smallFraction is the part of the limit up to which a stream is not ended for the memory of those, unless all
	// streams hold maxHeldFactor times the limit.
	smallFraction = 16
	maxHeldFactor = 3
	// minCountedAge and maxCountedAge bound the age of an event in the comparison of streams. An event that a target
	// sends at once is complete within the former, or little more on a busy VM. The larger their quotient is, the
	// more streams with slow sound events are ended for larger events of faulty targets that are only younger.
	minCountedAge = 10 * time.Millisecond
	maxCountedAge = 30 * time.Millisecond
	// maxEndingFraction is the part of the limit that streams which were ended may hold while others are compared
	// by age. Above it, the stream that grows is to end rather than an older one that releases its memory later.
	maxEndingFraction = 4
)

// ErrEnded is the error of a stream that was ended for the memory that it held.
var ErrEnded = errors.New("the events of the streams take too much memory, and this one holds most for its age")

// Budget is what all streams of a daemon may hold together. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	// held is what the counted streams hold, and ending the part of those that were ended and have not released
	// it yet.
	held, ending int64
	counted      map[*Stream]struct{}
	now          func() time.Time
}

// New returns the budget of a VM with the given memory; zero means that it is not known. Now returns the current time.
// It must neither block nor call the budget.
func New(memoryBytes int64, now func() time.Time) *Budget {
	limit := int64(float64(memoryBytes) * limitFraction)
	if memoryBytes <= 0 {
		limit = defaultLimit
	}
	return &Budget{limit: limit, counted: map[*Stream]struct{}{}, now: now}
}

// Held returns the number of bytes that the counted streams hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Stream is what one stream holds. Apart from Ended, its methods are called by one goroutine at a time. A nil Stream
// is not bounded.
type Stream struct {
	budget *Budget
	end    func()
	// bytes is what the stream holds, without what is not counted. It and the fields below are protected by the
	// lock of the budget.
	bytes int64
	// eventStart is when the stream began to be counted, or when the bytes last decreased. They decrease only as
	// an event is complete or delivered.
	eventStart time.Time
	ended      bool
}

// NewStream returns a stream that holds nothing. End is called at most once, when the stream is to end because of
// what it holds, and not after Release. It must neither block nor call the budget.
func (b *Budget) NewStream(end func()) *Stream { return &Stream{budget: b, end: end} }

// Hold records that the stream holds this many bytes. It returns ErrEnded if the stream is to end.
func (s *Stream) Hold(bytes int) error {
	if s == nil {
		return nil
	}
	counted := int64(bytes)
	if counted <= UncountedBytes {
		counted = 0
	}
	if counted == s.bytes { // only this goroutine changes it
		return nil
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	grows := counted > s.bytes
	b.set(s, counted)
	if grows && !s.ended {
		b.enforce(s)
	}
	if s.ended {
		return ErrEnded
	}
	return nil
}

// NextEvent records that an event is complete: what the stream holds from now on has an age of its own.
func (s *Stream) NextEvent() {
	if s == nil || s.bytes == 0 { // only this goroutine changes it
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.eventStart = s.budget.now()
}

// Release records that the stream holds nothing any more.
func (s *Stream) Release() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.set(s, 0)
}

// Ended reports whether the stream was ended because of what it held.
func (s *Stream) Ended() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.ended
}

// set records what a stream holds. The caller holds the lock.
func (b *Budget) set(s *Stream, bytes int64) {
	if bytes < s.bytes || s.bytes == 0 {
		s.eventStart = b.now()
	}
	b.held += bytes - s.bytes
	if s.ended {
		b.ending += bytes - s.bytes
	}
	s.bytes = bytes
	if bytes > 0 {
		b.counted[s] = struct{}{}
	} else {
		delete(b.counted, s)
	}
}

// enforce ends streams until the others are within the limit. The stream that has just grown also ends if those that
// were ended before have not released enough. The caller holds the lock.
func (b *Budget) enforce(grown *Stream) {
	if b.held-b.ending > b.limit {
		now := b.now()
		for b.held-b.ending > b.limit {
			b.endStream(b.largest(grown, now))
		}
	}
	if b.exceedsReserve(grown) && !grown.ended {
		b.endStream(grown)
	}
}

// exceedsReserve reports whether a stream that grows is to end for the memory that ended streams have not released.
func (b *Budget) exceedsReserve(grown *Stream) bool {
	isSmall := grown.bytes <= b.limit/smallFraction
	return b.held > maxHeldFactor*b.limit || b.held > reserveFactor*b.limit && !isSmall
}

// largest returns the stream that holds most, weighted by age unless streams that were ended are slow to release their
// memory. Among equals it is the one that has just grown, as it releases its memory at once.
func (b *Budget) largest(grown *Stream, now time.Time) *Stream {
	weight := func(s *Stream) int64 { return s.weightedBytes(now) }
	if b.ending > b.limit/maxEndingFraction {
		weight = func(s *Stream) int64 { return s.bytes }
	}
	largest := grown
	for s := range b.counted {
		if !s.ended && (largest.ended || weight(s) > weight(largest)) {
			largest = s
		}
	}
	return largest
}

// weightedBytes returns what a stream holds, multiplied by the age of its event between the bounds. A sound event that
// has just begun thus counts less than one of a similar size that does not end.
func (s *Stream) weightedBytes(now time.Time) int64 {
	return s.bytes * int64(min(max(now.Sub(s.eventStart), minCountedAge), maxCountedAge)/time.Millisecond)
}

func (b *Budget) endStream(s *Stream) {
	s.ended = true
	b.ending += s.bytes
	s.end()
}
