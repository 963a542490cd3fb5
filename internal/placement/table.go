package placement

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/ident"
)

// Config holds the figures of a Table. The zero value is good.
type Config struct {
	// Zone is the daemon's own availability zone; its targets go first.
	Zone ident.Zone
	// Initial is the limit of a target without a number of slots in its
	// document, before anything was measured. Default: 8.
	Initial int
	// Most bounds that limit. Default: 1024.
	Most int
	// MinWindow is the least number of completions that a change of the limit
	// is based on. Default: 32.
	MinWindow int
	// Queue is the part of the limit that may wait in the target. Default: 0.05.
	Queue float64
	// SlowFactor is how many times the pace of its peers a target may take
	// for a token before it is put on probation. Default: 8.
	SlowFactor float64
	// RecoverFactor ends the probation. Default: 6; a target that is put on
	// probation by chance would never leave it at a factor below its true one.
	RecoverFactor float64
	// ProbeWait is the longest time for which a target that became suspect again,
	// without a served request between, is not believed when it answers a probe.
	// It doubles up to MaxProbeWait with each further time. Defaults: 100 ms and
	// 5 s.
	ProbeWait, MaxProbeWait time.Duration
	// PrefixEntries bounds the prefixes remembered per target. Default: 32; a
	// longer memory believes in what the target's cache has lost.
	PrefixEntries int
}

func (c Config) withDefaults() Config {
	c.Initial = cmp.Or(c.Initial, 8)
	c.Most = cmp.Or(c.Most, 1024)
	c.MinWindow = cmp.Or(c.MinWindow, 32)
	c.Queue = cmp.Or(c.Queue, 0.05)
	c.SlowFactor = cmp.Or(c.SlowFactor, 8)
	c.RecoverFactor = cmp.Or(c.RecoverFactor, 6)
	c.ProbeWait = cmp.Or(c.ProbeWait, 100*time.Millisecond)
	c.MaxProbeWait = cmp.Or(c.MaxProbeWait, 5*time.Second)
	c.PrefixEntries = cmp.Or(c.PrefixEntries, 32)
	return c
}

// Target is one back end as its document describes it.
type Target struct {
	Name ident.Target
	Zone ident.Zone
	// Slots is the most that it may be given at once; zero means no bound.
	Slots int
}

// Sample tells how an attempt on a target ended.
type Sample struct {
	// Tokens is the length of the answer; zero for a plain service.
	Tokens int
	// First runs from dispatch to the first byte, Elapsed to the end.
	First, Elapsed time.Duration
	// Failed tells that the target or the way to it failed.
	Failed bool
	// NotRun tells that the request did not run: the target was full, or could
	// not be reached where Failed is set too.
	NotRun bool
	// InFlight counts the requests on the target with this one; zero where
	// this daemon does not know.
	InFlight int
}

// Triggers of charts/target.yaml.
const (
	Answered  chart.Trigger = "answered"
	Failed    chart.Trigger = "failed"
	Slow      chart.Trigger = "slow"
	Recovered chart.Trigger = "recovered"
	Leaving   chart.Trigger = "leaving"
	Returned  chart.Trigger = "returned"
	Removed   chart.Trigger = "removed"
)

// States of charts/target.yaml.
const (
	Unknown   chart.State = "unknown"
	Live      chart.State = "live"
	Probation chart.State = "probation"
	Suspect   chart.State = "suspect"
	IsLeaving chart.State = "leaving"
	Gone      chart.State = "gone"
)

var lifeChart = chart.MustParse(charts.Target,
	[]chart.State{Unknown, Live, Probation, Suspect, IsLeaving, Gone},
	[]chart.Trigger{Answered, Failed, Slow, Recovered, Leaving, Returned, Removed},
)

// Table is what one daemon knows of the targets of one service. It is not safe
// for concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	targets map[ident.Target]*entry
	// paces is scratch space.
	paces []float64
}

// entry is the state of one target.
type entry struct {
	Target
	life  *chart.Machine
	limit *limiter
	pace  pace
	// failures counts the failed requests since the last good one.
	failures int
	probe    probe
	prefixes prefixSet
	cache    cacheView
	said     said
}

// New returns a table without targets. The rng spreads probes.
func New(cfg Config, rng *rand.Rand) *Table {
	return &Table{cfg: cfg.withDefaults(), rng: rng, targets: map[ident.Target]*entry{}}
}

// SetTargets replaces the list of targets. What is known of those that stay is
// kept.
func (t *Table) SetTargets(targets []Target) {
	kept := make(map[ident.Target]*entry, len(targets))
	for _, spec := range targets {
		e := t.targets[spec.Name]
		if e == nil {
			e = &entry{life: lifeChart.New(), limit: newLimiter(t.cfg), prefixes: newPrefixSet(t.cfg.PrefixEntries)}
		}
		e.Target = spec
		e.limit.setCeiling(spec.Slots)
		kept[spec.Name] = e
	}
	for name, e := range t.targets {
		if kept[name] == nil {
			e.fire(Removed)
		}
	}
	t.targets = kept
}

// fire follows a trigger where the state accepts it. A trigger that it does not
// accept is old news, such as an answer to old work from a leaving target.
func (e *entry) fire(trigger chart.Trigger) bool {
	if !e.life.Can(trigger) {
		return false
	}
	before := e.life.State()
	after, err := e.life.Fire(trigger)
	return err == nil && after != before
}

// State returns the state of a target, Gone for one that is not in the table.
func (t *Table) State(name ident.Target) chart.State {
	e := t.targets[name]
	if e == nil {
		return Gone
	}
	return e.life.State()
}

// Usable tells whether a target may get new work.
func (t *Table) Usable(name ident.Target) bool { return t.Limit(name) > 0 }

// Limit returns how many requests a target may have at once: zero where it may
// get no new work, one on probation.
func (t *Table) Limit(name ident.Target) int {
	e := t.targets[name]
	if e == nil {
		return 0
	}
	switch e.life.State() {
	case Unknown, Live:
		return e.limit.limit()
	case Probation:
		return 1
	}
	return 0
}

// Learn takes in news of a target that do not come from a request: the answer
// to a probe (Answered, Failed), the VM list or the target's or a peer's word
// (Leaving, Returned). It returns true where the state has changed.
func (t *Table) Learn(now time.Time, name ident.Target, news chart.Trigger) bool {
	e := t.targets[name]
	if e == nil {
		return false
	}
	changed := e.fire(news)
	if changed && news == Returned {
		// What refusals said of it while it was leaving holds no longer.
		e.limit = newLimiter(t.cfg)
		e.limit.setCeiling(e.Slots)
	}
	if changed && e.life.State() == Suspect {
		e.probe.plan(now, t.cfg, t.rng)
	}
	return changed
}

// failuresToSuspect is how many requests must fail in a row, with no good one
// between them, for a target to be suspect: a request that by itself makes the
// target fail must not take it from all others.
const failuresToSuspect = 2

// Observe takes in how an attempt ended. It returns true where the state of
// the target has changed.
func (t *Table) Observe(now time.Time, name ident.Target, s Sample) bool {
	e := t.targets[name]
	if e == nil {
		return false
	}
	if s.Failed {
		return t.observeFailure(now, e, s)
	}
	e.failures = 0
	changed := e.fire(Answered)
	if s.NotRun {
		e.limit.refused(s.InFlight)
		return changed
	}
	e.probe = probe{}
	if s.First <= 0 {
		return changed // it was canceled or refused, and tells no time
	}
	e.limit.completed(s)
	e.pace.add(s.Tokens, s.First, s.Elapsed)
	return t.judgePace(e) || changed
}

func (t *Table) observeFailure(now time.Time, e *entry, s Sample) bool {
	e.failures++
	if !s.NotRun && e.failures < failuresToSuspect {
		return false
	}
	if !e.fire(Failed) {
		return false
	}
	e.failures = 0
	e.probe.plan(now, t.cfg, t.rng)
	return true
}

// ProbeDue tells whether an answered probe may end the suspicion of a target by
// now; it is true of a target that is not suspect. A target that answers probes
// and fails each request would otherwise get all the work that fits on it after
// each probe.
func (t *Table) ProbeDue(now time.Time, name ident.Target) bool {
	e := t.targets[name]
	return e == nil || e.life.State() != Suspect || !now.Before(e.probe.at)
}

// probe tells from when on a suspect target is believed when it answers.
type probe struct {
	at time.Time
	// wait bounds the next wait.
	wait time.Duration
}

// plan sets the wait of a target that has become suspect, none the first time. It
// starts anew only after a request was served: a target that answers probes and fails requests
// gets work ever less often, up to once in MaxProbeWait. The full jitter keeps
// several such targets from getting it in one moment.
func (p *probe) plan(now time.Time, cfg Config, rng *rand.Rand) {
	p.at = now.Add(time.Duration(rng.Float64() * float64(p.wait)))
	p.wait = min(max(2*p.wait, cfg.ProbeWait), cfg.MaxProbeWait)
}
