package integration_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

const (
	batchTokens      = 500
	interactiveCount = 40
)

// Guards against lost or duplicate tokens in preempted requests. Batch requests of
// one workspace that take many seconds occupy every slot. Then other workspaces
// send interactive requests while connections to the engines break. Batch requests
// are preempted and continue on other engines. Each batch response, streamed or
// not, must contain every token exactly once; each interactive request must
// complete; and the engines must count the tokens that they process again.
func TestPreemptedRequestsReturnExactResponses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, func(f *fleet) { f.preemption, f.meanCost = true, batchTokens })
	// Before all daemons know each other, several daemons act as owner and grant the
	// same slots, so that interactive requests would wait in the engines.
	f.waitForMembership()
	client := newClient()
	defer client.CloseIdleConnections()
	var all []*request
	var group sync.WaitGroup
	sendAsync := func(r *request, daemon, workspace int) {
		all = append(all, r)
		group.Go(func() { r.send(t.Context(), client, f.daemons[daemon].url, workspaceKey(workspace)) })
	}
	for i := range 9 * engineCount * engineSlots / 8 {
		r := &request{kind: requestKind(i % int(unrepeatableCompletion)), mark: fmt.Sprintf("draft-%d", i), tokens: batchTokens, operation: "recap"}
		sendAsync(r, i%daemonCount, 0)
	}
	sum := func(field func(enginestandin.Counts) int) (n int) {
		for _, e := range f.engines {
			n += field(e.Counts())
		}
		return n
	}
	waitUntil(t, startTimeout, "the engines have produced a fifth of the batch tokens", func() bool {
		return sum(func(c enginestandin.Counts) int { return c.Tokens }) >= engineCount*engineSlots*batchTokens/5
	})
	for i, e := range f.engines {
		e.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: batchTokens/5 + 10*i, Times: 5})
	}
	for i := range interactiveCount {
		r := &request{kind: requestKind(i % int(unrepeatableCompletion)), mark: fmt.Sprintf("question-%d", i), tokens: 10, operation: "ask"}
		sendAsync(r, i%daemonCount, 1+i%(workspaceCount-1))
		time.Sleep(50 * time.Millisecond) // separate users rather than a burst
	}
	group.Wait()
	counts := checkRequests(t, f, all)
	continued := sum(func(c enginestandin.Counts) int { return c.Continued })
	recomputed := sum(func(c enginestandin.Counts) int { return c.RecomputedTokens })
	t.Logf("%d batch requests continued after preemption, %d tokens were recomputed", continued, recomputed)
	interactive := slices.SortedFunc(slices.Values(all[len(all)-interactiveCount:]), func(a, b *request) int { return cmp.Compare(a.elapsed, b.elapsed) })
	t.Logf("interactive requests took %v in the median and %v at most", interactive[interactiveCount/2].elapsed, interactive[interactiveCount-1].elapsed)
	is.True(continued > 0)
	is.True(recomputed > continued)
	is.Equal(counts[complete], len(all))
}

// waitForMembership waits until each daemon knows all others.
func (f *fleet) waitForMembership() {
	for _, p := range f.daemons {
		waitUntil(f.t, startTimeout, "all members are known to "+string(p.name), func() bool {
			status, err := readStatus(f.t.Context(), http.DefaultClient, p.operatorsAddress)
			return err == nil && len(status.Members) == daemonCount
		})
	}
}
