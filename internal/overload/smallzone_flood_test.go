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

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// Guards against a caller that sends thousands of requests a second to one small VM and waits
// for most of them until they time out, while the VM spends its time on requests whose callers
// have left.
func TestFloodOfOneSmallVMIsServedOrTurnedAwayAtOnce(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			z := newSimZone(seed, 47, 3, localPlacer{})
			z.enableForwarding()
			flood := &simWorkspace{rate: floodRate, limiter: rate.NewLimiter(rate.Inf, 0), vmOrders: [][]int{z.vmOrder(), z.vmOrder()}}
			normal := &simWorkspace{rate: 50 * normalRate, limiter: rate.NewLimiter(rate.Inf, 0)}
			z.workspaces = []*simWorkspace{flood, normal}
			z.run(15)
			served, failed := sum(flood.served), sum(flood.failed)
			late := flood.late / (served + failed)
			t.Logf("flood: %.0f served and %.0f failed a second, %.3f of the outcomes late; others: %.3f served",
				served/15, failed/15, late, sum(normal.served)/sum(normal.offered))
			is := is.New(t)
			is.True(late < 0.1)
			is.True(sum(normal.served)/sum(normal.offered) > 0.95)
		})
	}
}
