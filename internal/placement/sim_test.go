package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// backend simulates a target that runs up to slots requests at once and queues
// the others in arrival order without reporting it.
type backend struct {
	name  ident.Target
	slots int
	// step is the time per token.
	step     time.Duration
	running  int
	queue    []*job
	inFlight int
}

// job is one request. It waits to be dispatched and then possibly in the
// target.
type job struct {
	tokens, prefill        int
	dispatchedAt, startsAt time.Time
	endsAt                 time.Time
	// grantedAt is when its slot was granted, to this request or to an earlier
	// one that used the same grant.
	grantedAt time.Time
	backend   *backend
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	prefillSteps = 5
	meanTokens   = 100
)

// simulation drives a table over backends on a simulated clock, always with
// work waiting.
type simulation struct {
	table     *placement.Table
	backends  []*backend
	now       time.Time
	rng       *rand.Rand
	running   jobHeap
	completed []*job
	tokens    int
	// workload is the kind of work: "" and "steady" have equal prompts, "mixed"
	// has prompts that take as long as the responses, "plain" responds only at
	// the end, "recaps" has the lengths in examples/kettleford/load.yaml, and
	// "longer" has shorter ones for 40 s and then these.
	workload string
	// minPrefill is the minimum number of steps before the first token.
	minPrefill int
	// grantReuse is for how long a slot is reused for further requests; the table
	// sees only the result of the last one.
	grantReuse time.Duration
	// observer, if set, receives all results, as a daemon that is not the owner.
	observer *placement.Table
	// onDone, if set, is called after each completion.
	onDone func(done int)
}

func newSimulation(cfg placement.Config, ceiling int, backends ...*backend) *simulation {
	s := &simulation{
		minPrefill: prefillSteps,
		table:      placement.New(cfg, rand.New(rand.NewPCG(3, 4))),
		backends:   backends,
		now:        time.Unix(1, 0),
		rng:        rand.New(rand.NewPCG(1, 2)),
	}
	targets := make([]placement.Target, len(backends))
	for i, b := range backends {
		targets[i] = placement.Target{Name: b.name, Slots: ceiling}
	}
	s.table.SetTargets(targets)
	return s
}

// run runs the simulation until a number of requests have completed.
func (s *simulation) run(completions int) {
	for len(s.completed) < completions {
		s.dispatchAll()
		j := heap.Pop(&s.running).(*job)
		s.now = j.endsAt
		s.finish(j)
	}
}

// runUntil runs the simulation until a time since the start and returns the
// limit of the first target.
func (s *simulation) runUntil(since time.Duration) int {
	for s.now.Before(time.Unix(1, 0).Add(since)) {
		s.run(len(s.completed) + 1)
	}
	return s.table.Limit(s.backends[0].name)
}

func (s *simulation) dispatchAll() {
	for {
		free := make([]placement.FreeTarget, len(s.backends))
		for i, b := range s.backends {
			free[i] = placement.FreeTarget{Target: b.name, InFlight: b.inFlight}
		}
		name, ok := s.table.Choose(free)
		if !ok {
			return
		}
		i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.name == name })
		s.backends[i].inFlight++
		s.dispatch(s.backends[i], s.now)
	}
}

func (s *simulation) dispatch(b *backend, grantedAt time.Time) {
	j := &job{tokens: 1 + int(s.rng.ExpFloat64()*meanTokens), dispatchedAt: s.now, grantedAt: grantedAt, backend: b}
	switch {
	case s.workload == "recaps", s.workload == "longer" && s.now.After(time.Unix(41, 0)):
		j.tokens = []int{200, 200, 200, 60, 60, 20}[s.rng.IntN(6)]
	case s.workload == "longer":
		j.tokens = []int{200, 60, 60, 20}[s.rng.IntN(4)]
	}
	j.prefill = s.minPrefill
	if s.workload == "mixed" {
		j.prefill += int(s.rng.ExpFloat64() * meanTokens)
	}
	b.queue = append(b.queue, j)
	s.admit(b)
}

func (s *simulation) admit(b *backend) {
	for b.running < b.slots && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		j.startsAt = s.now
		j.endsAt = s.now.Add(time.Duration(j.prefill+j.tokens) * b.step)
		heap.Push(&s.running, j)
	}
}

func (s *simulation) finish(j *job) {
	b := j.backend
	b.running--
	s.admit(b)
	s.completed = append(s.completed, j)
	s.tokens += j.tokens
	sample := placement.Sample{
		Tokens:          j.tokens,
		TimeToFirstByte: j.startsAt.Sub(j.dispatchedAt) + time.Duration(j.prefill+1)*b.step,
		Elapsed:         s.now.Sub(j.dispatchedAt),
		InFlight:        b.inFlight,
	}
	if s.workload == "plain" {
		sample.Tokens, sample.TimeToFirstByte = 0, sample.Elapsed
	}
	if s.now.Sub(j.grantedAt) < s.grantReuse {
		s.dispatch(b, j.grantedAt)
	} else {
		s.table.Observe(s.now, b.name, sample)
		b.inFlight--
	}
	if s.observer != nil {
		sample.InFlight = 0
		s.observer.Observe(s.now, b.name, sample)
	}
	if s.onDone != nil {
		s.onDone(len(s.completed))
	}
}

// utilization returns the fraction of all slot time that was busy, starting at
// the completion of the request with index from.
func (s *simulation) utilization(from int) float64 {
	var busy, slots time.Duration
	windowStart := s.completed[from].endsAt
	for _, j := range s.completed[from:] {
		began := j.startsAt
		if began.Before(windowStart) {
			began = windowStart
		}
		busy += j.endsAt.Sub(began)
	}
	for _, j := range s.running {
		if began := j.startsAt; began.Before(windowStart) {
			busy += s.now.Sub(windowStart)
		} else {
			busy += s.now.Sub(began)
		}
	}
	for _, b := range s.backends {
		slots += time.Duration(b.slots) * s.now.Sub(windowStart)
	}
	return float64(busy) / float64(slots)
}

// latencies returns the sorted times from dispatch to the end, per token.
func (s *simulation) latencies(from int) []time.Duration {
	out := make([]time.Duration, 0, len(s.completed)-from)
	for _, j := range s.completed[from:] {
		out = append(out, j.endsAt.Sub(j.dispatchedAt)/time.Duration(j.prefill+j.tokens))
	}
	slices.Sort(out)
	return out
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}
