// Package logging writes the log without ever making traffic wait for it, and
// bounds its volume.
//
// Load pattern: under overload or while a target fails, each request has
// something to tell. A log that blocks on a slow reader of standard output
// stops requests; one without bounds costs more processor time than the
// requests that it tells of.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queued is how many lines may wait for the writer: some seconds of a bounded
// log, about 300 KB.
const queued = 1024

// Writer passes lines on to another writer from one goroutine. Lines that find
// the queue full are dropped and counted. It is safe for concurrent use.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that is to be closed.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, queued), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits and ends the goroutine, within a second. Write must
// not be called any more.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for n := len(w.lines); n > 0; n-- {
			batch = append(batch, <-w.lines...)
		}
		// There is nowhere else to tell of a failing log.
		_, _ = w.to.Write(batch)
	}
}

// Budget bounds the lines of one kind. It is safe for concurrent use.
type Budget struct {
	limiter *rate.Limiter
	left    atomic.Uint64
}

// NewBudget allows so many lines a second, and a burst of as many.
func NewBudget(perSecond int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow tells whether a line may be written, and counts it where it may not.
func (b *Budget) Allow() bool {
	if b.limiter.Allow() {
		return true
	}
	b.left.Add(1)
	return false
}

// LeftOut returns how many lines were left out since the last call.
func (b *Budget) LeftOut() uint64 { return b.left.Swap(0) }
