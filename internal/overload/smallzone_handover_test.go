package overload_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/savorystall/savorystall/internal/handover"
	"github.com/savorystall/savorystall/internal/ident"
)

// forwardingPlacer forwards connections as daemons do: each VM has its own Picker, and a
// VM accepts forwarded connections only while handover.Load allows it.
type forwardingPlacer struct {
	zone    *simZone
	pickers []*handover.Picker
	// openConns holds, by VM, how many connections its Picker counts as open at each VM.
	openConns [][]int
	// reported is set if neighbours report their mean latency in place of what the time of their reply
	// shows, and late if what is known of them is a second old.
	reported, late bool
	// fixed is set if the limit on what each VM forwards does not follow its latency.
	fixed bool
}

// enableForwarding makes the VMs of a zone forward connections.
func (z *simZone) enableForwarding() {
	h := &forwardingPlacer{zone: z}
	for i, v := range z.vms {
		var neighbours []handover.Neighbour
		for j := range z.vms {
			if j != i {
				neighbours = append(neighbours, handover.Neighbour{ID: daemonID(j), Address: fmt.Sprint(j)})
			}
		}
		p := handover.NewPicker(v.baseForwarded())
		p.SetNeighbours(neighbours)
		h.pickers, h.openConns = append(h.pickers, p), append(h.openConns, make([]int, len(z.vms)))
	}
	z.placer = h
}

// baseForwarded is how many connections a small VM forwards at a time whatever its latency.
const baseForwarded = 46

// baseForwarded returns how many connections a VM forwards at a time whatever its latency. It
// follows the memory of the VM, which differs less than the processor time.
func (v *simVM) baseForwarded() int {
	return int(baseForwarded * min(float64(v.quota)/float64(quotaPeriod)/smallVMCores, 3))
}

func daemonID(i int) ident.Daemon { return ident.Daemon(fmt.Sprint(i)) }

// place implements placer.
func (h *forwardingPlacer) place(vm int, shedFraction float64, forwarded []int, rng *rand.Rand) int {
	p, openConns := h.pickers[vm], h.openConns[vm]
	for j, n := range forwarded {
		for ; j != vm && openConns[j] > n; openConns[j]-- {
			p.Closed(daemonID(j))
		}
	}
	load := handover.Load{ShedFraction: shedFraction, UnreadConns: h.unreadConns(vm)}
	if v := h.zone.vms[vm]; v.early != nil && !p.Crowded(h.zone.now()) {
		load.EarlyFraction, load.Spread = v.earlyFraction, true
	}
	fraction := load.ForwardFraction()
	if fraction == 0 {
		return vm
	}
	if !h.fixed {
		p.ObserveLatency(h.zone.now(), h.zone.vms[vm].detector.MeanLatency())
	}
	to, choice := p.Route(h.zone.now(), rng, fraction)
	for tries, ok := 1, choice == handover.Forward; ok; tries++ {
		j := 0
		if _, err := fmt.Sscan(to.Address, &j); err != nil {
			panic(err)
		}
		if (handover.Load{ShedFraction: h.zone.vms[j].shedFraction, EarlyFraction: h.zone.vms[j].earlyFraction, UnreadConns: h.unreadConns(j)}).AcceptsForwarded() {
			p.Accepted(h.zone.now(), to.ID, h.latency(vm, j))
			openConns[j]++
			return j
		}
		p.Refused(h.zone.now(), to.ID)
		if tries == 2 {
			break
		}
		to, ok = p.Pick(h.zone.now(), rng)
	}
	return vm
}

// unreadConns returns the number of jobs at a VM that have not run yet.
func (h *forwardingPlacer) unreadConns(vm int) (n int) {
	for _, j := range h.zone.vms[vm].runQueue {
		if j.start != nil {
			n++
		}
	}
	return n
}
