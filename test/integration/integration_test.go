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

	"github.com/savorystall/savorystall/internal/resultcode"
)

const concurrentRequests = 2000

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentRequests, IdleConnTimeout: 5 * time.Second}}
}

// sendConcurrently sends requests of all kinds at once, spread over the daemons
// and workspaces.
func sendConcurrently(t *testing.T, f *fleet, name string, count int) []*request {
	client := newClient()
	defer client.CloseIdleConnections()
	requests := make([]*request, count)
	var group sync.WaitGroup
	for i := range requests {
		r := &request{kind: requestKind(i % int(requestKindCount)), mark: fmt.Sprintf("%s-%d", name, i), tokens: 10 + i%50}
		requests[i] = r
		group.Go(func() {
			r.send(t.Context(), client, f.daemons[i%daemonCount].url, workspaceKey((i/daemonCount)%workspaceCount))
		})
	}
	group.Wait()
	return requests
}

// checkRequests compares every response with the requests that the targets ran,
// and counts the responses by result.
func checkRequests(t *testing.T, f *fleet, requests []*request) map[resultKind]int {
	t.Helper()
	counts := map[resultKind]int{}
	refusals := map[int]int{}
	var slowest time.Duration
	for _, r := range requests {
		counts[r.result]++
		slowest = max(slowest, r.elapsed)
		runs := f.runCount(r.mark)
		if r.result == complete && r.mismatch != "" {
			t.Errorf("%s (kind %d): wrong response: %s", r.mark, r.kind, r.mismatch)
		}
		if r.result == complete && runs == 0 {
			t.Errorf("%s (kind %d): complete response, but no target ran the request", r.mark, r.kind)
		}
		if r.result == rejected {
			refusals[r.code]++
			if r.outcome == resultcode.NotRun && runs > 0 {
				t.Errorf("%s (kind %d): code %d (%s) reported it as not run, but it ran %d times", r.mark, r.kind, r.code, r.message, runs)
			}
		}
		if r.kind.isUnrepeatable() && runs > 1 {
			t.Errorf("%s (kind %d): unrepeatable request ran %d times", r.mark, r.kind, runs)
		}
		if r.result == noResponse {
			t.Errorf("%s (kind %d): no response from the daemon: %s", r.mark, r.kind, r.message)
		}
	}
	logSlowest(t, requests)
	t.Logf("%d requests: %d complete, %d truncated, %d rejected %v; slowest %v",
		len(requests), counts[complete], counts[truncated], counts[rejected], refusals, slowest)
	return counts
}

// logSlowest logs the requests with the longest response times.
func logSlowest(t *testing.T, requests []*request) {
	bySlowness := slices.Clone(requests)
	slices.SortFunc(bySlowness, func(a, b *request) int { return cmp.Compare(b.elapsed, a.elapsed) })
	for _, r := range bySlowness[:min(loggedSlowest, len(bySlowness))] {
		t.Logf("%v: %s kind %d result %d code %d %s", r.elapsed.Round(time.Millisecond), r.mark, r.kind, r.result, r.code, r.message)
	}
}

const loggedSlowest = 3

// Guards against incorrect responses while 2000 concurrent requests of all kinds
// run and faults occur: links to targets and between daemons are cut, slow or
// silent, engines lose streams, and targets leave. A caller may get an error, but
// never a wrong response, a truncated response that looks complete, a "not run"
// report for a request that ran, or two runs of an unrepeatable request.
func TestExactAnswersUnderFaults(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	endChaos := startFaultInjector(t, f, 1)
	counts := checkRequests(t, f, sendConcurrently(t, f, "fault", concurrentRequests))
	faults := endChaos()
	for _, n := range faults {
		is.True(n >= 3) // each kind of fault was injected
	}
	is.True(counts[complete] >= concurrentRequests*9/10) // most requests succeed despite the faults
	resumed := 0
	for _, e := range f.engines {
		resumed += e.Counts().Resumed
	}
	t.Logf("%d streams were resumed", resumed)
	is.True(resumed > 0) // the faults affected streams

	for _, e := range f.engines {
		e.ClearFaults()
	}
	counts = checkRequests(t, f, sendConcurrently(t, f, "after", 200))
	is.Equal(counts[complete], 200) // everything works again after the faults
}
