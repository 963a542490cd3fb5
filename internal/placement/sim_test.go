package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// backend is a target of the tests: it runs slots requests at once, queues the
// others first come first served, and tells nobody.
type backend struct {
	name  ident.Target
	slots int
	// step is the time for a token.
	step    time.Duration
	running int
	queue   []*job
	held    int
}

// job is one request: it waits for a dispatch, then perhaps in the target.
type job struct {
	tokens, prefill    int
	dispatched, begins time.Time
	ends               time.Time
	// granted is when its slot was given to it or to one before it.
	granted time.Time
	on      *backend
}

type byEnd []*job

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].ends.Before(h[j].ends) }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byEnd) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *byEnd) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	prefillSteps = 5
	meanTokens   = 100
)

// pool drives a table over backends on a clock of its own, always with work
// waiting.
type pool struct {
	table    *placement.Table
	backends []*backend
	now      time.Time
	rng      *rand.Rand
	running  byEnd
	done     []*job
	tokens   int
	// kind is the kind of work: "" and "steady" have equal prompts, "mixed" has
	// prompts that take as long as the answers, "plain" answers at the end, and
	// "recaps" have the lengths of examples/kettleford/load.yaml, as has "longer"
	// after 40 s in which they are shorter.
	kind string
	// prefill is the least number of steps before the first token.
	prefill int
	// slice is how long a request's slot goes on to further ones, whose results
	// the table does not see but for the last one's.
	slice time.Duration
	// second, where set, sees all results as a daemon that is not the owner.
	second *placement.Table
	// onDone is called after each completion.
	onDone func(done int)
}

func newPool(cfg placement.Config, ceiling int, backends ...*backend) *pool {
	p := &pool{
		prefill:  prefillSteps,
		table:    placement.New(cfg, rand.New(rand.NewPCG(3, 4))),
		backends: backends,
		now:      time.Unix(1, 0),
		rng:      rand.New(rand.NewPCG(1, 2)),
	}
	targets := make([]placement.Target, len(backends))
	for i, b := range backends {
		targets[i] = placement.Target{Name: b.name, Slots: ceiling}
	}
	p.table.SetTargets(targets)
	return p
}

// run ends after a number of completions.
func (p *pool) run(completions int) {
	for len(p.done) < completions {
		p.fill()
		j := heap.Pop(&p.running).(*job)
		p.now = j.ends
		p.finish(j)
	}
}

// until ends after a time since the start and returns the limit of the first
// target.
func (p *pool) until(since time.Duration) int {
	for p.now.Before(time.Unix(1, 0).Add(since)) {
		p.run(len(p.done) + 1)
	}
	return p.table.Limit(p.backends[0].name)
}

func (p *pool) fill() {
	for {
		free := make([]placement.Free, len(p.backends))
		for i, b := range p.backends {
			free[i] = placement.Free{Target: b.name, InFlight: b.held}
		}
		name, ok := p.table.Choose(free)
		if !ok {
			return
		}
		i := slices.IndexFunc(p.backends, func(b *backend) bool { return b.name == name })
		p.backends[i].held++
		p.dispatch(p.backends[i], p.now)
	}
}

func (p *pool) dispatch(b *backend, granted time.Time) {
	j := &job{tokens: 1 + int(p.rng.ExpFloat64()*meanTokens), dispatched: p.now, granted: granted, on: b}
	switch {
	case p.kind == "recaps", p.kind == "longer" && p.now.After(time.Unix(41, 0)):
		j.tokens = []int{200, 200, 200, 60, 60, 20}[p.rng.IntN(6)]
	case p.kind == "longer":
		j.tokens = []int{200, 60, 60, 20}[p.rng.IntN(4)]
	}
	j.prefill = p.prefill
	if p.kind == "mixed" {
		j.prefill += int(p.rng.ExpFloat64() * meanTokens)
	}
	b.queue = append(b.queue, j)
	p.admit(b)
}

func (p *pool) admit(b *backend) {
	for b.running < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		j.begins = p.now
		j.ends = p.now.Add(time.Duration(j.prefill+j.tokens) * b.step)
		heap.Push(&p.running, j)
	}
}

func (p *pool) finish(j *job) {
	b := j.on
	b.running--
	p.admit(b)
	p.done = append(p.done, j)
	p.tokens += j.tokens
	sample := placement.Sample{
		Tokens:   j.tokens,
		First:    j.begins.Sub(j.dispatched) + time.Duration(j.prefill+1)*b.step,
		Elapsed:  p.now.Sub(j.dispatched),
		InFlight: b.held,
	}
	if p.kind == "plain" {
		sample.Tokens, sample.First = 0, sample.Elapsed
	}
	if p.now.Sub(j.granted) < p.slice {
		p.dispatch(b, j.granted)
	} else {
		p.table.Observe(p.now, b.name, sample)
		b.held--
	}
	if p.second != nil {
		sample.InFlight = 0
		p.second.Observe(p.now, b.name, sample)
	}
	if p.onDone != nil {
		p.onDone(len(p.done))
	}
}

// utilisation is the part of all slots that was busy since a moment, by the
// requests completed from then on.
func (p *pool) utilisation(from int) float64 {
	var busy, slots time.Duration
	begin := p.done[from].ends
	for _, j := range p.done[from:] {
		began := j.begins
		if began.Before(begin) {
			began = begin
		}
		busy += j.ends.Sub(began)
	}
	for _, j := range p.running {
		if began := j.begins; began.Before(begin) {
			busy += p.now.Sub(begin)
		} else {
			busy += p.now.Sub(began)
		}
	}
	for _, b := range p.backends {
		slots += time.Duration(b.slots) * p.now.Sub(begin)
	}
	return float64(busy) / float64(slots)
}

// latencies are the times from dispatch to the end, per token, sorted.
func (p *pool) latencies(from int) []time.Duration {
	out := make([]time.Duration, 0, len(p.done)-from)
	for _, j := range p.done[from:] {
		out = append(out, j.ends.Sub(j.dispatched)/time.Duration(j.prefill+j.tokens))
	}
	slices.Sort(out)
	return out
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
