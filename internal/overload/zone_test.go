package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/overload"
)

// vmInZone is one VM of a zone whose balancer asks it once a second whether it is ready.
type vmInZone struct {
	detector overload.Detector
	over     bool
	misses   int
	// flooded tells that callers who are too many for it reach it now, busyUntil until
	// when it works on what they brought.
	flooded   bool
	busyUntil time.Time
}

// inRotation tells whether the balancer leads new connections to it.
func (v *vmInZone) inRotation() bool { return v.misses < 2 }

// zone is an availability zone behind a balancer: two misses take a VM out, one pass takes
// it in, and where fewer than half are in, all are used. Callers go to the first VM of an
// order of their own that is used.
type zone struct {
	vms []vmInZone
	now time.Time
}

// used tells which VMs the balancer uses.
func (z *zone) used() []bool {
	used, in := make([]bool, len(z.vms)), 0
	for i := range z.vms {
		used[i] = z.vms[i].inRotation()
		if used[i] {
			in++
		}
	}
	if 2*in < len(z.vms) {
		for i := range used {
			used[i] = true
		}
	}
	return used
}

const (
	// worksOff is how long a VM works on what a flood left.
	worksOff = 2 * time.Second
	// ordinaryEvery is how often ordinary callers open a connection to a VM that is used.
	ordinaryEvery = 500 * time.Millisecond
)

// step plays one tick. Each flood goes to the first VM used from its place in the order on.
func (z *zone) step(floods []int) (flooded []int) {
	z.now = z.now.Add(tick)
	used := z.used()
	for i := range z.vms {
		z.vms[i].flooded = false
	}
	for _, first := range floods {
		for k := range z.vms {
			if i := (first + k) % len(z.vms); used[i] {
				z.vms[i].flooded = true
				z.vms[i].busyUntil = z.now.Add(worksOff)
				flooded = append(flooded, i)
				break
			}
		}
	}
	ticks := int(z.now.UnixNano() / int64(tick))
	for i := range z.vms {
		z.vms[i].step(z.now, used[i], ticks+7*i)
	}
	return flooded
}

func (v *vmInZone) step(now time.Time, used bool, ticks int) {
	var o overload.Observation
	o.Holds = true
	switch {
	case v.flooded:
		o.Wait, o.Shed, o.Arrived = 30*time.Millisecond, 0.95, 10
	case now.Before(v.busyUntil):
		o.Wait = 5 * time.Millisecond
	}
	if used && ticks%int(ordinaryEvery/tick) == 0 {
		o.Arrived++
	}
	v.over = v.detector.Note(now, o)
	if ticks%int(time.Second/tick) != 0 {
		return
	}
	if v.over {
		v.misses++
		return
	}
	v.misses = 0
}

// longestStay plays a zone for so long and returns for how long a flood stayed on one VM at
// most.
func longestStay(vms int, floods []int, long time.Duration) (longest time.Duration) {
	z := &zone{vms: make([]vmInZone, vms), now: time.Unix(1000, 0)}
	since, on := make([]time.Time, len(floods)), make([]int, len(floods))
	for end := z.now.Add(long); z.now.Before(end); {
		for i, vm := range z.step(floods) {
			if since[i].IsZero() || on[i] != vm {
				since[i], on[i] = z.now, vm
			}
			longest = max(longest, z.now.Sub(since[i]))
		}
	}
	return longest
}

// One workspace's callers, whom a balancer leads to one VM at a time, are too many for any
// of them. For twenty seconds half of the zone's requests end unread, that workspace gets a
// tenth of what it asks, and all other VMs of the zone idle: each was overloaded in turn and
// stays out for 10 to 40 s by itself, until more than half are out, and a balancer that
// takes so many for its own fault uses all, the first of them for this workspace. It began
// and ended with the readiness of the ninth daemon of seventeen.
func TestAFloodMovesOnWhileOtherVMsIdle(t *testing.T) {
	// mostStay is above a second to see the overload, two that the balancer takes to
	// notice, and two in which those that idle are to return.
	const mostStay = 5 * time.Second
	for _, vms := range []int{4, 6, 17, 60} {
		for _, floods := range [][]int{{0}, {0, vms / 2}} {
			t.Run(fmt.Sprintf("%d VMs, %d floods", vms, len(floods)), func(t *testing.T) {
				longest := longestStay(vms, floods, 3*time.Minute)
				t.Logf("a flood stays on one VM for %v at most", longest)
				is.New(t).True(longest <= mostStay)
			})
		}
	}
}
