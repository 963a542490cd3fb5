package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// runs counts the runs of each key as its targets would.
type runs struct {
	mu  sync.Mutex
	ran map[string]int
}

func (r *runs) add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[key]++
}

func (r *runs) count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[key]
}

func TestCallersRepeatWhileTableMisbehaves(t *testing.T) {
	// Callers repeat the same keys through four daemons until they are told an
	// end, while one transaction in four is refused, lost, dropped or takes
	// effect late. A key that runs twice is a claim that is filed twice; one
	// that never runs is a caller who is told "try again" for ever.
	const daemons, keys, callersPerKey = 4, 30, 3
	const seed = 20261202
	f, table, ran := newFleet(), newFakeTable(), &runs{ran: map[string]int{}}
	random := rand.New(rand.NewPCG(seed, 0))
	for range 4000 {
		table.faults = append(table.faults, fault(max(0, random.IntN(16)-11)))
	}
	var claimers []*Claimer
	for i := range daemons {
		claimers = append(claimers, f.add(t, table, quick(ident.Daemon(fmt.Sprint("d", i)))))
	}
	var wg sync.WaitGroup
	for k := range keys {
		for c := range callersPerKey {
			wg.Go(func() { persist(t, claimers, ran, fmt.Sprint("key", k), uint64(k*callersPerKey+c)) })
		}
	}
	stop, late := context.WithCancel(t.Context())
	var releases sync.WaitGroup
	releases.Go(func() {
		for sleep(stop, 3*time.Millisecond) {
			table.release()
		}
	})
	wg.Wait()
	late()
	releases.Wait()
	for k := range keys {
		is.New(t).Equal(ran.count(fmt.Sprint("key", k)), 1)
	}
}

// persist repeats one request until its caller has a final answer.
func persist(t *testing.T, claimers []*Claimer, ran *runs, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	k := key
	k.Idempotency = name
	for {
		c := claimers[random.IntN(len(claimers))]
		d, err := c.Claim(t.Context(), k, digest, ident.NewAttempt())
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
				t.Errorf("%s: an answer without a run", name)
			}
			return
		case Refuse:
			if d.Failure.Code != resultcode.InProgress && d.Failure.Code != resultcode.StoreUnavailable {
				t.Errorf("%s: %v", name, d.Failure)
				return
			}
		}
		sleep(t.Context(), time.Millisecond)
	}
}

// runOnce runs the request, or one time in three gives it up before or after
// its start.
func runOnce(t *testing.T, h *Hold, random *rand.Rand, ran *runs, name string) bool {
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
	_ = h.Finish(t.Context(), Outcome{Result: resultcode.Ran, Kept: true})
	return true
}
