package overload_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/savorystall/savorystall/internal/handover"
	"github.com/savorystall/savorystall/internal/ident"
)

// handing passes connections on as daemons do: each VM has a Picker of its own, and a VM that
// refuses a part of its requests takes none over.
type handing struct {
	zone    *smallZone
	pickers []*handover.Picker
	// open is how many connections each Picker takes to be open at each VM.
	open [][]int
}

// pass lets the VMs of a zone pass connections on.
func (z *smallZone) pass() {
	h := &handing{zone: z}
	for i := range z.vms {
		var neighbours []handover.Neighbour
		for j := range z.vms {
			if j != i {
				neighbours = append(neighbours, handover.Neighbour{ID: vmName(j), Address: fmt.Sprint(j)})
			}
		}
		p := handover.NewPicker(passedMost)
		p.SetNeighbours(neighbours)
		h.pickers, h.open = append(h.pickers, p), append(h.open, make([]int, len(z.vms)))
	}
	z.placer = h
}

// passedMost is how many connections a small VM passes on at a time.
const passedMost = 46

func vmName(i int) ident.Daemon { return ident.Daemon(fmt.Sprint(i)) }

// place implements placer.
func (h *handing) place(at int, shed float64, held []int, rng *rand.Rand) int {
	p, open := h.pickers[at], h.open[at]
	for j, n := range held {
		for ; j != at && open[j] > n; open[j]-- {
			p.Ended(vmName(j))
		}
	}
	part := handover.Load{Refuse: shed, Unread: h.unread(at)}.Part()
	if part == 0 {
		return at
	}
	to, choice := p.Offer(h.zone.now(), rng, part)
	for tries, ok := 1, choice == handover.Neighbours; ok; tries++ {
		j := 0
		if _, err := fmt.Sscan(to.Address, &j); err != nil {
			panic(err)
		}
		if (handover.Load{Refuse: h.zone.vms[j].shed, Unread: h.unread(j)}).Takes() {
			p.Taken()
			open[j]++
			return j
		}
		p.Refused(h.zone.now(), to.ID)
		if tries == 2 {
			break
		}
		to, ok = p.Choose(h.zone.now(), rng)
	}
	return at
}

// unread counts the calls that wait for their first turn at a VM.
func (h *handing) unread(at int) (n int) {
	for _, j := range h.zone.vms[at].ready {
		if j.begin != nil {
			n++
		}
	}
	return n
}
