package overload_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

const (
	// targetRate is how many requests a second the targets accept from each of the two
	// busy workspaces, and targetBurst how many at once. hotRate is the request rate of
	// the busy workspace whose callers reach one VM at a time, spreadRate that of the one
	// whose callers reach all VMs, and normalRate that of all other callers together.
	targetRate  = 150
	targetBurst = targetRate / 5
	hotRate     = 800
	spreadRate  = 400
	normalRate  = 60

	simSeconds, windowSeconds = 40, 6
)

// minShareRatio returns the lowest ratio between the requests of w that were served and
// its entitlement, over all windows of windowSeconds in each second of which requests of
// w failed, and the second at which that window begins. The entitlement is, second by
// second, half of what w offered or half of what was served to other, whichever is less.
func minShareRatio(w, other *simWorkspace) (ratio float64, second int) {
	ratio = math.Inf(1)
	for from := 0; from+windowSeconds <= simSeconds; from++ {
		served, entitled, failing := 0.0, 0.0, true
		for s := from; s < from+windowSeconds; s++ {
			served += w.served[s]
			entitled += min(w.offered[s], other.served[s]) / 2
			failing = failing && w.failed[s] > 0
		}
		if failing && served/entitled < ratio {
			ratio, second = served/entitled, from
		}
	}
	return ratio, second
}

// requireShare simulates a zone with two busy workspaces, one whose callers try VMs in the given
// orders and one whose callers reach all VMs. It fails the test if the former gets less than its
// entitlement.
func (z *simZone) requireShare(t *testing.T, vmOrders ...[]int) {
	t.Helper()
	hot := &simWorkspace{rate: hotRate, limiter: rate.NewLimiter(targetRate, targetBurst), vmOrders: vmOrders}
	spread := &simWorkspace{rate: spreadRate, limiter: rate.NewLimiter(targetRate, targetBurst)}
	normal := &simWorkspace{rate: normalRate, limiter: rate.NewLimiter(rate.Inf, 0)}
	z.workspaces = []*simWorkspace{hot, spread, normal}
	z.run(simSeconds)
	ratio, second := minShareRatio(hot, spread)
	t.Logf("from second %d: served %.2f of the entitlement; requests per second %.0f, other workspace %.0f",
		second, ratio, hot.served[second:second+windowSeconds], spread.served[second:second+windowSeconds])
	is.New(t).True(ratio >= 1)
}

// Guards against a workspace that starves beside idle VMs because its callers reach one
// small VM at a time.
func TestWorkspaceBehindOneSmallVMGetsItsShare(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			z := newSimZone(seed, 15, 2, localPlacer{})
			z.enableForwarding()
			z.requireShare(t, z.vmOrder(), z.vmOrder())
		})
	}
}

// Guards against a small VM that forwards few connections at a time, each of which lasts as long as its
// stream, and refuses the callers of a workspace although its neighbours have processor time to spare.
func TestWorkspaceOfStreamsBehindOneSmallVMGetsItsShare(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			z := newSimZone(seed, 13, 2, localPlacer{})
			z.events, z.forwardTime, z.carryTime = 20, refuseTime, eventTime
			z.enableForwarding()
			hot := &simWorkspace{rate: 920, limiter: streamLimiter(), vmOrders: [][]int{z.vmOrder(), z.vmOrder()}}
			spread := &simWorkspace{rate: spreadRate, limiter: streamLimiter()}
			normal := &simWorkspace{rate: 225, limiter: rate.NewLimiter(rate.Inf, 0)}
			z.workspaces = []*simWorkspace{hot, spread, normal}
			z.run(simSeconds)
			ratio, second := minShareRatio(hot, spread)
			late := float64(z.lateEvents) / float64(z.sentEvents)
			t.Logf("from second %d: served %.2f of the entitlement; late events %.4f; of normal callers in time %.3f", second, ratio, late, normal.inTime/simSeconds/normal.rate)
			is := is.New(t)
			is.True(ratio >= 1)
			is.True(late < 0.01) // what is forwarded must not delay the streams that a VM carries
		})
	}
}

// streamLimiter limits a workspace to what targets accept of it where responses are streams.
func streamLimiter() *rate.Limiter { return rate.NewLimiter(240, 48) }
