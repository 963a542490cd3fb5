// Package logging writes the log without ever blocking requests, and limits its
// volume.
//
// The load pattern it addresses: under overload or while a target fails, each
// request produces a log line. Writes that block on a slow reader of standard output
// would stall requests, and a log without rate limits would cost more processor time
// than the requests that it reports.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queueCapacity is the capacity of the queue in lines: several seconds of the
// rate-limited log, about 300 KB.
const queueCapacity = 1024

// Writer queues lines and writes them to another writer from one goroutine. If the
// queue is full, lines are dropped and counted. It is safe for concurrent use.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that writes to output. The caller must close it.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
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

// Dropped returns how many lines have been dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and ends the goroutine; it waits at most one second.
// Write must not be called after Close.
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
		// The error is ignored: there is nowhere else to report a failing log.
		_, _ = w.output.Write(batch)
	}
}

// RateLimiter limits the rate of one kind of line. It is safe for concurrent use.
type RateLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

// NewRateLimiter returns a RateLimiter that allows perSecond lines a second, and a
// burst of the same size.
func NewRateLimiter(perSecond int) *RateLimiter {
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// Allow reports whether a line may be written, and counts the line as suppressed if
// not.
func (l *RateLimiter) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// TakeSuppressed returns how many lines have been suppressed since the last call.
func (l *RateLimiter) TakeSuppressed() uint64 { return l.suppressed.Swap(0) }
