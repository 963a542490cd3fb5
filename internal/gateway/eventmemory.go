package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// streamEnd ends a stream that holds too much memory, whatever it waits for. It is safe for concurrent use.
type streamEnd struct {
	caller *http.ResponseController
	// endExchange closes the connection to the target.
	endExchange context.CancelFunc

	mu             sync.Mutex
	writing, ended bool
}

// end makes the current read from the target fail, and the current write to the caller. The caller's connection
// is left alone if nothing is being written, as another target may continue the stream.
func (e *streamEnd) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.writing {
		e.ended = true
		// On failure the write goes on until the caller reads or is too slow.
		_ = e.caller.SetWriteDeadline(time.Unix(1, 0))
	}
	e.endExchange()
}

func (e *streamEnd) beginWrite() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing = true
}

// endWrite reports whether the connection to the caller may still be used.
func (e *streamEnd) endWrite() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing = false
	return !e.ended
}
