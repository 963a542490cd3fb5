// Package preemption decides whether to preempt a running stream for a waiting
// interactive request, and which one. The preempted request resumes later at
// its offset.
//
// The load pattern it addresses: one workspace floods the fleet with batch
// requests of half a minute each while no other workspace has work, and so runs
// on more slots than its share. Then an interactive request of another
// workspace arrives. Fair sharing gives that workspace the next slot that
// becomes free; without preemption the request waits for one, and its wait is
// determined by the duration of other workspaces' requests.
//
// Preemption has a cost: the engine's KV cache of the stream is lost, and its
// prompt and all generated tokens must be prefilled again. A stream is
// therefore preempted only if an interactive request is waiting in a workspace
// below its share of the owner's slots, and only from a workspace at least two
// slots above its own share. Afterwards the victim is still at least one slot
// above its share and the recipient less than one, so two workspaces never take
// slots from each other in turn.
//
// The bounds protect against the following. Two slots above the share keep
// workspaces that are all close to their shares from taking slots from each
// other, which costs control traffic. Three preemptions per request limit its
// extra work to prefilling three times, and a twentieth of the slots per second
// limits how many streams prefill again. From three quarters of the expected
// cost on, the remaining work is about as large as the work to be repeated and
// as the wait that preemption would save.
package preemption

import "time"

const (
	// MaxPreemptions bounds how often one request is preempted.
	MaxPreemptions = 3
	// minExcessSlots is how many slots above its share a workspace must be to
	// give one up.
	minExcessSlots = 2
	// slotFractionPerSecond is the fraction of its slots that an owner may free
	// per second.
	slotFractionPerSecond = 0.05
	// nearlyDoneFraction is the fraction of the expected cost from which a
	// stream is not preempted.
	nearlyDoneFraction = 0.75
	// deadlineFactor is how many times the median service time must remain
	// before a request's deadline, because it has to be paused, prefilled again
	// and run to its end.
	deadlineFactor = 2
	// maxShareShift bounds how far a lead moves a workspace's share, as a
	// fraction of the share. It equals the ledger's own bound (2/3 of 3/4), so
	// that a slot granted by the ledger to repay a difference is not taken
	// back.
	maxShareShift = 0.5
)

// WorkspaceUsage is the slot usage and demand of a workspace at one owner of
// slots.
type WorkspaceUsage struct {
	Weight float64
	// Running counts its slots, including those being freed for it.
	Running int
	// Releasing counts the slots among them that are being taken from it.
	Releasing int
	// WaitingInteractive counts its waiting interactive requests for which no
	// slot is being freed.
	WaitingInteractive int
	// Lead is what the ledger withholds from it to repay a difference in
	// service, in slots over weight; a negative value is what the workspace is
	// owed.
	Lead float64
}

// Choose returns the workspace that a slot is to be freed for and the one that
// it is taken from, as indexes into list, which holds the workspaces that have
// slots or are waiting. It must be called only if no slot is free. Shares are
// the slots divided by weight, minus the leads. The recipient is the workspace
// furthest below its share, the victim the one with the most slots above its
// share.
func Choose(slots int, list []WorkspaceUsage) (recipient, victim int, ok bool) {
	totalWeight := 0.0
	for _, s := range list {
		totalWeight += s.Weight
	}
	fairSlots := float64(slots) / totalWeight
	recipient, victim = -1, -1
	var minFraction, maxExcess float64
	for i, s := range list {
		lead := s.Weight * max(-maxShareShift*fairSlots, min(s.Lead, maxShareShift*fairSlots))
		share := fairSlots * s.Weight
		if fraction := (float64(s.Running) + lead) / share; s.WaitingInteractive > 0 && fraction < 1 && (recipient < 0 || fraction < minFraction) {
			recipient, minFraction = i, fraction
		}
		if excess := float64(s.Running-s.Releasing) + lead - share; excess >= minExcessSlots && (victim < 0 || excess > maxExcess) {
			victim, maxExcess = i, excess
		}
	}
	return recipient, victim, recipient >= 0 && victim >= 0
}

// Stream is a running request as seen by its ingress.
type Stream struct {
	// Allowed is set if the request can be preempted and resumed: its service
	// allows preemption, its class is not interactive, and it may run in
	// several attempts.
	Allowed bool
	// Served is the service that it has received in all attempts, and Cost the
	// total it is expected to receive, in units of the service.
	Served, Cost float64
	// Preemptions counts how often it has been preempted.
	Preemptions int
	// Deadline is when the caller gives up; zero means never. MedianServiceTime
	// is the median service time of its class.
	Deadline          time.Time
	MedianServiceTime time.Duration
}

// Preemptible reports whether the stream may be preempted now.
func (s Stream) Preemptible(now time.Time) bool {
	if !s.Allowed || s.Preemptions >= MaxPreemptions || s.Served >= nearlyDoneFraction*s.Cost {
		return false
	}
	return s.Deadline.IsZero() || !now.Add(deadlineFactor*s.MedianServiceTime).After(s.Deadline)
}

// Budget is a token bucket that limits the slots that an owner frees by
// preemption. The zero value is a full bucket.
type Budget struct {
	tokens    float64
	updatedAt time.Time
}

// Available reports whether one more of the owner's slots may be freed now.
func (b *Budget) Available(now time.Time, slots int) bool {
	rate := slotFractionPerSecond * float64(slots)
	capacity := max(1, rate)
	if b.updatedAt.IsZero() {
		b.tokens, b.updatedAt = capacity, now
	}
	b.tokens = min(capacity, b.tokens+rate*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
	return b.tokens >= 1
}

// Spend records that a slot is being freed.
func (b *Budget) Spend() { b.tokens-- }
