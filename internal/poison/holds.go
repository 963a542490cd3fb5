package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// firstHoldLifetime is how long a hold lasts for the first time. The time grows by the factor
	// holdGrowth up to maxHoldLifetime each time that a target ends right after it: three times in
	// the first day. Targets that end whatever they run, as after a faulty release, have many
	// requests held that do no harm.
	firstHoldLifetime = 10 * time.Minute
	holdGrowth        = 8
	maxHoldLifetime   = 24 * time.Hour
	// maxHolds bounds the holds; the oldest are dropped first.
	maxHolds = 4096
	// maxExpired bounds the expired holds that are known.
	maxExpired = 4096
)

// activeHold is a hold until it expires.
type activeHold struct {
	Hold
	until time.Time
	// stored reports that this daemon has written it to the store, and has to delete it there.
	stored bool
}

// expiredHold is a hold that has expired; times is how often. One crash is enough to begin it again.
type expiredHold struct {
	Hold
	times int
}

// holdsRun reports whether a request that was in progress is held by now.
func (c *Core) holdsRun(run *Run) bool {
	if _, held := c.held[run.Request.Fingerprint]; held {
		return true
	}
	if len(run.Parts) == 0 {
		return false
	}
	var parts PartSet
	for _, p := range run.Parts {
		parts = append(parts, p.Part.ID)
	}
	parts = NewPartSet(parts...)
	for _, h := range c.held {
		if h.appliesTo(run.Request.Workspace, run.Parts[0].Part.Service, parts) {
			return true
		}
	}
	return false
}

// holdsCrash reports whether the request of a crash is held by now.
func (c *Core) holdsCrash(crash *Crash) bool {
	for _, h := range c.held {
		if h.matches(crash) {
			return true
		}
	}
	return false
}

// expiredHoldOf returns the expired hold that the request of a crash was held by.
func (c *Core) expiredHoldOf(crash *Crash) (Hold, bool) {
	for _, h := range c.expired {
		if h.matches(crash) {
			return h.Hold, true
		}
	}
	return Hold{}, false
}

// holds reports whether a subject is held, by itself or together with others.
func (c *Core) holds(f Fingerprint) bool {
	for _, h := range c.held {
		if h.has(f) {
			return true
		}
	}
	return false
}

func (c *Core) hasExpired(f Fingerprint) bool {
	for _, h := range c.expired {
		if h.has(f) {
			return true
		}
	}
	return false
}

// decide begins a hold for the whole fleet.
func (c *Core) decide(now time.Time, h Hold) {
	if c.hold(now, h, true) {
		c.broadcast(func(m *Message) { m.Held = append(m.Held, h) })
	}
}

// hold begins to hold requests back, and reports whether they were not held. The targets that they
// have ended count less against what ran beside them.
func (c *Core) hold(now time.Time, h Hold, persist bool) (began bool) {
	key := h.Key()
	if _, held := c.held[key]; held {
		return false
	}
	for otherKey, other := range c.held {
		if h.covers(&other.Hold) {
			c.endHold(otherKey, persist)
		}
	}
	if len(c.held) >= maxHolds {
		c.dropOldestHold()
	}
	c.held[key] = activeHold{h, now.Add(holdLifetime(c.expired[key].times)), persist}
	if len(h.Beside) == 0 {
		c.forgetSuspect(h.Fingerprint)
	}
	c.explainAll(h.Ended)
	c.tableChanged = true
	c.effects = append(c.effects, HoldBegan{Hold: h, Persist: persist})
	return true
}

// holdLifetime returns how long a hold lasts that has expired that often before.
func holdLifetime(expired int) time.Duration {
	lifetime := firstHoldLifetime
	for range expired {
		lifetime = min(maxHoldLifetime, holdGrowth*lifetime)
	}
	return lifetime
}

// explainAll records which processes have ended for a held request.
func (c *Core) explainAll(ended []Process) {
	for _, p := range ended {
		c.explain(p)
	}
	for _, table := range []suspects{c.suspects, c.own} {
		for _, s := range table {
			s.explain(ended)
		}
	}
}

// receiveHold begins a hold that another daemon has decided. What has run to its end here is no
// cause, which that daemon may not have known.
func (c *Core) receiveHold(now time.Time, h Hold) {
	c.hold(now, h, false)
	for _, s := range h.members() {
		if c.recent.Contains(now, s) {
			c.reportCompleted(now, s.Fingerprint)
		}
	}
}

// Recall begins the holds that the store has.
func (c *Core) Recall(now time.Time, holds []Hold) {
	for _, h := range holds {
		c.hold(now, h, false)
	}
}

func (c *Core) dropOldestHold() {
	keys := slices.Collect(maps.Keys(c.held))
	oldest := slices.MinFunc(keys, func(a, b Fingerprint) int { return c.held[a].until.Compare(c.held[b].until) })
	c.endHold(oldest, c.keeps(oldest))
}

// expireHold ends a hold whose time is over. Each daemon does so by itself; a keeper deletes it from
// the store.
func (c *Core) expireHold(now time.Time, key Fingerprint, h activeHold) {
	if len(c.expired) >= maxExpired {
		clear(c.expired)
	}
	c.expired[key] = expiredHold{h.Hold, c.expired[key].times + 1}
	for _, s := range h.members() {
		c.watch(now, s) // a run to its end clears it for good
	}
	c.endHold(key, c.keeps(key))
}

func (c *Core) endHold(key Fingerprint, forget bool) {
	h := c.held[key]
	delete(c.held, key)
	c.tableChanged = true
	c.effects = append(c.effects, HoldEnded{Hold: h.Hold, Forget: forget || h.stored})
}

// release ends the hold with the given key, and those of a subject: parts that were held together
// with it stay held. Persist reports that this daemon writes the change to the store. It reports
// whether there was such a hold.
func (c *Core) release(now time.Time, f Fingerprint, persist bool) (held bool) {
	c.clearPart(f)
	for key, h := range c.held {
		if key != f && !h.has(f) {
			continue
		}
		held = true
		c.endHold(key, persist)
		if rest, ok := h.without(f); ok {
			c.hold(now, rest, persist)
			continue
		}
		for _, s := range h.members() {
			c.forgetSuspect(s.Fingerprint)
		}
	}
	maps.DeleteFunc(c.expired, func(key Fingerprint, h expiredHold) bool { return key == f || h.has(f) })
	c.forgetSuspect(f)
	return held
}

// clearPart takes a part that is not to blame out of what came beside others.
func (c *Core) clearPart(f Fingerprint) {
	w, watched := c.watched[f]
	if !watched || !w.subject.IsPart() {
		return
	}
	for _, table := range []suspects{c.suspects, c.own} {
		for _, s := range table {
			s.dropPart(w.subject)
		}
	}
}
