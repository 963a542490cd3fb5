package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/savorystall/savorystall/internal/event"
)

// accepting tells of each listener of callers' connections, by a channel that is closed, that
// all it has accepted are known to the server.
type accepting struct{ callers, takeovers, returned <-chan struct{} }

// drain ends the serving of callers: nothing further is accepted, and what was accepted is
// answered, here or by a neighbour. It returns when no request is left or ctx ends.
//
// Each listener is waited for before its connections are: one that was accepted and is not known
// yet would be closed by the shutdown once its request is read.
func (r *routedServers) drain(ctx context.Context, h *handovers, a accepting) {
	if r.takeoverListener != nil {
		_ = r.takeoverListener.Close() // what waits there is not taken, and its neighbour knows
		<-a.takeovers
	}
	r.connections.closeUnused(time.Now())
	r.callersListener.drain()
	<-a.callers
	h.settle(ctx)
	_ = h.returned.Close() // ends without an error
	<-a.returned
	r.connections.settle(ctx)
	// What is left are connections without a request.
	_ = r.callers.Shutdown(ctx)
}

// warnOfDrain logs what a planned stop waits for, each time that it has waited for so long, until
// ctx ends.
func (r *routedServers) warnOfDrain(ctx context.Context, every time.Duration, h *handovers, log *slog.Logger) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			use := r.connections.use()
			event.DrainStuck.Log(log, "with_request", use.busy, "without_request", use.fresh, "closing", use.ending, "passed_on", h.active.Load())
		}
	}
}
