package overload_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

// floodRate is the rate of a caller that opens more connections a second than a small VM has
// the processor time to refuse.
const floodRate = 3000

// Guards against a flooded small VM that serves requests in the order of their arrival, seconds
// after they were sent, so that what it serves is late for all of its callers.
func TestFloodedSmallVMServesInTime(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			z := newSimZone(seed, 47, 3, localPlacer{})
			z.enableForwarding()
			flood := &simWorkspace{rate: floodRate, limiter: rate.NewLimiter(rate.Inf, 0), vmOrders: [][]int{z.vmOrder(), z.vmOrder()}}
			normal := &simWorkspace{rate: 50 * normalRate, limiter: rate.NewLimiter(rate.Inf, 0)}
			z.workspaces = []*simWorkspace{flood, normal}
			z.run(15)
			t.Logf("flood: %.0f served a second, %.3f of them in time; others: %.3f in time", flood.total/15, flood.inTime/flood.total, normal.inTime/normal.total)
			is := is.New(t)
			is.True(flood.inTime/flood.total > 0.9)
			is.True(normal.inTime/normal.total > 0.95)
		})
	}
}
