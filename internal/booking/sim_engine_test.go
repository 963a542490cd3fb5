package booking_test

import (
	"time"

	"github.com/savorystall/savorystall/internal/booking"
)

// engine is a simulated engine.
type engine struct {
	spec booking.Target
	rate float64 // tokens a millisecond
	free time.Time
	// parts are those that it keeps, reading those that it reads.
	parts, reading map[uint64]bool
	used           int
	most           int
	down           bool
	// waiting are the requests beyond its slots, in order of arrival.
	waiting []func()
}

// enter begins a request's work, or lets it wait for a slot.
func (e *engine) enter(begin func()) {
	if e.used >= e.spec.Slots {
		e.waiting = append(e.waiting, begin)
		return
	}
	e.used++
	e.most = max(e.most, e.used)
	begin()
}

// leave frees a slot for the first that waits.
func (e *engine) leave() {
	e.used--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.enter(next)
	}
}

// work is what reading a request's prompt costs the engine.
func (e *engine) work(j *job) float64 {
	unread := j.Prompt
	for _, p := range j.Parts[:len(j.Parts)-1] {
		if !e.parts[p.ID] {
			break
		}
		unread -= p.Tokens
	}
	return float64(unread) * (1 + float64(unread)/48000)
}
