package main

import (
	"fmt"
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// roundRobin offers free slots to the daemons in turn.
type roundRobin struct{ last int }

func (r *roundRobin) next(b *baseline, f func(daemon int) *job) *job {
	n := len(b.queues)
	for i := range n {
		d := (r.last + 1 + i) % n
		if j := f(d); j != nil {
			r.last = d
			return j
		}
	}
	return nil
}

// noAccounting is embedded by choosers that need no service counters.
type noAccounting struct{}

func (noAccounting) recordService(*baseline, *job, float64) {}
func (noAccounting) exchange(*baseline)                     {}

// fifo serves the jobs of each daemon in order of arrival.
type fifo struct {
	noAccounting
	roundRobin
}

func (f *fifo) choose(b *baseline, target int) *job {
	return f.next(b, func(d int) *job {
		best := -1
		var oldest time.Duration
		for w := range b.queues[d] {
			for _, q := range b.queues[d][w] {
				if len(q) > 0 && b.run.mayUse(w, target) && (best < 0 || q[0].arrival < oldest) {
					best, oldest = w, q[0].arrival
				}
			}
		}
		if best < 0 {
			return nil
		}
		return b.dequeueOldest(d, best)
	})
}

// dequeueOldest removes and returns the job of a workspace that arrived first at a
// daemon, regardless of its class.
func (b *baseline) dequeueOldest(daemon, workspace int) *job {
	queues := &b.queues[daemon][workspace]
	best := -1
	for c, q := range queues {
		if len(q) > 0 && (best < 0 || q[0].arrival < queues[best][0].arrival) {
			best = c
		}
	}
	j := queues[best][0]
	queues[best] = queues[best][1:]
	return j
}

// staticPartition reserves a fixed number of slots for each workspace; idle slots
// are not lent to other workspaces.
type staticPartition struct{ noAccounting }

func (staticPartition) choose(b *baseline, target int) *job {
	weights := 0.0
	for _, src := range b.run.pattern.loads {
		weights += src.weight
	}
	total := float64(b.run.site.totalSlots())
	running := sumColumns(b.running)
	for w, src := range b.run.pattern.loads {
		if b.run.mayUse(w, target) && float64(running[w]+1) <= math.Ceil(total*src.weight/weights) {
			if j := b.dequeue(-1, w); j != nil {
				return j
			}
		}
	}
	return nil
}

// localFairQueue is fair queuing without any exchange between daemons: slots are
// offered to the daemons in turn, and each daemon gives its slots to the workspace
// that it has itself served least.
type localFairQueue struct {
	roundRobin
	ledgers []*fairshare.Ledger
	running [][]int
}

func newLocalFairQueue(r *run) chooser {
	l := &localFairQueue{}
	for d := range r.site.daemons {
		l.ledgers = append(l.ledgers, newLedger(r, fmt.Sprintf("d%d", d)))
		l.running = append(l.running, newCounts(r))
	}
	return l
}

func (l *localFairQueue) choose(b *baseline, target int) *job {
	return l.next(b, func(d int) *job {
		counts := newCounts(b.run)
		for w := range counts {
			counts[w] = queueLength(b.queues[d][w])
		}
		w, ok := pickWorkspace(l.ledgers[d], counts, l.countRunning(b, d), b.run.mayUseOn(target))
		if !ok {
			return nil
		}
		return b.dequeue(d, w)
	})
}

// countRunning returns the number of running jobs of a daemon by workspace.
func (l *localFairQueue) countRunning(b *baseline, daemon int) []int {
	counts := l.running[daemon]
	clear(counts)
	for _, e := range b.run.engines {
		for _, j := range e.jobs {
			if j.daemon == daemon {
				counts[j.workspace]++
			}
		}
	}
	return counts
}

func (l *localFairQueue) recordService(_ *baseline, j *job, cost float64) {
	l.ledgers[j.daemon].Charge(workspaceName(j.workspace), cost)
}

func (l *localFairQueue) exchange(*baseline) {}

// tokenCounters implements plain virtual token counters: every owner picks the
// workspace with the lowest counter. A counter is the service delivered by the
// owner itself plus the service that the other owners had delivered at the last
// exchange; it is charged while tokens are streamed.
type tokenCounters struct {
	localService, exchangedService [][]float64
	raised                         [][]float64
	backlogged                     [][]bool
}

func newTokenCounters(r *run) chooser {
	t := &tokenCounters{}
	for range r.site.daemons {
		t.localService = append(t.localService, make([]float64, len(r.pattern.loads)))
		t.exchangedService = append(t.exchangedService, make([]float64, len(r.pattern.loads)))
		t.raised = append(t.raised, make([]float64, len(r.pattern.loads)))
		t.backlogged = append(t.backlogged, make([]bool, len(r.pattern.loads)))
	}
	return t
}

// ownerOf returns the daemon that owns a target. The targets of a zone are
// distributed over the daemons of that zone.
func ownerOf(b *baseline, target int) int {
	s := b.run.site
	zone := b.run.engines[target].zone
	inZone := (s.daemons - zone + s.zones - 1) / s.zones
	return zone + target/s.zones%inZone*s.zones
}

func (t *tokenCounters) counter(b *baseline, owner, w int) float64 {
	sum := t.localService[owner][w] + t.raised[owner][w]
	for d := range t.exchangedService {
		if d != owner {
			sum += t.exchangedService[d][w]
		}
	}
	return sum / b.run.pattern.loads[w].weight
}

func (t *tokenCounters) choose(b *baseline, target int) *job {
	owner := ownerOf(b, target)
	counts := newCounts(b.run)
	b.countWaiting(counts)
	t.raiseNewlyBacklogged(b, owner, counts)
	best := -1
	for w, n := range counts {
		if n > 0 && (best < 0 || t.counter(b, owner, w) < t.counter(b, owner, best)) {
			best = w
		}
	}
	if best < 0 {
		return nil
	}
	return b.dequeue(-1, best)
}

// raiseNewlyBacklogged raises the counter of each workspace that became backlogged
// to the lowest counter of the workspaces that were backlogged before.
func (t *tokenCounters) raiseNewlyBacklogged(b *baseline, owner int, counts []int) {
	least := math.Inf(1)
	for w, was := range t.backlogged[owner] {
		if was && counts[w] > 0 {
			least = min(least, t.counter(b, owner, w))
		}
	}
	for w, n := range counts {
		if n > 0 && !t.backlogged[owner][w] && !math.IsInf(least, 1) {
			deficit := least - t.counter(b, owner, w)
			t.raised[owner][w] += max(0, deficit) * b.run.pattern.loads[w].weight
		}
		t.backlogged[owner][w] = n > 0
	}
}

func (t *tokenCounters) recordService(b *baseline, j *job, cost float64) {
	t.localService[ownerOf(b, j.target)][j.workspace] += cost
}

func (t *tokenCounters) exchange(*baseline) {
	for d := range t.localService {
		copy(t.exchangedService[d], t.localService[d])
	}
}

// earlyBinding binds each job on arrival to the target that had the least load at
// the last exchange. The owner of the target then applies fair queuing to the
// target's queue.
type earlyBinding struct {
	ledgers []*fairshare.Ledger
	// boundQueues holds the waiting jobs by target and workspace. targetLoads is
	// each daemon's view of the waiting and running jobs by target: the number at
	// the last exchange plus the jobs that the daemon has bound since.
	boundQueues [][][classCount][]*job
	targetLoads [][]int
}

func newEarlyBinding(r *run) chooser {
	e := &earlyBinding{}
	for d := range r.site.daemons {
		e.ledgers = append(e.ledgers, newLedger(r, fmt.Sprintf("d%d", d)))
		e.targetLoads = append(e.targetLoads, make([]int, len(r.engines)))
	}
	for range r.engines {
		e.boundQueues = append(e.boundQueues, newQueues(r))
	}
	return e
}

// bindArrivals moves newly arrived jobs to the queues of the targets that appear
// least loaded to their daemons.
func (e *earlyBinding) bindArrivals(b *baseline) {
	for d := range b.queues {
		for w := range b.queues[d] {
			for j := b.dequeue(d, w); j != nil; j = b.dequeue(d, w) {
				target := 0
				for t, load := range e.targetLoads[d] {
					if load < e.targetLoads[d][target] {
						target = t
					}
				}
				e.targetLoads[d][target]++
				q := &e.boundQueues[target][w][j.class]
				*q = append(*q, j)
			}
		}
	}
}

func (e *earlyBinding) choose(b *baseline, _ int) *job {
	e.bindArrivals(b)
	for target := range b.run.engines {
		for len(b.run.engines[target].jobs) < b.run.site.slots {
			j := e.dequeueBound(b, target)
			if j == nil {
				break
			}
			b.start(j, target)
		}
	}
	return nil
}

func (e *earlyBinding) dequeueBound(b *baseline, target int) *job {
	counts := newCounts(b.run)
	for w := range counts {
		counts[w] = queueLength(e.boundQueues[target][w])
	}
	w, ok := pickWorkspace(e.ledgers[ownerOf(b, target)], counts, b.running[target], b.run.mayUseOn(target))
	if !ok {
		return nil
	}
	for c := range classCount {
		q := &e.boundQueues[target][w][c]
		for len(*q) > 0 {
			j := (*q)[0]
			*q = (*q)[1:]
			if j.deadline > 0 && j.deadline < b.run.now {
				j.refused = true
				continue
			}
			return j
		}
	}
	return nil
}

func (e *earlyBinding) addWaiting(counts []int) {
	for t := range e.boundQueues {
		for w := range e.boundQueues[t] {
			counts[w] += queueLength(e.boundQueues[t][w])
		}
	}
}

func (e *earlyBinding) recordService(b *baseline, j *job, cost float64) {
	e.ledgers[ownerOf(b, j.target)].Charge(workspaceName(j.workspace), cost)
}

func (e *earlyBinding) exchange(b *baseline) {
	for _, from := range e.ledgers {
		for _, ws := range from.Changed() {
			for _, to := range e.ledgers {
				if to != from {
					to.Merge(ledgerDaemon(e.ledgers, from), 1, ws, from.LocalService(ws))
				}
			}
		}
	}
	for d := range e.targetLoads {
		for t := range e.targetLoads[d] {
			load := len(b.run.engines[t].jobs)
			for _, q := range e.boundQueues[t] {
				load += queueLength(q)
			}
			e.targetLoads[d][t] = load
		}
	}
}

func ledgerDaemon(all []*fairshare.Ledger, l *fairshare.Ledger) (id ident.Daemon) {
	for d := range all {
		if all[d] == l {
			id = ident.Daemon(fmt.Sprintf("d%d", d))
		}
	}
	return id
}
