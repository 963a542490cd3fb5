package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// site describes a deployment: its numbers of zones, daemons, engines and
// workspaces.
type site struct {
	name                                string
	zones, daemons, engines, workspaces int
	// slots is the number of requests that an engine processes concurrently.
	slots int
	// onlyPatterns lists the load patterns to run at the site; empty means all.
	onlyPatterns []string
}

var sites = []site{
	{name: "kettleford", zones: 4, daemons: 7, engines: 12, workspaces: 16, slots: 24},
	{name: "tierra-firme", zones: 3, daemons: 6, engines: 12, workspaces: 16, slots: 24},
	// Fewer slots than workspaces, so that slots cannot be divided by weight.
	{name: "one-slot", zones: 4, daemons: 7, engines: 12, workspaces: 16, slots: 1, onlyPatterns: []string{"steady", "long-short"}},
	// Enough daemons per zone for the reduced exchange to be worthwhile.
	{name: "region", zones: 4, daemons: 32, engines: 48, workspaces: 40, slots: 24, onlyPatterns: []string{"steady", "burst", "overload", "restart", "lost-links", "cut"}},
}

// totalSlots returns the number of requests that all engines together can process
// concurrently.
func (s site) totalSlots() int { return s.engines * s.slots }

func (s site) capacity() float64 { return float64(s.totalSlots()) * decodeRate }

// requestKind describes a kind of request by its class and its mean prompt and
// output lengths in tokens. Output lengths are exponentially distributed.
type requestKind struct {
	class          uint8
	prompt, output float64
}

// Request kinds at the two sites kettleford and tierra-firme.
var (
	question = requestKind{class: 0, prompt: 120, output: 100}
	tagging  = requestKind{class: 1, prompt: 400, output: 40}
	drafting = requestKind{class: 2, prompt: 2000, output: 900}
)

// meanSlotSeconds returns the mean time that a request of this kind occupies a
// slot.
func (k requestKind) meanSlotSeconds() float64 { return k.prompt/prefillRate + k.output/decodeRate }

// mixPart is the fraction of a workspace's slot time that is used by requests of
// one kind.
type mixPart struct {
	kind     requestKind
	fraction float64
}

var defaultMix = []mixPart{{question, 0.15}, {tagging, 0.15}, {drafting, 0.7}}

// workspaceLoad describes the load that one workspace generates.
type workspaceLoad struct {
	weight float64
	// offeredLoad is the requested slot time as a multiple of the workspace's fair
	// share of the slots.
	offeredLoad float64
	mix         []mixPart
	// startAt and stopAt bound the arrival times; zero values mean the whole run.
	startAt, stopAt time.Duration
	// burstSeconds is the work, in seconds of all slots, that arrives at once at
	// startAt, in addition to offeredLoad.
	burstSeconds float64
	// onOffPeriod is the period of an on-off load, which sends nothing in the second
	// half of each period; zero means a continuous load.
	onOffPeriod time.Duration
	prefix      uint64
	deadline    time.Duration
	// restricted is set if the workspace may use only the first third of the
	// engines.
	restricted bool
}

// pattern is a load pattern and the faults that are injected with it.
type pattern struct {
	name          string
	duration      time.Duration
	loads         []workspaceLoad
	slowEngineAt  time.Duration // engine 0 slows down to a quarter of its speed
	restartAt     time.Duration // daemon 1 restarts without state
	partitionFrom time.Duration // zone 0 is partitioned from the other zones
	partitionTo   time.Duration
	// lossFrom and lossTo bound the time in which one message in messagesPerLoss is
	// lost because its connection breaks.
	lossFrom, lossTo time.Duration
	// hasRestrictions is set if some workspaces are restricted to a part of the
	// engines.
	hasRestrictions bool
}

const runDuration = 180 * time.Second

// initialBacklogSeconds is the initial backlog of a workspace that is always
// backlogged, in seconds of all slots for a weight of one. It is large enough to
// last until the first requests have completed.
const initialBacklogSeconds = 1.5

// steady returns a load pattern in which the first half of the workspaces is always
// backlogged and the others are intermittently active.
func steady(s site, edit func(*pattern)) pattern {
	p := pattern{duration: runDuration}
	for i := range s.workspaces {
		src := workspaceLoad{weight: 1, offeredLoad: 2.2, mix: defaultMix}
		switch {
		case i == 0:
			src.weight = 3
		case i == 1:
			src.weight = 2
		}
		switch {
		case i < s.workspaces/2:
			src.burstSeconds = initialBacklogSeconds * src.weight
		default:
			src.offeredLoad = 0.6
			src.onOffPeriod = time.Duration(6+3*(i%5)) * time.Second
		}
		p.loads = append(p.loads, src)
	}
	if edit != nil {
		edit(&p)
	}
	return p
}

// patterns returns the load patterns for a site.
func patterns(s site) []pattern {
	named := func(name string, p pattern) pattern { p.name = name; return p }
	half := s.workspaces / 2
	return []pattern{
		named("steady", steady(s, nil)),
		named("burst", steady(s, func(p *pattern) {
			p.loads[half] = workspaceLoad{weight: 1, mix: []mixPart{{drafting, 1}}, startAt: 60 * time.Second, burstSeconds: 5}
		})),
		named("hot", hotWorkspace(s, true)),
		named("hot-alone", hotWorkspace(s, false)),
		named("prefix", steady(s, func(p *pattern) {
			for i := range 3 {
				p.loads[2+i].prefix = uint64(1 + i)
			}
		})),
		named("slow-target", steady(s, func(p *pattern) { p.slowEngineAt = 60 * time.Second })),
		named("long-short", steady(s, func(p *pattern) {
			for i := range half {
				p.loads[i].mix = []mixPart{{requestKind{class: 1, prompt: 100, output: 60}, 1}}
				if i%2 == 0 {
					p.loads[i].mix = []mixPart{{requestKind{class: 1, prompt: 3000, output: 3000}, 1}}
				}
			}
		})),
		named("overload", steady(s, func(p *pattern) {
			for i := range p.loads {
				src := &p.loads[i]
				src.offeredLoad, src.onOffPeriod, src.deadline = 3, 0, 40*time.Second
			}
		})),
		named("restart", steady(s, func(p *pattern) { p.restartAt = 60 * time.Second })),
		named("lost-links", steady(s, func(p *pattern) {
			p.lossFrom, p.lossTo = 40*time.Second, 140*time.Second
		})),
		named("cut", steady(s, func(p *pattern) {
			p.partitionFrom, p.partitionTo = 60*time.Second, 90*time.Second
		})),
		named("tied", steady(s, func(p *pattern) {
			p.restrict(0, 2, 4, 6, half, half+2, half+4)
			for i := range half {
				p.loads[i].offeredLoad = 4 // The unrestricted ones get more than their fair share.
			}
		})),
		named("tied-heavy", allBacklogged(s, 0, 2, 4, 6, 8, 10, 12, 14)),
		named("tied-light", allBacklogged(s, 2, 5)),
	}
}

// hotWorkspace returns a load pattern in which one workspace has half of all demand,
// the total demand is 1.3 times the capacity, and all other workspaces demand less
// than their share. If withHot is false, only those others send requests.
func hotWorkspace(s site, withHot bool) pattern {
	p := pattern{duration: runDuration}
	n := float64(s.workspaces)
	for range s.workspaces {
		p.loads = append(p.loads, workspaceLoad{weight: 1, offeredLoad: 0.65 * n / (n - 1), mix: defaultMix})
	}
	p.loads[0].offeredLoad = 0
	if withHot {
		p.loads[0].offeredLoad = 0.65 * n
		p.loads[0].mix = []mixPart{{drafting, 1}}
		p.loads[0].burstSeconds = 20
	}
	return p
}

// newArrivals generates the jobs of the pattern, ordered by arrival. The same seed
// gives the same jobs for every system.
func newArrivals(s site, p pattern, seed uint64) []*job {
	weights := 0.0
	for _, src := range p.loads {
		weights += src.weight
	}
	var jobs []*job
	for i, src := range p.loads {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		g := generator{site: s, load: src, workspace: i, rng: rng, daemonShares: drawDaemonShares(s, i, rng)}
		fair := float64(s.totalSlots()) * src.weight / weights
		jobs = append(jobs, g.generate(p.duration, fair)...)
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].arrival < jobs[j].arrival })
	for n, j := range jobs {
		j.id = fmt.Sprintf("r%06d", n)
	}
	return jobs
}

// drawDaemonShares returns the fraction of a workspace's requests that each daemon
// receives. The distribution is uneven: six in ten requests arrive at one daemon, a
// quarter at another, and the rest is spread evenly over all daemons.
func drawDaemonShares(s site, workspace int, rng *rand.Rand) []float64 {
	parts := make([]float64, s.daemons)
	for d := range parts {
		parts[d] = 0.15 / float64(s.daemons)
	}
	first := workspace % s.daemons
	parts[first] += 0.6
	parts[(first+1+rng.IntN(s.daemons-1))%s.daemons] += 0.25
	return parts
}

// generator generates the jobs of one workspace at random.
type generator struct {
	site         site
	load         workspaceLoad
	workspace    int
	rng          *rand.Rand
	daemonShares []float64
}

func (g *generator) generate(duration time.Duration, fairSlots float64) []*job {
	var jobs []*job
	for _, part := range g.load.mix {
		left := g.load.burstSeconds * float64(g.site.totalSlots()) * part.fraction
		for left > 0 {
			j := g.newJob(part.kind, g.load.startAt)
			left -= j.prompt/prefillRate + j.output/decodeRate
			jobs = append(jobs, j)
		}
		rate := fairSlots * g.load.offeredLoad * part.fraction / part.kind.meanSlotSeconds()
		jobs = append(jobs, g.poissonArrivals(part.kind, rate, duration)...)
	}
	return jobs
}

func (g *generator) poissonArrivals(k requestKind, rate float64, duration time.Duration) []*job {
	if rate <= 0 {
		return nil
	}
	if g.load.onOffPeriod > 0 {
		rate *= 2
	}
	to := duration
	if g.load.stopAt > 0 {
		to = g.load.stopAt
	}
	var jobs []*job
	for at := g.load.startAt; ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return jobs
		}
		if period := g.load.onOffPeriod; period > 0 && at%period >= period/2 {
			continue
		}
		jobs = append(jobs, g.newJob(k, at))
	}
}

func (g *generator) newJob(k requestKind, at time.Duration) *job {
	j := &job{
		workspace: g.workspace,
		daemon:    g.drawDaemon(),
		class:     k.class,
		prompt:    math.Ceil(k.prompt * (0.5 + g.rng.Float64())),
		output:    math.Ceil(max(1, k.output*min(4, g.rng.ExpFloat64()))),
		prefix:    g.load.prefix,
		arrival:   at,
	}
	if g.load.deadline > 0 {
		j.deadline = at + g.load.deadline
	}
	return j
}

func (g *generator) drawDaemon() int {
	x := g.rng.Float64()
	for d, part := range g.daemonShares {
		if x < part {
			return d
		}
		x -= part
	}
	return len(g.daemonShares) - 1
}
