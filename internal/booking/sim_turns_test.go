package booking_test

import "time"

// turns models the event loop of a daemon that is not always scheduled (control.mailbox): events
// are queued until its next turn, which handles all of them, and a tick that has become due
// meanwhile comes before or after them. Replies are given up after them.
type turns struct {
	// period and run are the length of a scheduling period and the part of it in which the
	// daemon runs; offset shifts the periods.
	period, run, offset time.Duration
	// active, if set, reports whether the daemon is delayed at a time at all.
	active func(at time.Duration) bool
	// tickFirst reports whether a tick that is due is handled before the queued events.
	tickFirst func() bool
	queued    []func()
	timerAt   time.Time
}

// next returns when the daemon next runs.
func (t *turns) next(now time.Time) time.Time {
	at := now.Sub(time.Unix(1000, 0))
	if t.active != nil && !t.active(at) {
		return now
	}
	in := (at + t.offset) % t.period
	if in < t.run {
		return now
	}
	return now.Add(t.period - in)
}

// setTurns makes a daemon handle its events in turns.
func (s *sim) setTurns(d *daemon, t *turns) {
	d.turns = t
	t.timerAt = s.now
	s.wakeAt(d, s.now)
}

// post handles an event of a daemon, now or in its next turn.
func (s *sim) post(d *daemon, event func()) {
	if d.turns == nil {
		event()
		s.applyEffects(d)
		return
	}
	d.turns.queued = append(d.turns.queued, event)
	if len(d.turns.queued) == 1 {
		s.wakeAt(d, s.now)
	}
}

func (s *sim) wakeAt(d *daemon, at time.Time) {
	s.schedule(d.turns.next(at).Sub(s.now), func() { s.wake(d) })
}

// wake is one turn of a daemon.
func (s *sim) wake(d *daemon) {
	t := d.turns
	due := !s.now.Before(t.timerAt)
	if d.dead || len(t.queued) == 0 && !due {
		return
	}
	if due && (len(t.queued) == 0 || t.tickFirst()) {
		d.core.TickExceptReplies(s.now)
		if len(t.queued) == 0 {
			d.core.GiveUpReplies(s.now, s.now)
		}
		s.applyEffects(d)
	}
	for len(t.queued) > 0 {
		events := t.queued
		t.queued = nil
		for _, event := range events {
			event()
		}
		s.applyEffects(d)
	}
	t.timerAt = s.now.Add(d.core.NextTick(s.now))
	s.wakeAt(d, t.timerAt)
}
