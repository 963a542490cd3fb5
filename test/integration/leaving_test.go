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

// backgroundLoad keeps requests in flight until it is stopped.
type backgroundLoad struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup
	mu      sync.Mutex
	sent    []*request
	// inFlight counts the requests in flight.
	inFlight atomic.Int64
}

// startBackgroundLoad starts callers that send requests of all kinds, each caller
// to one daemon.
func startBackgroundLoad(t *testing.T, f *fleet, name string, callers int, daemons []*daemonProcess) *backgroundLoad {
	ctx, cancel := context.WithCancel(context.Background())
	b := &backgroundLoad{cancel: cancel}
	client := newClient()
	for i := range callers {
		b.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := &request{kind: requestKind((i + n) % int(requestKindCount)), mark: fmt.Sprintf("%s-%d-%d", name, i, n), tokens: 10 + (i+n)%50}
				b.inFlight.Add(1)
				// The request does not use ctx, so that its response is still read after
				// the load is stopped.
				r.send(t.Context(), client, daemons[i%len(daemons)].url, workspaceKey(i%workspaceCount))
				b.inFlight.Add(-1)
				b.mu.Lock()
				b.sent = append(b.sent, r)
				b.mu.Unlock()
			}
		})
	}
	t.Cleanup(func() {
		b.stop()
		client.CloseIdleConnections()
	})
	return b
}

// stop stops the callers and returns all requests that they sent.
func (b *backgroundLoad) stop() []*request {
	b.cancel()
	b.callers.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}

// waitUntil waits until a condition is met and returns the time that this took.
func waitUntil(t *testing.T, timeout time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("condition not met within %v: %s", timeout, description)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// leavingTimeout bounds the time from the first announcement that a target leaves
// to the last new request that it receives.
const leavingTimeout = 3 * time.Second

// Guards against new requests being sent to an engine that leaves for maintenance:
// its shutdown would interrupt them. Whether the engine itself or the VM list
// announces it first, the engine must get no new request after 3 seconds, its
// running streams must complete, and it must be used again once it returns.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := startFleet(t)
	load := startBackgroundLoad(t, f, "leaving", 300, f.daemons)
	announcements := map[string]struct{ leave, cancel func() }{
		"engine":  {func() { f.engines[0].SetLeaving(true) }, func() { f.engines[0].SetLeaving(false) }},
		"VM list": {func() { f.setVMState(0, platform.VMLeaving) }, func() { f.setVMState(0, platform.VMLive) }},
	}
	engine := f.engines[0]
	for name, announcement := range announcements {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			waitUntil(t, 20*time.Second, "the engine is busy", func() bool { return engine.ActiveStreams() > 2 })
			announcement.leave()
			received := func() int { c := engine.Counts(); return c.Started + c.Rejected }
			lastReceived, lastCount := time.Now(), received()
			announced := time.Now()
			for time.Since(announced) < leavingTimeout+time.Second {
				if now := received(); now != lastCount {
					lastReceived, lastCount = time.Now(), now
				}
				time.Sleep(2 * time.Millisecond)
			}
			t.Logf("last new request %v after the announcement", lastReceived.Sub(announced).Round(time.Millisecond))
			is.True(lastReceived.Sub(announced) <= leavingTimeout)
			announcement.cancel()
			started := engine.Counts().Started
			recovery := waitUntil(t, 20*time.Second, "the engine is used again", func() bool { return engine.Counts().Started > started })
			t.Logf("used again after %v", recovery.Round(time.Millisecond))
		})
	}
	counts := checkRequests(t, f, load.stop())
	is.New(t).Equal(counts[truncated], 0)
	is.New(t).Equal(counts[rejected], 0)
}

// setVMState changes the state of a target in the platform's VM list.
func (f *fleet) setVMState(target int, state platform.VMState) {
	f.vms = slices.Clone(f.vms)
	i := slices.IndexFunc(f.vms, func(vm wire.VM) bool { return vm.Name == targetName(target) })
	f.vms[i].State = string(state)
	f.platform.SetVMs(f.vms...)
}

// Guards against requests lost in a graceful shutdown of a daemon that has waiting
// and running requests. Its callers must get complete responses, it must exit by
// itself with code 0, and the other daemons must continue to use its targets.
func TestPlannedShutdownInterruptsNoRequests(t *testing.T) {
	is := is.New(t)
	// The default lag gives the callers enough time to connect on a busy machine.
	f := startFleet(t, func(f *fleet) {
		f.adjustSettings = func(s *settings.Settings) { s.Stop.BalancerLag = settings.Defaults().Stop.BalancerLag }
	})
	stopping, others := f.daemons[0], f.daemons[1:]
	stoppingLoad := startBackgroundLoad(t, f, "held", 200, []*daemonProcess{stopping})
	otherLoad := startBackgroundLoad(t, f, "rest", 300, others)
	waitUntil(t, 20*time.Second, "requests are in flight", func() bool { return stoppingLoad.inFlight.Load() >= 150 })

	exited := make(chan error, 1)
	go func() { exited <- stopping.stop() }()
	// The load balancer stops sending as soon as the readiness check fails; the
	// requests sent before are in flight.
	sent := stoppingLoad.stop()
	is.NoErr(<-exited)
	counts := checkRequests(t, f, sent)
	is.Equal(counts[complete], len(sent))

	engine := f.engines[0]
	started := engine.Counts().Started
	waitUntil(t, 20*time.Second, "the other daemons use its targets", func() bool { return engine.Counts().Started > started })
	counts = checkRequests(t, f, otherLoad.stop())
	is.Equal(counts[truncated], 0)
	is.Equal(counts[rejected], 0)
}

// Guards against an engine that is never used again. The engine announces that it
// leaves, the daemon that owns it is shut down, and then the engine returns. The
// new owner only knows that the engine is leaving: it did not receive the
// announcement itself, and must not wait for an event that occurred before it
// became the owner.
func TestReturnedTargetIsUsedByNewOwner(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	engine := f.engines[0]
	owner := f.ownerOf(targetName(0))
	others := slices.DeleteFunc(slices.Clone(f.daemons), func(p *daemonProcess) bool { return p == owner })
	load := startBackgroundLoad(t, f, "owner", 200, others)
	waitUntil(t, 20*time.Second, "the engine is busy", func() bool { return engine.ActiveStreams() > 2 })
	engine.SetLeaving(true)
	waitUntil(t, 20*time.Second, "the engine has no running requests", func() bool { return engine.ActiveStreams() == 0 })
	is.NoErr(owner.stop())
	engine.SetLeaving(false)
	started := engine.Counts().Started
	recovery := waitUntil(t, 20*time.Second, "the engine is used again", func() bool { return engine.Counts().Started > started })
	t.Logf("used again after %v", recovery.Round(time.Millisecond))
	counts := checkRequests(t, f, load.stop())
	is.Equal(counts[truncated], 0)
	is.Equal(counts[rejected], 0)
}

// ownerOf returns the daemon that owns a target according to the first daemon.
func (f *fleet) ownerOf(target string) *daemonProcess {
	is := is.New(f.t)
	status, err := readStatus(f.t.Context(), http.DefaultClient, f.daemon(0).operatorsAddress)
	is.NoErr(err)
	for _, entry := range status.Targets {
		i := slices.IndexFunc(f.daemons, func(p *daemonProcess) bool { return p.name == entry.Owner })
		if string(entry.Target) == target && i >= 0 {
			return f.daemons[i]
		}
	}
	f.t.Fatalf("no daemon owns %s", target)
	return nil
}
