package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// inTouchDelay is how long after a disturbance of its own a daemon counts as undisturbed.
const inTouchDelay = 4 * time.Second

// callFault is a disturbance of the calls that the undisturbed daemon makes itself.
type callFault struct {
	name             string
	refused, hanging bool
	// min and max bound how long it lasts.
	min, max time.Duration
	// excuse is how long after it the daemon counts as disturbed.
	excuse time.Duration
}

// ownCallFaults have a single refused call, which excuses nothing, besides disturbances that end.
var ownCallFaults = []callFault{
	{name: "one refused call", refused: true, min: time.Millisecond, max: 150 * time.Millisecond},
	{name: "short silence", hanging: true, min: 50 * time.Millisecond, max: 750 * time.Millisecond, excuse: inTouchDelay},
	{name: "long silence", hanging: true, min: time.Second, max: 4 * time.Second, excuse: inTouchDelay},
	{name: "turned away", refused: true, min: time.Second, max: 6 * time.Second, excuse: inTouchDelay},
}

// disturbance tells when the undisturbed daemon's own calls were disturbed last.
type disturbance struct {
	mu     sync.Mutex
	active bool
	end    time.Time
	// excuse is how long after its end the disturbance is an excuse; zero means that it is none.
	excuse time.Duration
}

// begin begins a disturbance; it returns false if one is in progress.
func (d *disturbance) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active {
		return false
	}
	d.active = true
	return true
}

func (d *disturbance) finish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active, d.end = false, time.Now()
}

// excuses reports whether a daemon that does not have a change at present is excused.
func (d *disturbance) excuses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.excuse > 0 && (d.active || !d.end.IsZero() && time.Since(d.end) < d.excuse)
}

// Guards against a daemon that applies a change late because one of its own calls to the store was
// refused or got no answer while the daemon that reads for it fails.
func TestDaemonAppliesChangesInTimeThoughItsOwnCallsFail(t *testing.T) {
	for _, fault := range ownCallFaults {
		t.Run(fault.name, func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(300) {
				synctest.Test(t, func(t *testing.T) { worst = max(worst, runWithOwnCallFault(t, seed, fault)) })
			}
			t.Logf("latest change after %s", worst)
		})
	}
}

// runWithOwnCallFault draws disturbances of four daemons and the given one of the fifth, and returns
// how late a change was applied there at most.
func runWithOwnCallFault(t *testing.T, seed uint64, fault callFault) (worst time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	rng := rand.New(rand.NewPCG(seed, 63))
	z := newSlowZone(ctx, rng, fiveDaemons...)
	calm := fiveDaemons[rng.IntN(len(fiveDaemons))]
	var mu sync.Mutex // guards worst
	own := disturbance{excuse: fault.excuse}
	time.Sleep(4 * time.Second)
	for step := range 60 {
		if id := fiveDaemons[rng.IntN(len(fiveDaemons))]; id != calm {
			z.disturb(id)
		}
		if rng.IntN(4) == 0 {
			z.electLive(calm)
		}
		if length := fault.min + time.Duration(rng.Int64N(int64(fault.max-fault.min))); rng.IntN(5) == 0 && own.begin() {
			go z.disturbCalls(calm, fault, &own, length)
		}
		if step%2 == 0 {
			value := fmt.Sprintf("%03d", step)
			z.store.put("k", value, false)
			go func() {
				late := z.lateness(ctx, calm, value, &own)
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				worst = max(worst, late)
				mu.Unlock()
				if late > maxChangeDelay {
					t.Errorf("seed %d: change %s is applied after %s", seed, value, late)
				}
			}()
		}
		time.Sleep(time.Duration(20+rng.IntN(900)) * time.Millisecond)
	}
	cancel()
	time.Sleep(10 * time.Second) // whatever a slow daemon does ends meanwhile
	synctest.Wait()
	return worst
}

// disturbCalls applies a fault to the calls of a daemon for some time.
func (z *slowZone) disturbCalls(id ident.Daemon, fault callFault, own *disturbance, length time.Duration) {
	z.store.setFaults(id, fault.refused, fault.hanging)
	time.Sleep(length)
	z.store.setFaults(id, false, false)
	own.finish()
}

// lateness waits until a daemon has a value. It returns how long after now it last lacked the value
// without an excuse.
func (z *slowZone) lateness(ctx context.Context, id ident.Daemon, value string, own *disturbance) (late time.Duration) {
	put := time.Now()
	for z.subscribers[id].value("k") < value && ctx.Err() == nil && time.Since(put) < 30*time.Second {
		if !own.excuses() {
			late = time.Since(put)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return late
}
