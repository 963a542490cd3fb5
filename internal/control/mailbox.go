package control

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

type event func(now time.Time)

func (c Config) withDefaults() Config {
	if c.TickInterval == 0 {
		c.TickInterval = defaultTickInterval
	}
	if c.MaxPendingEvents == 0 {
		c.MaxPendingEvents = defaultMaxPendingEvents
	}
	return c
}

// mailbox passes events to the goroutine that owns a daemon's control state.
type mailbox struct {
	events chan event
	done   chan struct{}
}

func newMailbox(cfg Config) mailbox {
	return mailbox{events: make(chan event, cfg.MaxPendingEvents), done: make(chan struct{})}
}

// run handles events and ticks until ctx ends, and calls afterBatch after each batch.
// untilTick returns the time until the next tick.
func (m *mailbox) run(ctx context.Context, untilTick func(now time.Time) time.Duration, tick event, afterBatch func()) {
	timer := time.NewTimer(untilTick(time.Now()))
	defer timer.Stop()
	defer close(m.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			// The current time rather than the time of the tick: the tick may have waited while
			// events with later times were handled, and time must not run backwards.
			tick(time.Now())
		case e := <-m.events:
			e(time.Now())
			m.drain()
		}
		afterBatch()
		timer.Reset(untilTick(time.Now()))
	}
}

// fixedInterval returns the arguments of run for ticks at a fixed interval, regardless of the
// number of events.
func fixedInterval(interval time.Duration, tick event) (untilTick func(now time.Time) time.Duration, onTick event) {
	next := time.Now().Add(interval)
	untilTick = func(now time.Time) time.Duration { return max(0, next.Sub(now)) }
	onTick = func(now time.Time) {
		next = now.Add(interval)
		tick(now)
	}
	return untilTick, onTick
}

// drain handles the events that are already queued, so that a burst of requests costs one
// message to each peer instead of one for each request.
func (m *mailbox) drain() {
	for range len(m.events) {
		(<-m.events)(time.Now())
	}
}

// post queues f for the control goroutine. It drops f and returns false if the loop has ended.
func (m *mailbox) post(f event) bool {
	select {
	case m.events <- f:
		return true
	case <-m.done:
		return false
	}
}

// postAndWait runs f on the control goroutine and waits for it. It returns false if the loop
// has ended.
func (m *mailbox) postAndWait(f event) bool {
	done := make(chan struct{})
	if !m.post(func(now time.Time) { f(now); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-m.done:
		return false
	}
}

// waiters holds the channels on which requests wait for their result. Each channel is buffered
// and gets exactly one value.
type waiters[T any] map[ident.Request]chan T

func (w waiters[T]) deliver(id ident.Request, result T) {
	if c, ok := w[id]; ok {
		delete(w, id)
		c <- result
	}
}

func (w waiters[T]) deliverAll(result func() T) {
	for id := range w {
		w.deliver(id, result())
	}
}

// awaitResult waits for a result. If ctx ends first it returns what withdraw returns. If the
// loop ends first it returns the result that was delivered before, or what stopped returns if
// there is none.
func awaitResult[T any](ctx context.Context, m *mailbox, result <-chan T, stopped, withdraw func() T) T {
	select {
	case r := <-result:
		return r
	case <-m.done:
		select {
		case r := <-result:
			return r
		default:
			return stopped()
		}
	case <-ctx.Done():
		return withdraw()
	}
}
