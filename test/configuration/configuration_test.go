package configuration_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

var seed = flag.Uint64("seed", 7, "seed of the fault schedule")

// All stores of the platform go down right after a change was accepted, and a
// daemon is killed and restarted without state. It must load the current documents
// from its peers and become ready, although the platform never responds to it.
func TestRestartDuringPlatformOutageLoadsFromPeers(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t)
	first, err := fleet.newEditor("ana").Apply(t.Context(), testDocument("portal", 1), 0, "")
	is.NoErr(err)
	second, err := fleet.newEditor("ana").Apply(t.Context(), testDocument("portal", 2), first, "")
	is.NoErr(err)
	want := map[ident.Service]uint64{"portal": second}
	fleet.waitForRevisions(want, fleet.daemons...)
	for _, store := range []platformstandin.Store{platformstandin.Table, platformstandin.Objects, platformstandin.VMs} {
		fleet.platformServer.SetFaults(store, platformstandin.Faults{Unavailable: true})
	}
	fleet.daemons[0].kill()
	fleet.start(fleet.daemons[0])
	t.Logf("documents in effect %s after the restart", fleet.waitForRevisions(want, fleet.daemons[0]))
}

// One daemon loses its connection to the platform but keeps the links to its
// peers. A change that is accepted in the meantime must take effect on it too.
func TestChangeReachesDaemonCutOffFromPlatform(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet(t)
	first, err := fleet.newEditor("ana").Apply(t.Context(), testDocument("portal", 1), 0, "")
	is.NoErr(err)
	fleet.waitForRevisions(map[ident.Service]uint64{"portal": first}, fleet.daemons...)
	fleet.daemons[2].platformLink.Cut()
	second, err := fleet.newEditor("ana").Delete(t.Context(), "portal", first, "")
	is.NoErr(err)
	t.Logf("in effect on all daemons after %s", fleet.waitForRevisions(map[ident.Service]uint64{"portal": second}, fleet.daemons...))
	is.NoErr(fleet.daemons[2].platformLink.Restore())
}

// monitor polls the revisions in effect on every daemon and records the highest
// revision that each incarnation has reported for each service.
type monitor struct {
	fleet        *testFleet
	mu           sync.Mutex
	highest      map[string]uint64
	observations int
}

func (m *monitor) run(ctx context.Context, p *daemonProcess) {
	for ctx.Err() == nil {
		if status, err := p.status(ctx); err == nil {
			for service, revision := range status.ActiveRevisions {
				m.observe(fmt.Sprint(p.name, "/", status.Incarnation, "/", service), revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (m *monitor) observe(key string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observations++
	if revision < m.highest[key] {
		m.fleet.t.Errorf("%s reverted from revision %d to %d", key, m.highest[key], revision)
	}
	m.highest[key] = max(m.highest[key], revision)
}

// operators simulates operators that change documents concurrently until ctx is
// done. Each change is based on the revision that its author read last, so
// concurrent changes conflict.
type operators struct {
	fleet          *testFleet
	mu             sync.Mutex
	accepted       map[uint64]ident.Service
	rejected       int
	unknownOutcome int
}

var services = []ident.Service{"portal", "sync-api", "notices"}

func (o *operators) run(ctx context.Context, rng *rand.Rand, author string) {
	editor := o.fleet.newEditor(author)
	for weight := 1; ctx.Err() == nil; weight++ {
		service := services[rng.IntN(len(services))]
		record, err := editor.Get(ctx, service)
		if err != nil && !errors.Is(err, config.ErrNotFound) {
			continue
		}
		base := record.Revision
		if record.Deleted {
			base = 0
		}
		var revision uint64
		if base > 0 && rng.IntN(5) == 0 {
			revision, err = editor.Delete(ctx, service, base, "")
		} else {
			revision, err = editor.Apply(ctx, testDocument(service, weight), base, "")
		}
		o.recordResult(service, revision, err)
	}
}

func (o *operators) recordResult(service ident.Service, revision uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var unknownErr *platform.UnknownOutcome
	switch {
	case errors.As(err, &unknownErr):
		o.unknownOutcome++
	case err != nil:
		o.rejected++
	default:
		if other, duplicate := o.accepted[revision]; duplicate {
			o.fleet.t.Errorf("revision %d was assigned to both %s and %s", revision, other, service)
		}
		o.accepted[revision] = service
	}
}

// fault is one kind of fault. inject starts it and returns the function that
// removes it.
type fault struct {
	name   string
	inject func(fleet *testFleet, p *daemonProcess) (remove func() error)
}

func tableFault(name string, f platformstandin.Faults) fault {
	return fault{name, func(fleet *testFleet, _ *daemonProcess) func() error {
		fleet.platformServer.SetFaults(platformstandin.Table, f)
		return func() error {
			fleet.platformServer.SetFaults(platformstandin.Table, platformstandin.Faults{})
			return nil
		}
	}}
}

var faults = []fault{
	tableFault("table down", platformstandin.Faults{Unavailable: true}),
	tableFault("table slow", platformstandin.Faults{Delay: 300 * time.Millisecond}),
	tableFault("responses lost", platformstandin.Faults{LostResponses: 3}),
	tableFault("responses lost, delayed effect", platformstandin.Faults{LostResponses: 2, LostWriteDelay: 200 * time.Millisecond}),
	tableFault("stale reads", platformstandin.Faults{StaleCommits: 3}),
	{"platform cut", func(_ *testFleet, p *daemonProcess) func() error {
		p.platformLink.Cut()
		return p.platformLink.Restore
	}},
	{"connections silent", func(_ *testFleet, p *daemonProcess) func() error {
		p.platformLink.StallOpenConnections()
		return func() error { return nil }
	}},
	{"paused", func(_ *testFleet, p *daemonProcess) func() error {
		p.pause()
		return func() error { p.resume(); return nil }
	}},
	{"killed", func(fleet *testFleet, p *daemonProcess) func() error {
		p.kill()
		return func() error { fleet.start(p); return nil }
	}},
}

// Operators change three services concurrently while faults are injected one at a
// time, in pairs, and repeatedly: the table is down, slow or stale, responses are
// lost, and daemons are cut off, paused, or killed and restarted without state. No
// daemon may report an older revision than before, and no revision may be assigned
// twice. After the last fault, every daemon must converge to the latest revision
// of each service.
func TestRevisionsUnderFaults(t *testing.T) {
	const rounds, faultDuration = 16, 500 * time.Millisecond
	is := is.New(t)
	t.Logf("seed %d", *seed)
	rng := rand.New(rand.NewPCG(*seed, *seed))
	fleet := newTestFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	m := &monitor{fleet: fleet, highest: map[string]uint64{}}
	for _, p := range fleet.daemons {
		wg.Go(func() { m.run(ctx, p) })
	}
	o := &operators{fleet: fleet, accepted: map[uint64]ident.Service{}}
	for _, author := range []string{"ana", "ben"} {
		authorRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { o.run(ctx, authorRNG, author) })
	}
	for round := range rounds {
		firstFault := faults[round%len(faults)]
		secondFault := faults[rng.IntN(len(faults))]
		firstDaemon, secondDaemon := rng.IntN(daemonCount), rng.IntN(daemonCount-1)
		if secondDaemon >= firstDaemon {
			secondDaemon++ // the two faults of a pair affect different daemons
		}
		removals := []func() error{firstFault.inject(fleet, fleet.daemons[firstDaemon])}
		if round%2 == 1 {
			removals = append(removals, secondFault.inject(fleet, fleet.daemons[secondDaemon]))
		}
		time.Sleep(faultDuration)
		for _, remove := range removals {
			is.NoErr(remove())
		}
	}
	cancel()
	wg.Wait()
	fleet.platformServer.WaitForDelayedWrites()
	o.checkFinalState(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("%d changes accepted, %d rejected, %d with unknown outcome; %d revisions observed", len(o.accepted), o.rejected, o.unknownOutcome, m.observations)
	is.True(len(o.accepted) > rounds)
}

// checkFinalState waits until every daemon has the revisions in the table, and
// checks that every accepted change is in the history of its service.
func (o *operators) checkFinalState(t *testing.T) {
	is := is.New(t)
	editor := o.fleet.newEditor("carla")
	records, err := editor.List(t.Context())
	is.NoErr(err)
	want := map[ident.Service]uint64{}
	for _, r := range records {
		want[r.Service] = r.Revision
	}
	elapsed := o.fleet.waitForRevisions(want, o.fleet.daemons...)
	t.Logf("all daemons have %v in effect, %s after the last fault", want, elapsed)
	for revision, service := range o.accepted {
		record, err := editor.GetRevision(t.Context(), service, revision)
		is.NoErr(err)
		is.Equal(record.Service, service)
	}
}
