package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/overload"
)

// leaveAt is when the large VM leaves rotation, in the middle of the flood.
const leaveAt = 9 * time.Second

// largeFirst returns an order in which callers try a large VM, and then the small ones at random.
func (z *simZone) largeFirst() []int {
	order := z.vmOrder()
	last := len(order) - 1
	return append([]int{order[last]}, order[:last]...)
}

// overloadOnce makes a VM count as overloaded, as a short peak of its load does.
func (z *simZone) overloadOnce(v *simVM) {
	v.detector.Observe(z.now(), overload.Observation{ShedFraction: 1, MayHold: true})
}

// Guards against a workspace that starves because the large VM that serves its callers leaves
// rotation for a short peak and stays out although it keeps up: its callers flood one small VM
// after the other.
func TestWorkspaceOfLargeVMOutOfRotationGetsItsShare(t *testing.T) {
	for _, forwards := range []bool{false, true} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("forwards %v, seed %d", forwards, seed), func(t *testing.T) {
				z := newSimZone(seed, 13, 2, localPlacer{})
				if forwards {
					z.enableForwarding()
				}
				order := z.largeFirst()
				hot := &simWorkspace{rate: hotRate, limiter: rate.NewLimiter(targetRate, targetBurst), vmOrders: [][]int{order, order}}
				spread := &simWorkspace{rate: spreadRate, limiter: rate.NewLimiter(targetRate, targetBurst)}
				normal := &simWorkspace{rate: normalRate, limiter: rate.NewLimiter(rate.Inf, 0)}
				z.workspaces = []*simWorkspace{hot, spread, normal}
				z.schedule(leaveAt, func() { z.overloadOnce(z.vms[order[0]]) })
				z.run(simSeconds)
				ratio, second := minShareRatio(hot, spread)
				t.Logf("from second %d: served %.2f of the entitlement; requests per second %.0f, other workspace %.0f",
					second, ratio, hot.served[second:second+windowSeconds], spread.served[second:second+windowSeconds])
				is.New(t).True(ratio >= 1)
			})
		}
	}
}
