package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

// probedVM is one VM of a zone whose balancer probes its readiness once a second.
type probedVM struct {
	detector     overload.Detector
	overloaded   bool
	failedProbes int
	// flooded reports that the VM currently receives a flood that exceeds its capacity;
	// busyUntil is when it will have worked off the requests of the last one.
	flooded   bool
	busyUntil time.Time
}

// inRotation reports whether the balancer directs new connections to the VM.
func (v *probedVM) inRotation() bool { return v.failedProbes < 2 }

// probedZone is an availability zone behind a balancer: two failed probes take a VM out
// of rotation and one successful probe returns it; if fewer than half are in rotation,
// all are used. Callers go to the first VM in use in an order of their own.
type probedZone struct {
	vms []probedVM
	now time.Time
}

// inUse reports which VMs the balancer uses.
func (z *probedZone) inUse() []bool {
	inUse, ready := make([]bool, len(z.vms)), 0
	for i := range z.vms {
		inUse[i] = z.vms[i].inRotation()
		if inUse[i] {
			ready++
		}
	}
	if 2*ready < len(z.vms) {
		for i := range inUse {
			inUse[i] = true
		}
	}
	return inUse
}

const (
	// drainTime is how long a VM takes to work off the requests of a flood.
	drainTime = 2 * time.Second
	// normalConnInterval is how often callers other than the floods open a connection to
	// a VM in use.
	normalConnInterval = 500 * time.Millisecond
)

// step simulates one tick. Each flood goes to the first VM in use from its start index
// on.
func (z *probedZone) step(floods []int) (flooded []int) {
	z.now = z.now.Add(tick)
	inUse := z.inUse()
	for i := range z.vms {
		z.vms[i].flooded = false
	}
	for _, first := range floods {
		for k := range z.vms {
			if i := (first + k) % len(z.vms); inUse[i] {
				z.vms[i].flooded = true
				z.vms[i].busyUntil = z.now.Add(drainTime)
				flooded = append(flooded, i)
				break
			}
		}
	}
	ticks := int(z.now.UnixNano() / int64(tick))
	for i := range z.vms {
		z.vms[i].step(z.now, inUse[i], ticks+7*i)
	}
	return flooded
}

func (v *probedVM) step(now time.Time, inUse bool, ticks int) {
	var o overload.Observation
	o.MayHold = true
	switch {
	case v.flooded:
		o.SchedLatency, o.ShedFraction, o.NewConns = 30*time.Millisecond, 0.95, 10
	case now.Before(v.busyUntil):
		o.SchedLatency = 5 * time.Millisecond
	}
	if inUse && ticks%int(normalConnInterval/tick) == 0 {
		o.NewConns++
	}
	v.overloaded = v.detector.Observe(now, o)
	if ticks%int(time.Second/tick) != 0 {
		return
	}
	if v.overloaded {
		v.failedProbes++
		return
	}
	v.failedProbes = 0
}

// longestFlood simulates a zone for the given duration and returns the longest time that
// a flood stayed on one VM.
func longestFlood(vms int, floods []int, duration time.Duration) (longest time.Duration) {
	z := &probedZone{vms: make([]probedVM, vms), now: time.Unix(1000, 0)}
	floodedSince, floodedVM := make([]time.Time, len(floods)), make([]int, len(floods))
	for end := z.now.Add(duration); z.now.Before(end); {
		for i, vm := range z.step(floods) {
			if floodedSince[i].IsZero() || floodedVM[i] != vm {
				floodedSince[i], floodedVM[i] = z.now, vm
			}
			longest = max(longest, z.now.Sub(floodedSince[i]))
		}
	}
	return longest
}

// The callers of one workspace, directed by the balancer to one VM at a time, overload
// any VM. Each VM was overloaded in turn and stayed out of rotation for 10 to 40 s on its
// own, until more than half were out. A balancer then uses all VMs, so that the workspace
// stayed on the first one: for twenty seconds half of the zone's requests ended unread
// and the workspace got a tenth of what it sent, while all other VMs idled. In a zone of
// seventeen VMs this lasted for as long as the ninth was not ready.
func TestFloodMovesToIdleVMs(t *testing.T) {
	// maxFlood covers a second to detect the overload, two for the balancer to notice,
	// and two in which the idle VMs return.
	const maxFlood = 5 * time.Second
	for _, vms := range []int{4, 6, 17, 60} {
		for _, floods := range [][]int{{0}, {0, vms / 2}} {
			t.Run(fmt.Sprintf("%d VMs, %d floods", vms, len(floods)), func(t *testing.T) {
				longest := longestFlood(vms, floods, 3*time.Minute)
				t.Logf("a flood stays on one VM for %v at most", longest)
				is.New(t).True(longest <= maxFlood)
			})
		}
	}
}
