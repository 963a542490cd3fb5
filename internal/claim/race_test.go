package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// runCounter counts the runs of each key, as a target would see them.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runCounter) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
}

func (r *runCounter) count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

func TestCallersRetryDuringTableFaults(t *testing.T) {
	// Callers retry the same keys through four daemons until they receive a final
	// result, while one transaction in four is rejected, dropped, delayed or loses
	// its response. A key that runs twice is a claim statement that is filed twice;
	// with a key that never runs, the caller is told to retry forever.
	const daemons, keys, callersPerKey = 4, 30, 3
	const seed = 20261202
	f, table, ran := newFleet(), newFakeTable(), &runCounter{counts: map[string]int{}}
	random := rand.New(rand.NewPCG(seed, 0))
	for range 4000 {
		table.faults = append(table.faults, fault(max(0, random.IntN(16)-11)))
	}
	var claimers []*Claimer
	for i := range daemons {
		claimers = append(claimers, f.addDaemon(t, table, testConfig(ident.Daemon(fmt.Sprint("d", i)))))
	}
	var wg sync.WaitGroup
	for k := range keys {
		for c := range callersPerKey {
			wg.Go(func() { retryUntilFinal(t, claimers, ran, fmt.Sprint("key", k), uint64(k*callersPerKey+c)) })
		}
	}
	releaseCtx, stopReleases := context.WithCancel(t.Context())
	var releases sync.WaitGroup
	releases.Go(func() {
		for clock.Sleep(releaseCtx, clock.Real, 3*time.Millisecond) {
			table.applyDelayed()
		}
	})
	wg.Wait()
	stopReleases()
	releases.Wait()
	for k := range keys {
		is.New(t).Equal(ran.count(fmt.Sprint("key", k)), 1)
	}
}

// retryUntilFinal retries one request until its caller has a final result.
func retryUntilFinal(t *testing.T, claimers []*Claimer, ran *runCounter, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	k := testKey
	k.IdempotencyKey = name
	for {
		c := claimers[random.IntN(len(claimers))]
		d, err := c.Claim(t.Context(), k, testDigest, ident.NewAttempt())
		if err != nil {
			t.Error(err)
			return
		}
		switch d := d.(type) {
		case Proceed:
			if runOnce(t, d.Hold, random, ran, name) {
				return
			}
		case Replay:
			if ran.count(name) != 1 {
				t.Errorf("%s: replayed an answer without exactly one run", name)
			}
			return
		case Refuse:
			if d.Failure.Code != resultcode.InProgress && d.Failure.Code != resultcode.StoreUnavailable {
				t.Errorf("%s: %v", name, d.Failure)
				return
			}
		}
		clock.Sleep(t.Context(), clock.Real, time.Millisecond)
	}
}

// runOnce runs the request or, with a probability of one third, abandons it before
// the start or finishes it as not run after the start.
func runOnce(t *testing.T, h *Hold, random *rand.Rand, ran *runCounter, name string) bool {
	switch random.IntN(6) {
	case 0:
		h.Abandon()
		return false
	case 1:
		_ = h.Start(time.Now())
		_ = h.Finish(t.Context(), Outcome{Result: resultcode.NotRun})
		return false
	}
	if h.Start(time.Now()) != nil {
		return false
	}
	ran.add(name)
	_ = h.Finish(t.Context(), Outcome{Result: resultcode.Ran, HasResponse: true})
	return true
}
