package overload_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/overload"
)

const (
	// eventTime is the cost of an event at the VM that serves its stream, carryTime at one that
	// forwarded the connection, in processor time of a small VM.
	eventTime     = 200 * time.Microsecond
	carryTime     = 100 * time.Microsecond
	eventInterval = 75 * time.Millisecond
	// lateEvent is the delay from which on an event is late.
	lateEvent = 200 * time.Millisecond
)

// stream produces the given number of events of a call, and then closes its connection.
func (z *simZone) stream(c *simCall, left int) {
	if left == 0 {
		c.conn.close()
		return
	}
	z.schedule(z.eventInterval, func() {
		produced := z.elapsed
		sent := func() {
			if z.sentEvents++; z.elapsed-produced > lateEvent {
				z.lateEvents++
			}
		}
		carry := sent
		if by := c.conn.acceptedBy; by != c.conn.servedBy {
			carry = func() { by.enqueueWork(z.carryTime, sent) }
		}
		c.conn.servedBy.enqueueWork(eventTime, carry)
		z.stream(c, left-1)
	})
}

func (v *simVM) enqueueWork(work time.Duration, done func()) {
	v.runQueue = append(v.runQueue, &simJob{remaining: toCoreTime(work), done: done})
}

// latency returns what VM from learns of VM to when that accepts a connection. The reply time contains
// the latency of both.
func (h *forwardingPlacer) latency(from, to int) time.Duration {
	v := h.zone.vms[to]
	learned := v.schedLatency(0) + h.zone.vms[from].schedLatency(0)
	if h.reported {
		learned = v.detector.MeanLatency()
	}
	if !h.late {
		return learned
	}
	before := v.oldLatency
	h.zone.schedule(time.Second, func() { v.oldLatency = learned })
	return before
}

// newUnevenZone returns a zone of VMs with 0.144, 0.48 and 0.8 of a core, one workspace per twenty VMs
// whose callers reach one VM at a time and send hot requests a second, and others that send normal ones per
// VM to all.
func newUnevenZone(seed uint64, vms int, hot, normal float64) *simZone {
	z := newSimZone(seed, vms, 0, localPlacer{})
	for i, place := range z.rng.Perm(vms) {
		cores := 0.144
		switch {
		case 64*place >= 58*vms:
			cores = 0.8
		case 64*place >= 43*vms:
			cores = 0.48
		}
		z.vms[i].quota = time.Duration(cores * float64(quotaPeriod))
	}
	z.events = 20
	for range 1 + vms/20 {
		z.workspaces = append(z.workspaces, &simWorkspace{rate: hot, limiter: rate.NewLimiter(rate.Inf, 0), vmOrders: [][]int{z.vmOrder(), z.vmOrder()}})
	}
	z.workspaces = append(z.workspaces, &simWorkspace{rate: normal * float64(vms), limiter: rate.NewLimiter(rate.Inf, 0)})
	return z
}

// spreadDesign is a way to spread callers. Its name states how neighbours are chosen.
type spreadDesign struct {
	name                                 string
	spread, reported, late, early, bound bool
	// stays is set if VMs whose neighbours accept connections stay in rotation.
	stays bool
}

// use makes the VMs of a zone forward connections in the given way.
func (z *simZone) use(d spreadDesign) {
	z.enableForwarding()
	h := z.placer.(*forwardingPlacer)
	if d.stays {
		z.forwards = func(v *simVM) bool { return h.pickers[v.index].Forwards(z.now()) }
	}
	h.reported, h.late, h.fixed = d.reported, d.late, !d.bound
	for i, v := range z.vms {
		if d.spread {
			h.pickers[i].Spread()
		}
		if d.early {
			v.early = overload.NewEarlyShedder()
		}
	}
}

// spreadResult sums up a run of a zone.
type spreadResult struct {
	offered, inTime, used                float64
	refused, sheds, overloads, forwarded int
	lateEvents                           float64
}

func (z *simZone) result(seconds int) (r spreadResult) {
	z.run(seconds)
	for _, w := range z.workspaces {
		r.inTime += w.inTime
		for i := range w.offered {
			r.offered += w.offered[i]
			r.refused += int(w.failed[i])
		}
	}
	capacity := 0.0
	for _, v := range z.vms {
		r.overloads, r.sheds = r.overloads+v.overloads, r.sheds+v.sheds
		capacity, r.used = capacity+v.quota.Seconds()*10*float64(seconds), r.used+v.used.Seconds()
	}
	r.used /= capacity
	r.inTime /= r.offered
	r.lateEvents = float64(z.lateEvents) / float64(max(1, z.sentEvents))
	r.forwarded = z.forwardedConns
	return r
}

func (r spreadResult) String() string {
	return fmt.Sprintf("used %.2f, in time %.3f of %.0f, failed attempts %d, shed %d, left rotation %d, late events %.4f, forwarded %d", r.used, r.inTime, r.offered, r.refused, r.sheds, r.overloads, r.lateEvents, r.forwarded)
}

var (
	today    = spreadDesign{name: "fewest connections, fixed bound"}
	leaves   = spreadDesign{name: "reply time, early, bound by latency", spread: true, early: true, bound: true}
	chosen   = spreadDesign{name: "reply time, early, bound by latency, in rotation", spread: true, early: true, bound: true, stays: true}
	variants = []spreadDesign{
		today,
		{name: "fewest connections, bound by latency", bound: true},
		{name: "fewest connections, early", early: true},
		{name: "fewest connections, early, bound by latency", early: true, bound: true},
		leaves,
		chosen,
		{name: "reply time a second late, early, bound by latency, in rotation", spread: true, late: true, early: true, bound: true, stays: true},
		{name: "reported latency, early, bound by latency", spread: true, reported: true, early: true, bound: true},
	}
)

// Guards against a small VM that refuses the callers of a workspace, or forwards them to VMs that are as
// busy, and leaves rotation, while its zone uses less than half of its processor time.
func TestUnevenZoneServesCallersOfOneVM(t *testing.T) {
	late := chosen
	late.late = true
	for _, vms := range []int{7, 64, 300} {
		for _, d := range []spreadDesign{chosen, late} {
			z := newUnevenZone(1, vms, 120, 15)
			z.use(d)
			r := z.result(10)
			t.Logf("%d VMs, a second late %v: %v", vms, d.late, r)
			is := is.New(t)
			is.True(r.inTime > 0.98)
			is.True(float64(r.sheds) < 0.02*r.offered)
			is.True(r.overloads <= vms/50)
		}
	}
}

// Guards against daemons that forward connections early although all of their neighbours are short of
// processor time, which serves fewer callers than forwarding none early.
func TestFullUnevenZoneServesAsManyCallers(t *testing.T) {
	before, after := newUnevenZone(1, 22, 0, 120), newUnevenZone(1, 22, 0, 120)
	before.use(today)
	after.use(chosen)
	b, a := before.result(10), after.result(10)
	t.Logf("before: %v", b)
	t.Logf("after: %v", a)
	is.New(t).True(a.inTime > b.inTime-0.01)
}

// Guards against VMs of one size that forward connections to each other although none is flooded.
func TestEvenZoneForwardsNearlyNothing(t *testing.T) {
	z := newSimZone(1, 22, 0, localPlacer{})
	z.events, z.workspaces = 20, []*simWorkspace{{rate: 22 * 45, limiter: rate.NewLimiter(rate.Inf, 0)}}
	z.use(chosen)
	r := z.result(10)
	t.Log(r)
	is := is.New(t)
	is.Equal(r.refused, 0)
	is.True(float64(r.forwarded) < 0.002*r.offered)
}

// TestCompareSpreading prints the figures of docs/design/handover.md with SPREAD_COMPARE=1 and -v.
func TestCompareSpreading(t *testing.T) {
	if os.Getenv("SPREAD_COMPARE") == "" {
		t.Skip("SPREAD_COMPARE is not set")
	}
	for _, load := range []struct {
		vms         int
		hot, normal float64
	}{{7, 120, 15}, {64, 120, 15}, {300, 120, 15}, {7, 200, 15}, {64, 200, 15}, {300, 200, 15}, {64, 200, 45}, {64, 0, 90}, {64, 0, 120}} {
		for _, d := range variants {
			for seed := range uint64(2) {
				z := newUnevenZone(seed, load.vms, load.hot, load.normal)
				z.use(d)
				t.Logf("%d VMs, %.0f/s hot, %.0f/s others per VM, seed %d, %s: %v", load.vms, load.hot, load.normal, seed, d.name, z.result(10))
			}
		}
	}
}
