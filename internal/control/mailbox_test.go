package control

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is reported as not run when its loop ends although a target was
// assigned to it before: the caller would send it again while it may run.
func TestResultDeliveredBeforeTheLoopEndedIsNotLost(t *testing.T) {
	is := is.New(t)
	stopped := func() string { return "stopped" }
	withdraw := func() string { return "withdrawn" }
	for range 100 { // select picks at random among the channels that are ready
		m := newMailbox(Config{})
		w := waiters[string]{}
		w["r"] = make(chan string, 1)
		result := w["r"]
		w.deliver("r", "target")
		w.deliver("r", "again") // a second result is dropped and does not block
		w.deliverAll(stopped)
		close(m.done)
		is.Equal(awaitResult(t.Context(), &m, result, stopped, withdraw), "target")
		is.Equal(awaitResult(t.Context(), &m, result, stopped, withdraw), "stopped")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m := newMailbox(Config{})
	is.Equal(awaitResult(ctx, &m, make(chan string, 1), stopped, withdraw), "withdrawn")
}
