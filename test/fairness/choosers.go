package main

import (
	"fmt"
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// rounds offers free slots to the daemons in turn.
type rounds struct{ last int }

func (r *rounds) each(b *baseline, f func(daemon int) *job) *job {
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

// silent is a chooser that needs no counters.
type silent struct{}

func (silent) charge(*baseline, *job, float64) {}
func (silent) exchange(*baseline)              {}

// fifo serves the callers of each daemon in order of arrival.
type fifo struct {
	silent
	rounds
}

func (f *fifo) choose(b *baseline, target int) *job {
	return f.each(b, func(d int) *job {
		best := -1
		var first time.Duration
		for w := range b.queues[d] {
			for _, q := range b.queues[d][w] {
				if len(q) > 0 && b.run.mayUse(w, target) && (best < 0 || q[0].arrival < first) {
					best, first = w, q[0].arrival
				}
			}
		}
		if best < 0 {
			return nil
		}
		return b.takeOldest(d, best)
	})
}

// takeOldest removes the first arrival of a workspace at a daemon, whatever its
// class.
func (b *baseline) takeOldest(daemon, workspace int) *job {
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

// static gives each workspace a fixed part of the slots and lends none.
type static struct{ silent }

func (static) choose(b *baseline, target int) *job {
	weights := 0.0
	for _, src := range b.run.pattern.sources {
		weights += src.weight
	}
	total := float64(b.run.size.allSlots())
	running := sumColumns(b.running)
	for w, src := range b.run.pattern.sources {
		if b.run.mayUse(w, target) && float64(running[w]+1) <= math.Ceil(total*src.weight/weights) {
			if j := b.take(-1, w); j != nil {
				return j
			}
		}
	}
	return nil
}

// local is fair queuing at each daemon alone: slots go to daemons in turn, and
// each gives them to the workspace it has served least itself.
type local struct {
	rounds
	ledgers []*fairshare.Ledger
	running [][]int
}

func newLocal(r *run) chooser {
	l := &local{}
	for d := range r.size.daemons {
		l.ledgers = append(l.ledgers, ledgerOf(r, fmt.Sprintf("d%d", d)))
		l.running = append(l.running, newCounts(r))
	}
	return l
}

func (l *local) choose(b *baseline, target int) *job {
	return l.each(b, func(d int) *job {
		counts := newCounts(b.run)
		for w := range counts {
			counts[w] = queued(b.queues[d][w])
		}
		w, ok := pickFrom(l.ledgers[d], counts, l.count(b, d), b.run.mayUseOn(target))
		if !ok {
			return nil
		}
		return b.take(d, w)
	})
}

// count returns the running jobs of a daemon's callers by workspace.
func (l *local) count(b *baseline, daemon int) []int {
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

func (l *local) charge(_ *baseline, j *job, cost float64) {
	l.ledgers[j.daemon].Charge(workspaceName(j.workspace), cost)
}

func (l *local) exchange(*baseline) {}

// plain is plain virtual token counters: every owner picks the workspace with
// the least counter, which is its own part at once and that of others as of the
// last exchange, charged as tokens stream.
type plain struct {
	own, shown [][]float64
	lift       [][]float64
	backlogged [][]bool
}

func newPlain(r *run) chooser {
	p := &plain{}
	for range r.size.daemons {
		p.own = append(p.own, make([]float64, len(r.pattern.sources)))
		p.shown = append(p.shown, make([]float64, len(r.pattern.sources)))
		p.lift = append(p.lift, make([]float64, len(r.pattern.sources)))
		p.backlogged = append(p.backlogged, make([]bool, len(r.pattern.sources)))
	}
	return p
}

// owner spreads the targets over the daemons of their zone.
func owner(b *baseline, target int) int {
	s := b.run.size
	zone := b.run.engines[target].zone
	inZone := (s.daemons - zone + s.zones - 1) / s.zones
	return zone + target/s.zones%inZone*s.zones
}

func (p *plain) counter(b *baseline, o, w int) float64 {
	sum := p.own[o][w] + p.lift[o][w]
	for d := range p.shown {
		if d != o {
			sum += p.shown[d][w]
		}
	}
	return sum / b.run.pattern.sources[w].weight
}

func (p *plain) choose(b *baseline, target int) *job {
	o := owner(b, target)
	counts := newCounts(b.run)
	b.waiting(counts)
	p.lifts(b, o, counts)
	best := -1
	for w, n := range counts {
		if n > 0 && (best < 0 || p.counter(b, o, w) < p.counter(b, o, best)) {
			best = w
		}
	}
	if best < 0 {
		return nil
	}
	return b.take(-1, best)
}

// lifts raises each workspace that became backlogged to the least counter.
func (p *plain) lifts(b *baseline, o int, counts []int) {
	least := math.Inf(1)
	for w, was := range p.backlogged[o] {
		if was && counts[w] > 0 {
			least = min(least, p.counter(b, o, w))
		}
	}
	for w, n := range counts {
		if n > 0 && !p.backlogged[o][w] && !math.IsInf(least, 1) {
			missing := least - p.counter(b, o, w)
			p.lift[o][w] += max(0, missing) * b.run.pattern.sources[w].weight
		}
		p.backlogged[o][w] = n > 0
	}
}

func (p *plain) charge(b *baseline, j *job, cost float64) {
	p.own[owner(b, j.target)][j.workspace] += cost
}

func (p *plain) exchange(*baseline) {
	for d := range p.own {
		copy(p.shown[d], p.own[d])
	}
}

// early binds each job on arrival to the target with the least load as of the
// last exchange; the owner of the target then serves its own queue fairly.
type early struct {
	ledgers []*fairshare.Ledger
	// bound holds the waiting jobs by target and workspace; loads counts them
	// and the running ones as of the last exchange, plus what this view added.
	bound [][][classes][]*job
	loads [][]int
}

func newEarly(r *run) chooser {
	e := &early{}
	for d := range r.size.daemons {
		e.ledgers = append(e.ledgers, ledgerOf(r, fmt.Sprintf("d%d", d)))
		e.loads = append(e.loads, make([]int, len(r.engines)))
	}
	for range r.engines {
		e.bound = append(e.bound, newQueues(r))
	}
	return e
}

// bind moves new arrivals to the targets that look least loaded.
func (e *early) bind(b *baseline) {
	for d := range b.queues {
		for w := range b.queues[d] {
			for j := b.take(d, w); j != nil; j = b.take(d, w) {
				target := 0
				for t, load := range e.loads[d] {
					if load < e.loads[d][target] {
						target = t
					}
				}
				e.loads[d][target]++
				q := &e.bound[target][w][j.class]
				*q = append(*q, j)
			}
		}
	}
}

func (e *early) choose(b *baseline, _ int) *job {
	e.bind(b)
	for target := range b.run.engines {
		for len(b.run.engines[target].jobs) < b.run.size.slots {
			j := e.chooseBound(b, target)
			if j == nil {
				break
			}
			b.start(j, target)
		}
	}
	return nil
}

func (e *early) chooseBound(b *baseline, target int) *job {
	counts := newCounts(b.run)
	for w := range counts {
		counts[w] = queued(e.bound[target][w])
	}
	w, ok := pickFrom(e.ledgers[owner(b, target)], counts, b.running[target], b.run.mayUseOn(target))
	if !ok {
		return nil
	}
	for c := range classes {
		q := &e.bound[target][w][c]
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

func (e *early) held(counts []int) {
	for t := range e.bound {
		for w := range e.bound[t] {
			counts[w] += queued(e.bound[t][w])
		}
	}
}

func (e *early) charge(b *baseline, j *job, cost float64) {
	e.ledgers[owner(b, j.target)].Charge(workspaceName(j.workspace), cost)
}

func (e *early) exchange(b *baseline) {
	for _, from := range e.ledgers {
		for _, ws := range from.Changed() {
			for _, to := range e.ledgers {
				if to != from {
					to.Merge(daemonOf(e.ledgers, from), 1, ws, from.LocalService(ws))
				}
			}
		}
	}
	for d := range e.loads {
		for t := range e.loads[d] {
			load := len(b.run.engines[t].jobs)
			for _, q := range e.bound[t] {
				load += queued(q)
			}
			e.loads[d][t] = load
		}
	}
}

func daemonOf(all []*fairshare.Ledger, l *fairshare.Ledger) (id ident.Daemon) {
	for d := range all {
		if all[d] == l {
			id = ident.Daemon(fmt.Sprintf("d%d", d))
		}
	}
	return id
}
