package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

// faultInjector injects faults into links and targets until its context is
// canceled, and then repairs them all.
type faultInjector struct {
	fleet          *fleet
	rng            *rand.Rand
	pendingRepairs []scheduledRepair
	// injected counts the faults by name.
	injected map[string]int
}

type scheduledRepair struct {
	due  time.Time
	undo func()
}

// One fault every 60 ms affects each daemon and each target about once in 2 s.
// Daemons detect a silent link only after several heartbeats of 1 s each, so that
// some of the links between daemons are down at any time.
const (
	faultInterval = 60 * time.Millisecond
	faultDuration = 300 * time.Millisecond
)

func (fi *faultInjector) run(ctx context.Context) {
	ticker := time.NewTicker(faultInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			fi.repairDue(time.Now().Add(time.Hour))
			return
		case now := <-ticker.C:
			fi.repairDue(now)
			fi.inject(n, now.Add(faultDuration))
		}
	}
}

func (fi *faultInjector) repairDue(now time.Time) {
	remaining := fi.pendingRepairs[:0]
	for _, r := range fi.pendingRepairs {
		if r.due.After(now) {
			remaining = append(remaining, r)
			continue
		}
		r.undo()
	}
	fi.pendingRepairs = remaining
}

// inject injects one fault. The kinds of faults follow each other in a fixed
// order; the affected link or target is random.
func (fi *faultInjector) inject(n int, until time.Time) {
	link := fi.fleet.targetLinks[fi.rng.IntN(len(fi.fleet.targetLinks))]
	peer := fi.fleet.peerLinks[fi.rng.IntN(len(fi.fleet.peerLinks))]
	engine := fi.fleet.engines[fi.rng.IntN(len(fi.fleet.engines))]
	plain := fi.fleet.plainServices[fi.rng.IntN(len(fi.fleet.plainServices))]
	scheduleRepair := func(undo func()) { fi.pendingRepairs = append(fi.pendingRepairs, scheduledRepair{until, undo}) }
	names := []string{"target cut", "target silent", "target slow", "engine leaving", "peer cut", "peer silent", "engine stream", "service leaving"}
	name := names[n%len(names)]
	fi.injected[name]++
	switch name {
	case "target cut":
		link.Cut()
		scheduleRepair(func() { fi.restore(link.Restore) })
	case "target silent":
		link.StallOpenConnections()
	case "target slow":
		link.SetDelay(time.Duration(5+fi.rng.IntN(20)) * time.Millisecond)
		scheduleRepair(func() { link.SetDelay(0) })
	case "engine leaving":
		engine.SetLeaving(true)
		scheduleRepair(func() { engine.SetLeaving(false) })
	case "peer cut":
		peer.Cut()
		scheduleRepair(func() { fi.restore(peer.Restore) })
	case "peer silent":
		peer.StallOpenConnections()
	case "engine stream":
		kinds := []enginestandin.FaultKind{enginestandin.FaultDisconnect, enginestandin.FaultEndEarly, enginestandin.FaultSkipToken, enginestandin.FaultReset, enginestandin.FaultLoseStream}
		engine.Inject(enginestandin.Fault{Kind: kinds[fi.rng.IntN(len(kinds))], AfterTokens: fi.rng.IntN(20)})
	case "service leaving":
		plain.SetLeaving(true)
		scheduleRepair(func() { plain.SetLeaving(false) })
	}
}

func (fi *faultInjector) restore(restore func() error) {
	if err := restore(); err != nil {
		fi.fleet.t.Error(err)
	}
}

// startFaultInjector starts to inject faults. The returned function stops the
// injection, waits for the repairs and returns the number of faults by name.
func startFaultInjector(t *testing.T, f *fleet, seed uint64) (stop func() map[string]int) {
	ctx, cancel := context.WithCancel(context.Background())
	fi := &faultInjector{fleet: f, rng: rand.New(rand.NewPCG(seed, seed)), injected: map[string]int{}}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		fi.run(ctx)
	}()
	return func() map[string]int {
		cancel()
		<-finished
		t.Log("faults: ", fmt.Sprint(fi.injected))
		return fi.injected
	}
}
