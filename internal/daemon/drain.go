package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/savorystall/savorystall/internal/event"
)

// acceptLoops holds one channel for each listener of callers' connections. A channel is
// closed once the server has registered all connections that its listener accepted.
type acceptLoops struct{ callers, forwarded, returned <-chan struct{} }

// drain stops serving callers: no further connections are accepted, and the accepted ones
// are answered, here or by a neighbour. It returns when no request is left or ctx ends.
//
// Each listener must have finished before its connections are drained: the shutdown would
// close a connection that was accepted but not yet registered as soon as its request is
// read.
func (r *routedServers) drain(ctx context.Context, forwarder *connForwarder, loops acceptLoops) {
	if r.forwardedListener != nil {
		_ = r.forwardedListener.Close() // pending connections are not accepted, which the neighbours notice
		<-loops.forwarded
	}
	r.connections.closeInactive(time.Now())
	r.callersListener.drain()
	<-loops.callers
	forwarder.wait(ctx)
	_ = forwarder.returned.Close() // never fails
	<-loops.returned
	r.connections.drain(ctx)
	// The remaining connections hold no request.
	_ = r.callers.Shutdown(ctx)
}

// logDrainProgress logs what a graceful shutdown waits for, once per interval, until ctx
// ends.
func (r *routedServers) logDrainProgress(ctx context.Context, interval time.Duration, forwarder *connForwarder, log *slog.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			usage := r.connections.usage()
			event.DrainSlow.Log(log, "with_request", usage.active, "without_request", usage.pending, "closing", usage.closing, "passed_on", forwarder.active.Load())
		}
	}
}
