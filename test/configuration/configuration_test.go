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

var seed = flag.Uint64("seed", 7, "seed of the schedule of faults")

// All stores are out. A change was accepted just before, and a daemon is killed
// and started again without state. It must get the present documents from its
// peers, and serve them though the platform never answers it.
func TestRestartDuringAnOutageLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	first, err := s.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	second, err := s.editor("ana").Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)
	want := map[ident.Service]uint64{"portal": second}
	s.await(want, s.daemons...)
	for _, store := range []platformstandin.Store{platformstandin.Table, platformstandin.Objects, platformstandin.VMs} {
		s.server.SetFaults(store, platformstandin.Faults{Unavailable: true})
	}
	s.daemons[0].kill()
	s.start(s.daemons[0])
	t.Logf("in force %s after the start", s.await(want, s.daemons[0]))
}

// One daemon is cut off from the platform, but not from its peers. A change that
// is accepted meanwhile must get in force on it as well.
func TestChangeReachesADaemonWithoutPlatform(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	first, err := s.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	s.await(map[ident.Service]uint64{"portal": first}, s.daemons...)
	s.daemons[2].link.Cut()
	second, err := s.editor("ana").Delete(t.Context(), "portal", first, "")
	is.NoErr(err)
	t.Logf("in force after %s", s.await(map[ident.Service]uint64{"portal": second}, s.daemons...))
	is.NoErr(s.daemons[2].link.Restore())
}

// monitor asks every daemon again and again what is in force, and keeps the
// highest revision that each incarnation has shown.
type monitor struct {
	s       *site
	mu      sync.Mutex
	highest map[string]uint64
	answers int
}

func (m *monitor) run(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		if status, err := p.status(ctx); err == nil {
			for service, revision := range status.ActiveRevisions {
				m.see(fmt.Sprint(p.name, "/", status.Incarnation, "/", service), revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (m *monitor) see(key string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers++
	if revision < m.highest[key] {
		m.s.t.Errorf("%s went back from %d to %d", key, m.highest[key], revision)
	}
	m.highest[key] = max(m.highest[key], revision)
}

// operators change documents until ctx ends, each from what it last saw, so
// that they race.
type operators struct {
	s        *site
	mu       sync.Mutex
	accepted map[uint64]ident.Service
	refused  int
	unknown  int
}

var services = []ident.Service{"portal", "sync-api", "notices"}

func (o *operators) run(ctx context.Context, rng *rand.Rand, author string) {
	editor := o.s.editor(author)
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
			revision, err = editor.Apply(ctx, text(service, weight), base, "")
		}
		o.note(service, revision, err)
	}
}

func (o *operators) note(service ident.Service, revision uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var unknown *platform.UnknownOutcome
	switch {
	case errors.As(err, &unknown):
		o.unknown++
	case err != nil:
		o.refused++
	default:
		if other, twice := o.accepted[revision]; twice {
			o.s.t.Errorf("revision %d was given to %s and %s", revision, other, service)
		}
		o.accepted[revision] = service
	}
}

// fault is one kind of fault; it returns its end.
type fault struct {
	name  string
	begin func(s *site, p *process) (end func() error)
}

func tableFault(name string, f platformstandin.Faults) fault {
	return fault{name, func(s *site, _ *process) func() error {
		s.server.SetFaults(platformstandin.Table, f)
		return func() error {
			s.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
			return nil
		}
	}}
}

var faults = []fault{
	tableFault("table down", platformstandin.Faults{Unavailable: true}),
	tableFault("table slow", platformstandin.Faults{Delay: 300 * time.Millisecond}),
	tableFault("answers lost", platformstandin.Faults{LostResponses: 3}),
	tableFault("answers lost, late effect", platformstandin.Faults{LostResponses: 2, LostWriteDelay: 200 * time.Millisecond}),
	tableFault("stale reads", platformstandin.Faults{StaleCommits: 3}),
	{"platform cut", func(_ *site, p *process) func() error {
		p.link.Cut()
		return p.link.Restore
	}},
	{"connections silent", func(_ *site, p *process) func() error {
		p.link.StallOpenConnections()
		return func() error { return nil }
	}},
	{"paused", func(_ *site, p *process) func() error {
		p.pause()
		return func() error { p.resume(); return nil }
	}},
	{"killed", func(s *site, p *process) func() error {
		p.kill()
		return func() error { s.start(p); return nil }
	}},
}

// Operators race on three services while faults come singly, in pairs and twice
// in a row: the table is down, slow or stale, answers are lost, daemons are cut
// off, paused, or killed and started without state. No daemon may show an older
// revision than before, no revision may be given twice, and when all is over
// every daemon must have the last one of each service.
func TestRevisionsUnderFaults(t *testing.T) {
	const rounds, lasts = 16, 500 * time.Millisecond
	is := is.New(t)
	t.Logf("seed %d", *seed)
	rng := rand.New(rand.NewPCG(*seed, *seed))
	s := newSite(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	m := &monitor{s: s, highest: map[string]uint64{}}
	for _, p := range s.daemons {
		group.Go(func() { m.run(ctx, p) })
	}
	o := &operators{s: s, accepted: map[uint64]ident.Service{}}
	for _, author := range []string{"ana", "ben"} {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		group.Go(func() { o.run(ctx, own, author) })
	}
	for round := range rounds {
		first := faults[round%len(faults)]
		second := faults[rng.IntN(len(faults))]
		p, q := rng.IntN(daemonCount), rng.IntN(daemonCount-1)
		if q >= p {
			q++ // pairs strike two daemons
		}
		ends := []func() error{first.begin(s, s.daemons[p])}
		if round%2 == 1 {
			ends = append(ends, second.begin(s, s.daemons[q]))
		}
		time.Sleep(lasts)
		for _, end := range ends {
			is.NoErr(end())
		}
	}
	cancel()
	group.Wait()
	s.server.WaitForDelayedWrites()
	o.settle(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("%d changes accepted, %d refused, %d unknown; %d answers of daemons", len(o.accepted), o.refused, o.unknown, m.answers)
	is.True(len(o.accepted) > rounds)
}

// settle waits until every daemon has what the table holds, and checks that
// every accepted change is in its history.
func (o *operators) settle(t *testing.T) {
	is := is.New(t)
	editor := o.s.editor("carla")
	records, err := editor.List(t.Context())
	is.NoErr(err)
	want := map[ident.Service]uint64{}
	for _, r := range records {
		want[r.Service] = r.Revision
	}
	took := o.s.await(want, o.s.daemons...)
	t.Logf("all daemons have %v, %s after the last fault", want, took)
	for revision, service := range o.accepted {
		record, err := editor.GetRevision(t.Context(), service, revision)
		is.NoErr(err)
		is.Equal(record.Service, service)
	}
}
