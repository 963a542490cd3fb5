package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// retryingCallers sends requests for as long as a schedule of failures runs. If
// a daemon does not respond, or reports that the request did not run, the caller
// retries at a random daemon with the same mark and idempotency key.
type retryingCallers struct {
	fleet  *fleet
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu       sync.Mutex
	requests []*retriedRequest
}

// retriedRequest is one request with all its attempts.
type retriedRequest struct {
	kind     requestKind
	mark     string
	attempts []*request
}

const (
	retryingCallerCount = 64
	maxAttempts         = 6
	attemptTimeout      = 30 * time.Second
)

func startRetryingCallers(t *testing.T, f *fleet, name string, seed uint64) *retryingCallers {
	ctx, cancel := context.WithCancel(t.Context())
	c := &retryingCallers{fleet: f, client: newClient(), cancel: cancel}
	for n := range retryingCallerCount {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		c.group.Go(func() { c.runCaller(ctx, rng, fmt.Sprintf("%s-%d", name, n)) })
	}
	return c
}

func (c *retryingCallers) runCaller(ctx context.Context, rng *rand.Rand, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		r := &retriedRequest{kind: randomKind(rng), mark: fmt.Sprintf("%s-%d", name, i)}
		c.sendWithRetries(ctx, rng, r)
		c.mu.Lock()
		c.requests = append(c.requests, r)
		c.mu.Unlock()
	}
}

// randomKind picks an unrepeatable kind for at least every second request on
// average, because these are the requests that a schedule of failures puts most
// at risk.
func randomKind(rng *rand.Rand) requestKind {
	if rng.IntN(2) == 0 {
		return []requestKind{unrepeatableCompletion, plainClaim}[rng.IntN(2)]
	}
	return requestKind(rng.IntN(int(requestKindCount)))
}

// sendWithRetries sends a request until there is a response that does not allow
// a retry, or until the number of attempts reaches maxAttempts.
func (c *retryingCallers) sendWithRetries(ctx context.Context, rng *rand.Rand, r *retriedRequest) {
	tokens, apiKey := 10+rng.IntN(40), workspaceKey(rng.IntN(workspaceCount))
	for len(r.attempts) < maxAttempts {
		attempt := &request{kind: r.kind, mark: r.mark, tokens: tokens}
		attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
		attempt.send(attemptCtx, c.client, c.fleet.daemon(rng.IntN(daemonCount)).url, apiKey)
		cancel()
		r.attempts = append(r.attempts, attempt)
		retryable := attempt.result == noResponse || attempt.result == rejected && attempt.outcome == resultcode.NotRun
		if !retryable || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
}

// stop lets the callers finish their current requests and returns all requests.
func (c *retryingCallers) stop() []*retriedRequest {
	c.cancel()
	c.group.Wait()
	c.client.CloseIdleConnections()
	return c.requests
}

// checkRetriedRequests compares the results of all attempts with the requests
// that the targets ran.
func checkRetriedRequests(t *testing.T, f *fleet, requests []*retriedRequest) {
	t.Helper()
	completed, attempts := 0, 0
	for _, r := range requests {
		runs := f.runCount(r.mark)
		if r.kind.isUnrepeatable() && runs > 1 {
			t.Errorf("%s: unrepeatable request ran %d times", r.mark, runs)
		}
		allNotRun := true
		for _, attempt := range r.attempts {
			attempts++
			if attempt.result == complete {
				completed++
			}
			if attempt.mismatch != "" {
				t.Errorf("%s: wrong response: %s", r.mark, attempt.mismatch)
			}
			allNotRun = allNotRun && attempt.result == rejected && attempt.outcome == resultcode.NotRun
		}
		if allNotRun && runs > 0 {
			t.Errorf("%s: every attempt was reported as not run, but the request ran %d times; first code %d", r.mark, runs, r.attempts[0].code)
		}
	}
	t.Logf("%d requests in %d attempts, %d completed", len(requests), attempts, completed)
	if completed == 0 {
		t.Error("no request was completed")
	}
}
