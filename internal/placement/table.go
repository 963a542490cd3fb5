package placement

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/charts"
	"github.com/savorystall/savorystall/internal/chart"
	"github.com/savorystall/savorystall/internal/ident"
)

// Config configures a Table. The zero value is valid.
type Config struct {
	// Zone is the daemon's own availability zone; its targets are preferred.
	Zone ident.Zone
	// InitialLimit is the limit of a target without a number of slots in its
	// configuration document, before any measurement. Default: 8.
	InitialLimit int
	// MaxLimit bounds the limit of such a target. Default: 1024.
	MaxLimit int
	// MinWindow is the minimum number of completions on which a change of the
	// limit is based. Default: 32.
	MinWindow int
	// QueueFraction is the fraction of the limit that may wait in the target.
	// Default: 0.05.
	QueueFraction float64
	// SlowFactor is how many times the time per token of its peers a target may
	// take before it is put on probation. Default: 8.
	SlowFactor float64
	// RecoverFactor is the factor below which the probation ends. Default: 6. A
	// target put on probation by chance would never leave it if the factor were
	// below the target's actual one.
	RecoverFactor float64
	// MinProbeBackoff is the maximum time for which probe responses are ignored
	// after a target becomes suspect again without having served a request in
	// between. It doubles each time, up to MaxProbeBackoff. Defaults: 100 ms and
	// 5 s.
	MinProbeBackoff, MaxProbeBackoff time.Duration
	// MaxPrefixes bounds the prefixes remembered per target. Default: 32. With a
	// larger number, prefixes that the target has already evicted are assumed to
	// be cached.
	MaxPrefixes int
}

func (c Config) withDefaults() Config {
	c.InitialLimit = cmp.Or(c.InitialLimit, 8)
	c.MaxLimit = cmp.Or(c.MaxLimit, 1024)
	c.MinWindow = cmp.Or(c.MinWindow, 32)
	c.QueueFraction = cmp.Or(c.QueueFraction, 0.05)
	c.SlowFactor = cmp.Or(c.SlowFactor, 8)
	c.RecoverFactor = cmp.Or(c.RecoverFactor, 6)
	c.MinProbeBackoff = cmp.Or(c.MinProbeBackoff, 100*time.Millisecond)
	c.MaxProbeBackoff = cmp.Or(c.MaxProbeBackoff, 5*time.Second)
	c.MaxPrefixes = cmp.Or(c.MaxPrefixes, 32)
	return c
}

// Target is one backend as described by its configuration document.
type Target struct {
	Name ident.Target
	Zone ident.Zone
	// Slots is the maximum number of concurrent requests; zero means no bound.
	Slots int
}

// Sample is the outcome of an attempt on a target.
type Sample struct {
	// Tokens is the length of the response; zero for a plain service.
	Tokens int
	// TimeToFirstByte and Elapsed are the times from dispatch to the first byte
	// and to the end.
	TimeToFirstByte, Elapsed time.Duration
	// Failed reports whether the target or the connection to it failed.
	Failed bool
	// NotRun reports that the request did not run: the target was full or, if
	// Failed is set too, unreachable.
	NotRun bool
	// InFlight is the number of requests on the target including this one; zero
	// if this daemon does not know it.
	InFlight int
}

// Triggers defined in charts/target.yaml.
const (
	Answered  chart.Trigger = "answered"
	Failed    chart.Trigger = "failed"
	Slow      chart.Trigger = "slow"
	Recovered chart.Trigger = "recovered"
	Leaving   chart.Trigger = "leaving"
	Returned  chart.Trigger = "returned"
	Removed   chart.Trigger = "removed"
)

// States defined in charts/target.yaml.
const (
	Unknown   chart.State = "unknown"
	Live      chart.State = "live"
	Probation chart.State = "probation"
	Suspect   chart.State = "suspect"
	IsLeaving chart.State = "leaving"
	Gone      chart.State = "gone"
)

var targetChart = chart.MustParse(charts.Target,
	[]chart.State{Unknown, Live, Probation, Suspect, IsLeaving, Gone},
	[]chart.Trigger{Answered, Failed, Slow, Recovered, Leaving, Returned, Removed},
)

// Table holds what one daemon knows about the targets of one service. It is not
// safe for concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	targets map[ident.Target]*entry
	// peerPaces is scratch space of slowerThanPeers.
	peerPaces []float64
}

// entry is the state of one target.
type entry struct {
	Target
	machine *chart.Machine
	limit   *limiter
	pace    pace
	// failures is the number of failed requests since the last success.
	failures     int
	probeBackoff probeBackoff
	prefixes     recentPrefixes
	cacheFeed    cacheFeed
	ownerSummary ownerSummary
}

// New returns a table without targets. The rng provides the jitter of the probe
// backoff.
func New(cfg Config, rng *rand.Rand) *Table {
	return &Table{cfg: cfg.withDefaults(), rng: rng, targets: map[ident.Target]*entry{}}
}

// SetTargets replaces the list of targets. The state of targets that remain is
// kept.
func (t *Table) SetTargets(targets []Target) {
	retained := make(map[ident.Target]*entry, len(targets))
	for _, spec := range targets {
		e := t.targets[spec.Name]
		if e == nil {
			e = &entry{machine: targetChart.New(), limit: newLimiter(t.cfg), prefixes: newRecentPrefixes(t.cfg.MaxPrefixes)}
		}
		e.Target = spec
		e.limit.setCeiling(spec.Slots)
		retained[spec.Name] = e
	}
	for name, e := range t.targets {
		if retained[name] == nil {
			e.fire(Removed)
		}
	}
	t.targets = retained
}

// fire fires a trigger if the current state accepts it, and reports whether the
// state changed. A trigger that is not accepted is outdated, such as the
// completion of an earlier request on a leaving target.
func (e *entry) fire(trigger chart.Trigger) bool {
	if !e.machine.Accepts(trigger) {
		return false
	}
	before := e.machine.State()
	after, err := e.machine.Fire(trigger)
	return err == nil && after != before
}

// State returns the state of a target, or Gone if it is not in the table.
func (t *Table) State(name ident.Target) chart.State {
	e := t.targets[name]
	if e == nil {
		return Gone
	}
	return e.machine.State()
}

// Usable reports whether a target may get new work.
func (t *Table) Usable(name ident.Target) bool { return t.Limit(name) > 0 }

// Limit returns how many requests a target may have at once: zero if it may get
// no new work, and one on probation.
func (t *Table) Limit(name ident.Target) int {
	e := t.targets[name]
	if e == nil {
		return 0
	}
	switch e.machine.State() {
	case Unknown, Live:
		return e.limit.limit()
	case Probation:
		return 1
	}
	return 0
}

// ApplyTrigger applies information about a target that does not come from a
// request: a probe result (Answered, Failed), or a notice from the VM list, the
// target or a peer (Leaving, Returned). It reports whether the state changed.
func (t *Table) ApplyTrigger(now time.Time, name ident.Target, trigger chart.Trigger) bool {
	e := t.targets[name]
	if e == nil {
		return false
	}
	changed := e.fire(trigger)
	if changed && trigger == Returned {
		// Refusals that the target sent while leaving no longer apply.
		e.limit = newLimiter(t.cfg)
		e.limit.setCeiling(e.Slots)
	}
	if changed && e.machine.State() == Suspect {
		e.probeBackoff.schedule(now, t.cfg, t.rng)
	}
	return changed
}

// failuresToSuspect is how many consecutive requests must fail for a target to
// become suspect. One request that always makes the target fail must not make
// it unavailable to all others.
const failuresToSuspect = 2

// Observe records the outcome of an attempt. It reports whether the state of
// the target changed.
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
		e.limit.recordRefusal(s.InFlight)
		return changed
	}
	e.probeBackoff = probeBackoff{}
	if s.TimeToFirstByte <= 0 {
		return changed // canceled or refused, so there are no times to record
	}
	e.limit.recordCompletion(s)
	e.pace.add(s.Tokens, s.TimeToFirstByte, s.Elapsed)
	return t.updateProbation(e) || changed
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
	e.probeBackoff.schedule(now, t.cfg, t.rng)
	return true
}

// ProbeDue reports whether a successful probe may now end the suspicion of a
// target; it is true for a target that is not suspect. Without this delay, a
// target that answers probes but fails every request would get its full share
// of work after each probe.
func (t *Table) ProbeDue(now time.Time, name ident.Target) bool {
	e := t.targets[name]
	return e == nil || e.machine.State() != Suspect || !now.Before(e.probeBackoff.notBefore)
}

// probeBackoff delays the time from which a suspect target's probe responses
// count.
type probeBackoff struct {
	notBefore time.Time
	// maxDelay bounds the next delay.
	maxDelay time.Duration
}

// schedule sets the delay for a target that has become suspect; the first delay
// is zero. The backoff is reset only after a request was served, so a target
// that answers probes but fails requests gets work less and less often, down to
// once per MaxProbeBackoff. Full jitter keeps several such targets from getting
// work at the same moment.
func (b *probeBackoff) schedule(now time.Time, cfg Config, rng *rand.Rand) {
	b.notBefore = now.Add(time.Duration(rng.Float64() * float64(b.maxDelay)))
	b.maxDelay = min(max(2*b.maxDelay, cfg.MinProbeBackoff), cfg.MaxProbeBackoff)
}
