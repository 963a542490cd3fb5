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

const concurrent = 2000

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrent, IdleConnTimeout: 5 * time.Second}}
}

// sendAll sends the mix at once, spread over daemons and workspaces.
func sendAll(t *testing.T, f *fleet, name string, count int) []*request {
	client := newClient()
	defer client.CloseIdleConnections()
	requests := make([]*request, count)
	var group sync.WaitGroup
	for i := range requests {
		r := &request{kind: kind(i % int(kinds)), mark: fmt.Sprintf("%s-%d", name, i), tokens: 10 + i%50}
		requests[i] = r
		group.Go(func() {
			r.send(t.Context(), client, f.daemons[i%daemonCount].address, key((i/daemonCount)%workspaces))
		})
	}
	group.Wait()
	return requests
}

// tally checks every answer against what the targets ran and counts them.
func check(t *testing.T, f *fleet, requests []*request) map[verdict]int {
	t.Helper()
	counts := map[verdict]int{}
	refusals := map[int]int{}
	var slowest time.Duration
	for _, r := range requests {
		counts[r.verdict]++
		slowest = max(slowest, r.elapsed)
		runs := f.ran(r.mark)
		if r.verdict == complete && r.wrong != "" {
			t.Errorf("%s (kind %d): wrong answer: %s", r.mark, r.kind, r.wrong)
		}
		if r.verdict == complete && runs == 0 {
			t.Errorf("%s (kind %d): an answer without a run", r.mark, r.kind)
		}
		if r.verdict == refused {
			refusals[r.code]++
			if r.run == resultcode.NotRun && runs > 0 {
				t.Errorf("%s (kind %d): told not run by code %d (%s), and ran %d times", r.mark, r.kind, r.code, r.message, runs)
			}
		}
		if r.kind.unrepeatable() && runs > 1 {
			t.Errorf("%s (kind %d): unrepeatable, and ran %d times", r.mark, r.kind, runs)
		}
		if r.verdict == unreached {
			t.Errorf("%s (kind %d): no answer from the daemon: %s", r.mark, r.kind, r.message)
		}
	}
	logSlowest(t, requests)
	t.Logf("%d requests: %d complete, %d visibly cut, %d refused %v; slowest %v",
		len(requests), counts[complete], counts[cut], counts[refused], refusals, slowest)
	return counts
}

// logSlowest shows where callers waited longest.
func logSlowest(t *testing.T, requests []*request) {
	bySlowness := slices.Clone(requests)
	slices.SortFunc(bySlowness, func(a, b *request) int { return cmp.Compare(b.elapsed, a.elapsed) })
	for _, r := range bySlowness[:min(shownSlowest, len(bySlowness))] {
		t.Logf("%v: %s kind %d verdict %d code %d %s", r.elapsed.Round(time.Millisecond), r.mark, r.kind, r.verdict, r.code, r.message)
	}
}

const shownSlowest = 3

// A night of the larger fleet in a few seconds: two thousand callers at once, of
// all kinds, while links to targets and between daemons are cut, slowed and go
// silent, engines lose streams and targets leave. A caller may get an error. It
// must never get a wrong answer, a cut one that looks whole, the word "not run"
// for a request that ran, or two runs of one that must not run twice.
func TestExactAnswersUnderFaults(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	endChaos := startChaos(t, f, 1)
	counts := check(t, f, sendAll(t, f, "fault", concurrent))
	faults := endChaos()
	for _, n := range faults {
		is.True(n >= 3) // each kind of fault took place
	}
	is.True(counts[complete] >= concurrent*9/10) // most are served all the same
	resumed := 0
	for _, e := range f.engines {
		resumed += e.Counts().Resumed
	}
	t.Logf("%d streams were resumed", resumed)
	is.True(resumed > 0) // the faults hit streams

	for _, e := range f.engines {
		e.ClearFaults()
	}
	counts = check(t, f, sendAll(t, f, "after", 200))
	is.Equal(counts[complete], 200) // all is well again
}
