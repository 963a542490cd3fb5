// Package preemption decides whether a running stream is stopped for a waiting
// question, and which one. The stopped request goes on later at its offset.
//
// The load pattern it answers: one workspace floods the fleet with drafts of
// half a minute while no other has work, and so runs on more slots than its
// share. Then a person of another workspace asks. Fair sharing gives that
// workspace the next slot that becomes free; without preemption the question
// waits for one, and its wait is set by the length of other people's requests.
//
// A stop costs: the engine's cache of the stream is lost, and its prompt and all
// that it generated are read again. So it happens only where a question waits of
// a workspace below its share of the owner's slots, at the expense of one that
// is at least two slots above its own. After it the one that gave is still a slot
// above its share and the one that got less than that, so that no two workspaces
// take slots from each other in turn.
//
// What the bounds protect: two slots above the share keep workspaces that all stand near
// their shares from taking slots from each other, which costs control traffic. Three stops
// of one request bound its extra work to three readings, and a twentieth of the slots a
// second bounds those that read again. From three quarters of the expected cost on, what is
// left is of the size of what would be read again and of the wait that it saves.
package preemption

import "time"

const (
	// MostStops bounds how often one request is stopped.
	MostStops = 3
	// overShare is how many slots above its share a workspace gives one.
	overShare = 2
	// slotsPerSecond is the part of an owner's slots that it may free a second.
	slotsPerSecond = 0.05
	// nearlyDone is the part of the expected cost from which a stream is left alone.
	nearlyDone = 0.75
	// deadlineFactor is how many times the typical time of a request must be left
	// to its deadline: it is paused, reads again, and runs on.
	deadlineFactor = 2
	// authority bounds how far a lead moves a workspace's share, as a part of it.
	// It is the ledger's own bound (2/3 of 3/4), so that a slot that the ledger
	// gave to repay a difference is not taken back.
	authority = 0.5
)

// Standing is how a workspace stands at one owner of slots.
type Standing struct {
	Weight float64
	// Running counts its slots, with those that are being freed for it.
	Running int
	// Leaving counts those of them that are being taken from it.
	Leaving int
	// Questions counts its waiting interactive requests for which no slot is
	// being freed.
	Questions int
	// Lead is what the ledger takes from it to repay a difference in service, in
	// slots over weight; below zero, what it is owed.
	Lead float64
}

// Choose returns the workspace that a slot is to be freed for and the one that
// it is taken from, as indexes into the list of those that have slots or wait.
// It is called where none of the slots is free. Shares are the slots divided by
// weight, less the leads. The one that gets is furthest below its share, the one
// that gives has the most slots above its own.
func Choose(slots int, list []Standing) (to, from int, ok bool) {
	weights := 0.0
	for _, s := range list {
		weights += s.Weight
	}
	fair := float64(slots) / weights
	to, from = -1, -1
	var least, most float64
	for i, s := range list {
		owed := s.Weight * max(-authority*fair, min(s.Lead, authority*fair))
		share := fair * s.Weight
		if part := (float64(s.Running) + owed) / share; s.Questions > 0 && part < 1 && (to < 0 || part < least) {
			to, least = i, part
		}
		if over := float64(s.Running-s.Leaving) + owed - share; over >= overShare && (from < 0 || over > most) {
			from, most = i, over
		}
	}
	return to, from, to >= 0 && from >= 0
}

// Stream is a running request, as its ingress knows it.
type Stream struct {
	// Allowed tells that the request can be stopped and go on: its service
	// allows it, its class is not interactive, and it may run in parts.
	Allowed bool
	// Served is what it has received in all its attempts, Cost what it is
	// expected to receive, in units of the service.
	Served, Cost float64
	// Stops counts how often it was stopped.
	Stops int
	// Deadline is when its caller gives up; zero means never. Typical is the
	// time that requests of its class take.
	Deadline time.Time
	Typical  time.Duration
}

// Stoppable tells whether the stream may be stopped now.
func (s Stream) Stoppable(now time.Time) bool {
	if !s.Allowed || s.Stops >= MostStops || s.Served >= nearlyDone*s.Cost {
		return false
	}
	return s.Deadline.IsZero() || !now.Add(deadlineFactor*s.Typical).After(s.Deadline)
}

// Allowance bounds the slots that an owner frees by preemption. The zero value
// is ready, and full.
type Allowance struct {
	left float64
	at   time.Time
}

// Open tells whether one more slot of so many may be freed now.
func (a *Allowance) Open(now time.Time, slots int) bool {
	rate := slotsPerSecond * float64(slots)
	full := max(1, rate)
	if a.at.IsZero() {
		a.left, a.at = full, now
	}
	a.left = min(full, a.left+rate*max(0, now.Sub(a.at).Seconds()))
	a.at = now
	return a.left >= 1
}

// Spend counts a slot that is freed.
func (a *Allowance) Spend() { a.left-- }
