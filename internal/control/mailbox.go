package control

import (
	"context"
	"time"
)

type event func(now time.Time)

func (c Config) withDefaults() Config {
	if c.Tick == 0 {
		c.Tick = defaultTick
	}
	if c.Events == 0 {
		c.Events = defaultEvents
	}
	return c
}

// mailbox carries events to the goroutine that owns a daemon's control state.
type mailbox struct {
	events chan event
	done   chan struct{}
}

func newMailbox(cfg Config) mailbox {
	return mailbox{events: make(chan event, cfg.Events), done: make(chan struct{})}
}

// run handles events and ticks until ctx ends. After each batch it calls settle. Due
// returns the time to the next tick.
func (m *mailbox) run(ctx context.Context, due func(now time.Time) time.Duration, tick event, settle func()) {
	timer := time.NewTimer(due(time.Now()))
	defer timer.Stop()
	defer close(m.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			// Not the tick's own time: it may have waited while events with
			// later times were handled, and time must not run backwards.
			tick(time.Now())
		case e := <-m.events:
			e(time.Now())
			m.drain()
		}
		settle()
		timer.Reset(due(time.Now()))
	}
}

// regularly returns what run needs to tick at one interval, however many events come.
func regularly(every time.Duration, tick event) (due func(now time.Time) time.Duration, ticks event) {
	next := time.Now().Add(every)
	due = func(now time.Time) time.Duration { return max(0, next.Sub(now)) }
	ticks = func(now time.Time) {
		next = now.Add(every)
		tick(now)
	}
	return due, ticks
}

// drain handles the events that already wait, so that a burst of requests costs
// one message to each peer instead of one a request.
func (m *mailbox) drain() {
	for range len(m.events) {
		(<-m.events)(time.Now())
	}
}

// do runs f on the control goroutine, or drops it once the loop has ended.
func (m *mailbox) do(f event) bool {
	select {
	case m.events <- f:
		return true
	case <-m.done:
		return false
	}
}

// call runs f on the control goroutine and waits for it.
func (m *mailbox) call(f event) bool {
	ran := make(chan struct{})
	if !m.do(func(now time.Time) { f(now); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-m.done:
		return false
	}
}
