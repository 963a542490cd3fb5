package booking_test

import (
	"time"

	"github.com/savorystall/savorystall/internal/booking"
)

// engine is a simulated engine.
type engine struct {
	spec   booking.Target
	rate   float64 // tokens per millisecond
	freeAt time.Time
	// cached are the parts in the engine's cache, prefilling those whose prefill has started.
	cached, prefilling map[uint64]bool
	slotsUsed          int
	maxSlotsUsed       int
	down               bool
	// context is the number of prompt tokens of the requests that run on it.
	context int
	// waiting are the requests beyond its slots, in order of arrival.
	waiting []func()
}

// acquireSlot starts a request, or queues it if no slot is free.
func (e *engine) acquireSlot(start func()) {
	if e.slotsUsed >= e.spec.Slots {
		e.waiting = append(e.waiting, start)
		return
	}
	e.slotsUsed++
	e.maxSlotsUsed = max(e.maxSlotsUsed, e.slotsUsed)
	start()
}

// releaseSlot frees a slot for the first queued request.
func (e *engine) releaseSlot() {
	e.slotsUsed--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.acquireSlot(next)
	}
}

// prefillWork is the prefill cost of a request on the engine.
func (e *engine) prefillWork(j *job) float64 {
	uncached := j.Prompt
	for _, p := range j.Parts[:len(j.Parts)-1] {
		if !e.cached[p.ID] {
			break
		}
		uncached -= p.Tokens
	}
	return float64(uncached) * (1 + float64(uncached)/48000)
}
