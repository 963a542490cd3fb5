package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	"github.com/savorystall/savorystall/internal/settings"
)

// load keeps requests in flight until it is ended.
type load struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup
	mu      sync.Mutex
	sent    []*request
	// open counts the requests under way.
	open atomic.Int64
}

// startLoad keeps callers of all kinds busy, each at one daemon.
func startLoad(t *testing.T, f *fleet, name string, callers int, daemons []*process) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	client := newClient()
	for i := range callers {
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := &request{kind: kind((i + n) % int(kinds)), mark: fmt.Sprintf("%s-%d-%d", name, i, n), tokens: 10 + (i+n)%50}
				l.open.Add(1)
				// The request outlives the load's end, so that its answer is seen.
				r.send(t.Context(), client, daemons[i%len(daemons)].address, key(i%workspaces))
				l.open.Add(-1)
				l.mu.Lock()
				l.sent = append(l.sent, r)
				l.mu.Unlock()
			}
		})
	}
	t.Cleanup(func() {
		l.end()
		client.CloseIdleConnections()
	})
	return l
}

// end stops the callers and returns all that they have sent.
func (l *load) end() []*request {
	l.cancel()
	l.callers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// await waits until a condition holds, and returns how long that took.
func await(t *testing.T, bound time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > bound {
			t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// leavingBound is the time from the first sign to the last new work.
const leavingBound = 3 * time.Second

// An engine is taken out for a repair while its streams run. Work that it still
// gets is work that its end cuts off. Whoever says so first, the engine itself
// or the list of VMs, within three seconds it must get no new request, its
// streams must end whole, and once it has returned it must be used again.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := startFleet(t)
	load := startLoad(t, f, "leaving", 300, f.daemons)
	signs := map[string]struct{ leave, back func() }{
		"its own word": {func() { f.engines[0].SetLeaving(true) }, func() { f.engines[0].SetLeaving(false) }},
		"the VM list":  {func() { f.setVM(0, platform.VMLeaving) }, func() { f.setVM(0, platform.VMLive) }},
	}
	engine := f.engines[0]
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			await(t, 20*time.Second, "the engine is busy", func() bool { return engine.ActiveStreams() > 2 })
			sign.leave()
			asked := func() int { c := engine.Counts(); return c.Started + c.Rejected }
			last, seen := time.Now(), asked()
			left := time.Now()
			for time.Since(left) < leavingBound+time.Second {
				if now := asked(); now != seen {
					last, seen = time.Now(), now
				}
				time.Sleep(2 * time.Millisecond)
			}
			t.Logf("last new request %v after the sign", last.Sub(left).Round(time.Millisecond))
			is.True(last.Sub(left) <= leavingBound)
			sign.back()
			started := engine.Counts().Started
			back := await(t, 20*time.Second, "the engine is used again", func() bool { return engine.Counts().Started > started })
			t.Logf("used again after %v", back.Round(time.Millisecond))
		})
	}
	counts := check(t, f, load.end())
	is.New(t).Equal(counts[cut], 0)
	is.New(t).Equal(counts[refused], 0)
}

// setVM changes the state of a target in the platform's list of VMs.
func (f *fleet) setVM(target int, state platform.VMState) {
	f.vms = slices.Clone(f.vms)
	i := slices.IndexFunc(f.vms, func(vm wire.VM) bool { return vm.Name == targetName(target) })
	f.vms[i].State = string(state)
	f.platform.SetVMs(f.vms...)
}

// An operator replaces one entry VM while it holds requests that wait and run.
// Its callers must get whole answers, it must end by itself with exit code 0,
// and its targets must go on being used by the others.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	is := is.New(t)
	// The callers need some time to connect on a busy machine.
	f := startFleet(t, func(f *fleet) {
		f.adjust = func(s *settings.Settings) { s.Stop.BalancerLag = settings.Defaults().Stop.BalancerLag }
	})
	leaving, others := f.daemons[0], f.daemons[1:]
	held := startLoad(t, f, "held", 200, []*process{leaving})
	rest := startLoad(t, f, "rest", 300, others)
	await(t, 20*time.Second, "requests are in flight", func() bool { return held.open.Load() >= 150 })

	ended := make(chan error, 1)
	go func() { ended <- leaving.stop() }()
	// The balancer stops sending as soon as readiness fails; what was sent
	// before is in flight.
	sent := held.end()
	is.NoErr(<-ended)
	counts := check(t, f, sent)
	is.Equal(counts[complete], len(sent))

	owned := f.engines[0]
	started := owned.Counts().Started
	await(t, 20*time.Second, "its targets are used by others", func() bool { return owned.Counts().Started > started })
	counts = check(t, f, rest.end())
	is.Equal(counts[cut], 0)
	is.Equal(counts[refused], 0)
}

// An engine says that it leaves, and its daemon is replaced meanwhile. Then the
// repair is called off. The new owner never heard the engine's word, only that it
// is leaving; waiting for a word that was given before, it would idle for good.
func TestLeavingTargetReturnsUnderANewOwner(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	engine := f.engines[0]
	owner := f.ownerOf(targetName(0))
	others := slices.DeleteFunc(slices.Clone(f.daemons), func(p *process) bool { return p == owner })
	load := startLoad(t, f, "owner", 200, others)
	await(t, 20*time.Second, "the engine is busy", func() bool { return engine.ActiveStreams() > 2 })
	engine.SetLeaving(true)
	await(t, 20*time.Second, "the engine has ended its work", func() bool { return engine.ActiveStreams() == 0 })
	is.NoErr(owner.stop())
	engine.SetLeaving(false)
	started := engine.Counts().Started
	back := await(t, 20*time.Second, "the engine is used again", func() bool { return engine.Counts().Started > started })
	t.Logf("used again after %v", back.Round(time.Millisecond))
	counts := check(t, f, load.end())
	is.Equal(counts[cut], 0)
	is.Equal(counts[refused], 0)
}

// ownerOf asks the daemons which of them owns a target.
func (f *fleet) ownerOf(target string) *process {
	is := is.New(f.t)
	status, err := readStatus(f.t.Context(), http.DefaultClient, f.daemon(0).operators)
	is.NoErr(err)
	for _, listed := range status.Targets {
		i := slices.IndexFunc(f.daemons, func(p *process) bool { return p.name == listed.Owner })
		if string(listed.Target) == target && i >= 0 {
			return f.daemons[i]
		}
	}
	f.t.Fatalf("nobody owns %s", target)
	return nil
}
