package main

import (
	"slices"

	"github.com/savorystall/savorystall/internal/fairshare"
)

// optimum is a single omniscient scheduler. While zone 0 is partitioned, there are
// two schedulers, each with complete knowledge of its side. When the partition
// heals, each learns immediately what the other has served.
type optimum struct {
	ledger *fairshare.Ledger
	// isolatedLedger is the ledger of zone 0 during a partition; nil if the system
	// does not take part in partitions.
	isolatedLedger *fairshare.Ledger
}

func newOptimum(r *run) chooser {
	return &optimum{ledger: newLedger(r, "optimum"), isolatedLedger: newLedger(r, "apart")}
}

// ledgerFor returns the ledger of a zone, and whether it is that of the isolated
// zone.
func (o *optimum) ledgerFor(r *run, zone int) (ledger *fairshare.Ledger, isolated bool) {
	if r.partitioned && zone == 0 {
		return o.isolatedLedger, true
	}
	return o.ledger, false
}

func (o *optimum) choose(b *baseline, target int) *job {
	zone := b.run.engines[target].zone
	ledger, _ := o.ledgerFor(b.run, zone)
	reachable := func(d int) bool { return b.run.reachable(d%b.run.site.zones, zone) }
	counts := newCounts(b.run)
	for d := range b.queues {
		for w := range counts {
			if reachable(d) {
				counts[w] += queueLength(b.queues[d][w])
			}
		}
	}
	running := newCounts(b.run)
	for t, row := range b.running {
		for w, n := range row {
			if b.run.reachable(b.run.engines[t].zone, zone) {
				running[w] += n
			}
		}
	}
	w, ok := pickWorkspace(ledger, counts, running, b.run.mayUseOn(target))
	if o.isolatedLedger != nil && !b.run.partitioned {
		for w, n := range counts {
			o.isolatedLedger.SetBacklogged(workspaceName(w), n > 0)
		}
	}
	if !ok {
		return nil
	}
	return b.dequeueFrom(reachable, w)
}

func (o *optimum) recordService(b *baseline, j *job, cost float64) {
	ledger, _ := o.ledgerFor(b.run, b.run.engines[j.target].zone)
	ledger.Charge(workspaceName(j.workspace), cost)
	if o.isolatedLedger != nil && !b.run.partitioned {
		o.syncLedgers(j.workspace)
	}
}

// syncLedgers exchanges the workspace's service between the two ledgers.
func (o *optimum) syncLedgers(workspace int) {
	name := workspaceName(workspace)
	o.isolatedLedger.Merge("optimum", 1, name, o.ledger.LocalService(name))
	o.ledger.Merge("apart", 1, name, o.isolatedLedger.LocalService(name))
}

func (o *optimum) exchange(b *baseline) {
	sideSlots := [2]int{}
	for _, e := range b.run.engines {
		_, isolated := o.ledgerFor(b.run, e.zone)
		if isolated {
			sideSlots[1] += e.slots
		} else {
			sideSlots[0] += e.slots
		}
	}
	o.ledger.Tune(fairshare.Conditions{SlotRate: decodeRate, LocalSlots: sideSlots[0], FleetSlots: sideSlots[0]})
	if o.isolatedLedger != nil && b.run.partitioned {
		o.isolatedLedger.Tune(fairshare.Conditions{SlotRate: decodeRate, LocalSlots: sideSlots[1], FleetSlots: sideSlots[1]})
	}
}

// optimumWithFaults is the optimum with the faults of the pattern injected. Its
// results show how much of the fleet's gap no scheduler could avoid.
type optimumWithFaults struct {
	*baseline
	optimum *optimum
}

func newOptimumWithFaults(r *run) system {
	b := newBaseline(newOptimum)(r).(*baseline)
	return &optimumWithFaults{baseline: b, optimum: b.chooser.(*optimum)}
}

// restart returns the unfinished jobs of a daemon that restarts: its streams break
// and its queues are lost.
func (f *optimumWithFaults) restart(d int) []*job {
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

// setPartitioned breaks the streams across the partition if it starts, and
// synchronizes the ledgers of both sides if it ends.
func (f *optimumWithFaults) setPartitioned(_ int, on bool) {
	if !on {
		for w := range f.run.pattern.loads {
			f.optimum.syncLedgers(w)
		}
		return
	}
	for _, e := range f.run.engines {
		for _, j := range slices.Clone(e.jobs) {
			if !f.run.reachable(j.daemon%f.run.site.zones, e.zone) {
				f.finish(j)
				f.run.interrupt(j)
			}
		}
	}
	f.optimum.exchange(f.baseline)
}

// setLossEnabled does nothing: an omniscient scheduler sends no messages.
func (f *optimumWithFaults) setLossEnabled(bool) {}
