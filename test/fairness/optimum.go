package main

import (
	"slices"

	"github.com/savorystall/savorystall/internal/fairshare"
)

// optimum is one all-knowing scheduler. While zone 0 is cut off there are two,
// each of which knows all of its side, and when the zone is back each learns at
// once what the other has done.
type optimum struct {
	ledger *fairshare.Ledger
	// apart is the ledger of the zone that is cut off; nil where nothing is cut.
	apart *fairshare.Ledger
}

func newOptimum(r *run) chooser {
	return &optimum{ledger: ledgerOf(r, "optimum"), apart: ledgerOf(r, "apart")}
}

// side returns the ledger of a zone, and whether it is that of the other side.
func (o *optimum) side(r *run, zone int) (ledger *fairshare.Ledger, apart bool) {
	if r.cutOff && zone == 0 {
		return o.apart, true
	}
	return o.ledger, false
}

func (o *optimum) choose(b *baseline, target int) *job {
	zone := b.run.engines[target].zone
	ledger, _ := o.side(b.run, zone)
	reached := func(d int) bool { return b.run.linked(d%b.run.size.zones, zone) }
	counts := newCounts(b.run)
	for d := range b.queues {
		for w := range counts {
			if reached(d) {
				counts[w] += queued(b.queues[d][w])
			}
		}
	}
	running := newCounts(b.run)
	for t, row := range b.running {
		for w, n := range row {
			if b.run.linked(b.run.engines[t].zone, zone) {
				running[w] += n
			}
		}
	}
	w, ok := pickFrom(ledger, counts, running, b.run.mayUseOn(target))
	if o.apart != nil && !b.run.cutOff {
		for w, n := range counts {
			o.apart.SetBacklogged(workspaceName(w), n > 0)
		}
	}
	if !ok {
		return nil
	}
	return b.takeFrom(reached, w)
}

func (o *optimum) charge(b *baseline, j *job, cost float64) {
	ledger, _ := o.side(b.run, b.run.engines[j.target].zone)
	ledger.Charge(workspaceName(j.workspace), cost)
	if o.apart != nil && !b.run.cutOff {
		o.tell(j.workspace)
	}
}

// tell makes both ledgers know what the two have charged the workspace.
func (o *optimum) tell(workspace int) {
	name := workspaceName(workspace)
	o.apart.Merge("optimum", 1, name, o.ledger.LocalService(name))
	o.ledger.Merge("apart", 1, name, o.apart.LocalService(name))
}

func (o *optimum) exchange(b *baseline) {
	slots := [2]int{}
	for _, e := range b.run.engines {
		_, apart := o.side(b.run, e.zone)
		if apart {
			slots[1] += e.slots
		} else {
			slots[0] += e.slots
		}
	}
	o.ledger.Tune(fairshare.Conditions{SlotRate: decodeRate, LocalSlots: slots[0], FleetSlots: slots[0]})
	if o.apart != nil && b.run.cutOff {
		o.apart.Tune(fairshare.Conditions{SlotRate: decodeRate, LocalSlots: slots[1], FleetSlots: slots[1]})
	}
}

// faultyBaseline is a baseline to which the faults of a pattern happen as well:
// its figures tell which part of the fleet's no scheduler could avoid.
type faultyBaseline struct {
	*baseline
	optimum *optimum
}

func newFaultyOptimum(r *run) system {
	b := newBaseline(newOptimum)(r).(*baseline)
	return &faultyBaseline{baseline: b, optimum: b.chooser.(*optimum)}
}

// restart returns the jobs of a daemon that stops: its streams break, and what
// waits there is lost.
func (f *faultyBaseline) restart(d int) []*job {
	var lost []*job
	for w := range f.queues[d] {
		for c := range f.queues[d][w] {
			lost = append(lost, f.queues[d][w][c]...)
			f.queues[d][w][c] = nil
		}
	}
	for _, e := range f.run.engines {
		for _, j := range e.jobs {
			if j.daemon == d {
				f.finish(j)
				lost = append(lost, j)
			}
		}
	}
	return lost
}

// cut breaks the streams over the cut, or tells each side of the other.
func (f *faultyBaseline) cut(_ int, on bool) {
	if !on {
		for w := range f.run.pattern.sources {
			f.optimum.tell(w)
		}
		return
	}
	for _, e := range f.run.engines {
		for _, j := range slices.Clone(e.jobs) {
			if !f.run.linked(j.daemon%f.run.size.zones, e.zone) {
				f.finish(j)
				f.run.broken(j)
			}
		}
	}
	f.optimum.exchange(f.baseline)
}

// lossy does nothing: an all-knowing scheduler sends no messages.
func (f *faultyBaseline) lossy(bool) {}
