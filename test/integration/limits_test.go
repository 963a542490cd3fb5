package integration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/limit"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	rateLimit    = 10 // requests per second
	sendDuration = 5 * time.Second
	sendInterval = 5 * time.Millisecond
)

// Guards against a rate limit that each daemon applies by itself: with a limit of
// 10 requests per second, the 7 daemons accepted 70. A workspace sends hundreds of
// requests per second through all daemons; the fleet must accept at most the
// number that docs/design/admission.md states. The rejection must name the
// workspace's own rate limit, and it tells the caller when to retry.
func TestRateLimitAppliesFleetWide(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, func(f *fleet) { f.firstWorkspaceLimits.RequestsPerSecond = rateLimit })
	client := newClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var requests []*request
	var callers sync.WaitGroup
	start := time.Now()
	for i := range daemonCount {
		callers.Go(func() {
			for n := 0; time.Since(start) < sendDuration; n++ {
				r := &request{kind: plainRead, mark: fmt.Sprintf("limited-%d-%d", i, n)}
				r.send(t.Context(), client, f.daemons[i].url, workspaceKey(0))
				mu.Lock()
				requests = append(requests, r)
				mu.Unlock()
				time.Sleep(sendInterval)
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(start)
	counts := checkRequests(t, f, requests)
	maxAccepted := limit.Config{}.MaxAccepted(rateLimit, elapsed, daemonCount)
	t.Logf("%d accepted in %v, at most %.0f", counts[complete], elapsed.Round(time.Millisecond), maxAccepted)
	is.True(float64(counts[complete]) <= maxAccepted)
	is.True(counts[complete] >= rateLimit) // the workspace gets at least its limit for one second
	is.Equal(counts[complete]+counts[rejected], len(requests))
	for _, r := range requests {
		if r.result == rejected {
			is.Equal(r.code, resultcode.RateLimited.Number)
		}
	}
}
