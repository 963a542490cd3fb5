package overload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/overload"
)

// leaveAt is when the large VM leaves rotation, in the middle of the flood.
const leaveAt = 9 * time.Second

// largeFirst returns an order in which callers try one large VM, then the small ones at random,
// and then the other large ones.
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
				z.schedule(leaveAt, func() { z.overloadOnce(z.vms[order[0]]) })
				z.requireShare(t, order, order)
			})
		}
	}
}
