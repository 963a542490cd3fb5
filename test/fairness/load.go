package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// size is a site: how many zones, daemons, engines and workspaces it has.
type size struct {
	name                                string
	zones, daemons, engines, workspaces int
	// slots is how many requests an engine works on at once.
	slots int
	// only names the patterns that it is measured with; empty means all.
	only []string
}

var sizes = []size{
	{name: "kettleford", zones: 4, daemons: 7, engines: 12, workspaces: 16, slots: 24},
	{name: "tierra-firme", zones: 3, daemons: 6, engines: 12, workspaces: 16, slots: 24},
	// Fewer slots than workspaces, so that slots cannot be divided at all.
	{name: "one-slot", zones: 4, daemons: 7, engines: 12, workspaces: 16, slots: 1, only: []string{"steady", "long-short"}},
	// Enough daemons in a zone for the reduced exchange to pay.
	{name: "region", zones: 4, daemons: 32, engines: 48, workspaces: 40, slots: 24, only: []string{"steady", "burst", "overload", "restart", "lost-links", "cut"}},
}

// allSlots is how many requests the engines can work on at once.
func (s size) allSlots() int { return s.engines * s.slots }

func (s size) capacity() float64 { return float64(s.allSlots()) * decodeRate }

// kind is a sort of request. Output lengths are exponential.
type kind struct {
	class          uint8
	prompt, output float64
}

// Kinds of requests of the two sites.
var (
	ask   = kind{class: 0, prompt: 120, output: 100}
	tag   = kind{class: 1, prompt: 400, output: 40}
	draft = kind{class: 2, prompt: 2000, output: 900}
)

// seconds is the mean time that a request of the kind keeps a slot.
func (k kind) seconds() float64 { return k.prompt/prefillRate + k.output/decodeRate }

// share is a part of a workspace's time on slots that goes to requests of a kind.
type share struct {
	kind kind
	part float64
}

var mixed = []share{{ask, 0.15}, {tag, 0.15}, {draft, 0.7}}

// source is the load of one workspace.
type source struct {
	weight float64
	// load is the offered time on slots as a multiple of the workspace's fair
	// share of the slots.
	load float64
	mix  []share
	// from and to bound the time of arrivals; zero is the whole run.
	from, to time.Duration
	// burst is the work, in seconds of all slots, that arrives at once at the
	// time from, besides the load.
	burst float64
	// onOff is the period in which the source is silent every second half.
	onOff    time.Duration
	prefix   uint64
	deadline time.Duration
}

// pattern is one load pattern with its faults.
type pattern struct {
	name     string
	duration time.Duration
	sources  []source
	slowAt   time.Duration // engine 0 runs at a quarter of its speed
	restart  time.Duration // daemon 1 restarts without state
	cutFrom  time.Duration // zone 0 is cut off
	cutTo    time.Duration
	// lossFrom and lossTo bound a time in which one message in lossEvery is
	// lost with the link, as a broken connection loses it.
	lossFrom, lossTo time.Duration
}

const runTime = 180 * time.Second

// initialBacklog of a steadily backlogged workspace, in seconds of all slots for
// a weight of one. It outlasts the time in which the first requests run.
const initialBacklog = 1.5

// steady is a load in which the first half of the workspaces is always
// backlogged and the others come and go.
func steady(s size, edit func(*pattern)) pattern {
	p := pattern{duration: runTime}
	for i := range s.workspaces {
		src := source{weight: 1, load: 2.2, mix: mixed}
		switch {
		case i == 0:
			src.weight = 3
		case i == 1:
			src.weight = 2
		}
		switch {
		case i < s.workspaces/2:
			src.burst = initialBacklog * src.weight
		default:
			src.load = 0.6
			src.onOff = time.Duration(6+3*(i%5)) * time.Second
		}
		p.sources = append(p.sources, src)
	}
	if edit != nil {
		edit(&p)
	}
	return p
}

// patterns returns the load patterns that a site is measured with.
func patterns(s size) []pattern {
	named := func(name string, p pattern) pattern { p.name = name; return p }
	half := s.workspaces / 2
	return []pattern{
		named("steady", steady(s, nil)),
		named("burst", steady(s, func(p *pattern) {
			p.sources[half] = source{weight: 1, mix: []share{{draft, 1}}, from: 60 * time.Second, burst: 5}
		})),
		named("hot", hot(s, true)),
		named("hot-alone", hot(s, false)),
		named("prefix", steady(s, func(p *pattern) {
			for i := range 3 {
				p.sources[2+i].prefix = uint64(1 + i)
			}
		})),
		named("slow-target", steady(s, func(p *pattern) { p.slowAt = 60 * time.Second })),
		named("long-short", steady(s, func(p *pattern) {
			for i := range half {
				p.sources[i].mix = []share{{kind{class: 1, prompt: 100, output: 60}, 1}}
				if i%2 == 0 {
					p.sources[i].mix = []share{{kind{class: 1, prompt: 3000, output: 3000}, 1}}
				}
			}
		})),
		named("overload", steady(s, func(p *pattern) {
			for i := range p.sources {
				src := &p.sources[i]
				src.load, src.onOff, src.deadline = 3, 0, 40*time.Second
			}
		})),
		named("restart", steady(s, func(p *pattern) { p.restart = 60 * time.Second })),
		named("lost-links", steady(s, func(p *pattern) {
			p.lossFrom, p.lossTo = 40*time.Second, 140*time.Second
		})),
		named("cut", steady(s, func(p *pattern) {
			p.cutFrom, p.cutTo = 60*time.Second, 90*time.Second
		})),
	}
}

// hot is one workspace with half of all demand, at 1.3 times the capacity, and
// all others below their share; without the flood only those others.
func hot(s size, flood bool) pattern {
	p := pattern{duration: runTime}
	n := float64(s.workspaces)
	for range s.workspaces {
		p.sources = append(p.sources, source{weight: 1, load: 0.65 * n / (n - 1), mix: mixed})
	}
	p.sources[0].load = 0
	if flood {
		p.sources[0].load = 0.65 * n
		p.sources[0].mix = []share{{draft, 1}}
		p.sources[0].burst = 20
	}
	return p
}

// arrivals returns the jobs of the pattern by arrival. The same seed gives the
// same jobs whatever schedules them.
func arrivals(s size, p pattern, seed uint64) []*job {
	weights := 0.0
	for _, src := range p.sources {
		weights += src.weight
	}
	var jobs []*job
	for i, src := range p.sources {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		g := generator{size: s, source: src, workspace: i, rng: rng, spread: spread(s, i, rng)}
		fair := float64(s.allSlots()) * src.weight / weights
		jobs = append(jobs, g.all(p.duration, fair)...)
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].arrival < jobs[j].arrival })
	for n, j := range jobs {
		j.id = fmt.Sprintf("r%06d", n)
	}
	return jobs
}

// spread is the uneven part of a workspace's callers that each daemon gets: six
// in ten at one of them, a quarter at another, the rest anywhere.
func spread(s size, workspace int, rng *rand.Rand) []float64 {
	parts := make([]float64, s.daemons)
	for d := range parts {
		parts[d] = 0.15 / float64(s.daemons)
	}
	first := workspace % s.daemons
	parts[first] += 0.6
	parts[(first+1+rng.IntN(s.daemons-1))%s.daemons] += 0.25
	return parts
}

// generator draws the jobs of one workspace.
type generator struct {
	size      size
	source    source
	workspace int
	rng       *rand.Rand
	spread    []float64
}

func (g *generator) all(duration time.Duration, fair float64) []*job {
	var jobs []*job
	for _, part := range g.source.mix {
		left := g.source.burst * float64(g.size.allSlots()) * part.part
		for left > 0 {
			j := g.job(part.kind, g.source.from)
			left -= j.prompt/prefillRate + j.output/decodeRate
			jobs = append(jobs, j)
		}
		rate := fair * g.source.load * part.part / part.kind.seconds()
		jobs = append(jobs, g.poisson(part.kind, rate, duration)...)
	}
	return jobs
}

func (g *generator) poisson(k kind, rate float64, duration time.Duration) []*job {
	if rate <= 0 {
		return nil
	}
	if g.source.onOff > 0 {
		rate *= 2
	}
	to := duration
	if g.source.to > 0 {
		to = g.source.to
	}
	var jobs []*job
	for at := g.source.from; ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return jobs
		}
		if period := g.source.onOff; period > 0 && at%period >= period/2 {
			continue
		}
		jobs = append(jobs, g.job(k, at))
	}
}

func (g *generator) job(k kind, at time.Duration) *job {
	j := &job{
		workspace: g.workspace,
		daemon:    g.daemon(),
		class:     k.class,
		prompt:    math.Ceil(k.prompt * (0.5 + g.rng.Float64())),
		output:    math.Ceil(max(1, k.output*min(4, g.rng.ExpFloat64()))),
		prefix:    g.source.prefix,
		arrival:   at,
	}
	if g.source.deadline > 0 {
		j.deadline = at + g.source.deadline
	}
	return j
}

func (g *generator) daemon() int {
	x := g.rng.Float64()
	for d, part := range g.spread {
		if x < part {
			return d
		}
		x -= part
	}
	return len(g.spread) - 1
}
