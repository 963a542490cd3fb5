package poison

import (
	"slices"
	"time"
)

const (
	// maxParts bounds the parts of one prompt that are suspected at a crash.
	maxParts = 16
	// decisionDelay is how long a keeper waits before it holds parts: all daemons report the requests
	// that a target ran at about the same time, and any of them may narrow what is to blame.
	decisionDelay = 50 * time.Millisecond
	// otherCausesInterval is for how long before the last crash of a suspect other ends of targets
	// count, which it does not explain.
	otherCausesInterval = 10 * time.Second
)

// Crashed handles the end of a target with a request of this daemon in progress.
func (c *Core) Crashed(now time.Time, run Run) {
	if c.holdsRun(&run) {
		c.explain(run.Process)
		return
	}
	crash := Crash{Subject: run.Request, Request: run.Request.Filter, Process: run.Process, Early: run.Early, Ago: run.Ago}
	c.suspectCrash(now, crash)
	parts := c.suspectParts(now, run.Parts)
	for _, p := range parts {
		crash.Subject, crash.Beside = p, nil
		for _, other := range parts {
			if other.Part != p.Part {
				crash.Beside = crash.Beside.with(other.Part.ID)
			}
		}
		c.suspectCrash(now, crash)
	}
}

// suspectParts returns the parts of a prompt that have not lately run to their end.
func (c *Core) suspectParts(now time.Time, parts []Subject) (out []Subject) {
	for _, p := range parts {
		repeated := slices.ContainsFunc(out, func(s Subject) bool { return s.Part == p.Part })
		if len(out) < maxParts && !repeated && !c.recent.Contains(now, p) {
			out = append(out, p)
		}
	}
	return out
}

func (c *Core) suspectCrash(now time.Time, crash Crash) {
	if c.recent.Contains(now, crash.Subject) || !c.own.get(crash.Subject).add(c.newRecord(now, crash)) {
		return
	}
	c.watch(now, crash.Subject)
	c.report(now, crash)
}

func (c *Core) newRecord(now time.Time, crash Crash) crashRecord {
	if len(c.ended) >= maxExplained {
		clear(c.ended)
	}
	c.ended[crash.Process] = now.Add(-crash.Ago)
	return crashRecord{
		process: crash.Process, at: now.Add(-crash.Ago), early: crash.Early,
		prompts: []prompt{{crash.Request, crash.Beside}}, explained: c.explained[crash.Process],
	}
}

// report passes a crash to the keepers.
func (c *Core) report(now time.Time, crash Crash) {
	for _, id := range c.keepersOf(crash.Fingerprint) {
		if id == c.self {
			c.keep(now, crash)
			continue
		}
		m := c.messageTo(id)
		m.Crashes = append(m.Crashes, crash)
	}
}

// keep adds a crash to what this daemon knows as a keeper.
func (c *Core) keep(now time.Time, crash Crash) {
	if c.holdsCrash(&crash) {
		c.explain(crash.Process)
		return
	}
	if c.recent.Contains(now, crash.Subject) {
		return
	}
	s := c.suspects.get(crash.Subject)
	if !s.add(c.newRecord(now, crash)) {
		return
	}
	if h, expired := c.expiredHoldOf(&crash); expired {
		c.decide(now, h)
		return
	}
	if c.mustHold(s) {
		c.decideSoon(now, s)
		return
	}
	if blame, _ := s.blame(); blame >= watchBlame && !s.watched {
		s.watched = true
		c.watch(now, s.Subject)
		c.broadcast(func(m *Message) { m.Watched = append(m.Watched, s.Subject) })
		c.effects = append(c.effects, Suspected{s.Subject, s.processes()})
	}
}

// mustHold reports whether a suspect that this daemon keeps is to be held back.
func (c *Core) mustHold(s *suspect) bool {
	since := s.lastCrash().Add(-otherCausesInterval)
	if first := s.firstCrash(); first.Before(since) {
		since = first
	}
	ended := 0
	for process, at := range c.ended {
		if !at.Before(since) && !c.explained[process] {
			ended++
		}
	}
	return s.mustHold(ended)
}

// decideSoon holds a suspect: a request at once, a part after decisionDelay.
func (c *Core) decideSoon(now time.Time, s *suspect) {
	if !s.IsPart() {
		c.decide(now, s.toHold())
		return
	}
	if len(c.undecided) == 0 {
		c.decideAt = now.Add(decisionDelay)
	}
	c.undecided[s.Fingerprint] = true
}

// decideParts holds the parts that are to be held by now.
func (c *Core) decideParts(now time.Time) {
	if len(c.undecided) == 0 || now.Before(c.decideAt) {
		return
	}
	for f := range c.undecided {
		if s := c.suspects[f]; s != nil && c.mustHold(s) {
			c.decide(now, s.toHold())
		}
	}
	clear(c.undecided)
}

func (c *Core) watch(now time.Time, subject Subject) {
	if _, known := c.watched[subject.Fingerprint]; !known && len(c.watched) >= maxSuspects {
		return
	}
	c.watched[subject.Fingerprint] = watch{subject, now}
	c.tableChanged = true
}
