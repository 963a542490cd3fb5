package order

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
	"github.com/savorystall/savorystall/test/logbuffer"
	"github.com/savorystall/savorystall/test/process"
)

func TestMain(m *testing.M) {
	process.Main(map[string]process.ChildFunc{"old-daemon": runOldDaemon})
	goleak.VerifyTestMain(m)
}

// fakeTarget is a TargetClient for a single target. Each call of Send returns the
// next of errs, and the order then takes effect only if the test delivers it.
type fakeTarget struct {
	mu       sync.Mutex
	fenced   bool
	current  Order
	received []Order
	errs     []error
}

var errResponseLost = errors.New("lost")

func (f *fakeTarget) Read(context.Context, string) (Order, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, nil
}

func (f *fakeTarget) Send(_ context.Context, _ string, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, o)
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return err
	}
	return f.apply(o)
}

func (f *fakeTarget) apply(o Order) error {
	if f.fenced && o.Fencing < f.current.Fencing {
		return &StaleFencingError{Current: f.current}
	}
	f.current = o
	return nil
}

func (f *fakeTarget) deliver(o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(o)
}

func (f *fakeTarget) orders() []Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

type fixture struct {
	platform *platformstandin.Server
	client   *platform.Client
	url      string
	log      logbuffer.Buffer
}

func newFixture(t *testing.T, c platformstandin.Config) *fixture {
	f := &fixture{platform: platformstandin.New(c)}
	server := httptest.NewServer(f.platform)
	f.url = server.URL
	f.client = platform.NewClient(platform.ClientConfig{URL: server.URL, Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(func() {
		f.client.Close()
		server.Close()
	})
	return f
}

func (f *fixture) reconciler(t *testing.T, d ident.Daemon, o TargetClient) *Reconciler {
	cfg := Config{
		Daemon: d, Incarnation: 1, LeaseTerm: 200 * time.Millisecond, ReadInterval: 10 * time.Millisecond,
		Backoff: 2 * time.Millisecond, BackoffMax: 20 * time.Millisecond,
	}
	r := New(cfg, f.client, f.client, o, slog.New(slog.NewTextHandler(&f.log, nil)))
	t.Cleanup(r.Stop)
	return r
}

func newDesired(document uint64, models ...string) Desired {
	return Desired{
		Service: "lm-pool", Target: "engine-1", DocumentRevision: document, Fenced: true,
		LongestOrder: 50 * time.Millisecond, State: State{Models: models},
	}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

func holds(client TargetClient, address string, d Desired) func() bool {
	return func() bool {
		current, err := client.Read(context.Background(), address)
		return err == nil && d.satisfiedBy(current.State)
	}
}

func TestEngineReachesWantedState(t *testing.T) {
	// A document changes while two daemons reconcile the same engine, one of
	// which receives the change late. The engine must reach the latest state and
	// return to it after an old order arrives late.
	for name, fenced := range map[string]bool{"fencing enforced": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, platformstandin.Config{})
			engine := enginestandin.New(enginestandin.Config{Models: []string{"old"}, EnforceFencing: fenced})
			server := httptest.NewServer(engine)
			t.Cleanup(func() { server.Close(); engine.Close() })
			target := NewHTTPClient()
			first, second := newDesired(1, "ride-1"), newDesired(2, "ride-2", "scene")
			for _, w := range []*Desired{&first, &second} {
				w.Address, w.Fenced = server.Listener.Addr().String(), fenced
			}
			second.State.Adapters = []string{"club-nord"}
			second.State.Version, second.State.Role = "7", "prefill"
			r1, r2 := f.reconciler(t, "d1", target), f.reconciler(t, "d2", target)
			r1.SetTargets([]Desired{first})
			r2.SetTargets([]Desired{first})
			eventually(t, "the first state", holds(target, first.Address, first))
			old, err := target.Read(t.Context(), first.Address)
			is.NoErr(err)
			r1.SetTargets([]Desired{second})
			eventually(t, "the second state", holds(target, second.Address, second))
			err = target.Send(t.Context(), second.Address, old)
			var stale *StaleFencingError
			is.Equal(errors.As(err, &stale), fenced)
			eventually(t, "the repair", holds(target, second.Address, second))
			r2.SetTargets([]Desired{second})
			is.True(f.platform.Fetches("scene:7") >= 1)
			is.True(f.platform.Fetches("club-nord") >= 1)
		})
	}
}

func TestEachOrderHasAUniqueFencingToken(t *testing.T) {
	// The responses to two orders are lost, either of which may take effect
	// late. The retries must have higher fencing tokens, so that no late order
	// of the same daemon overrides a newer one.
	is := is.New(t)
	f, target := newFixture(t, platformstandin.Config{}), &fakeTarget{fenced: true, errs: []error{errResponseLost, errResponseLost}}
	f.reconciler(t, "d1", target).SetTargets([]Desired{newDesired(1, "m")})
	eventually(t, "the state", holds(target, "", newDesired(1, "m")))
	orders := target.orders()
	is.Equal(len(orders), 3)
	is.True(orders[0].Fencing < orders[1].Fencing && orders[1].Fencing < orders[2].Fencing)
	var stale *StaleFencingError
	is.True(errors.As(target.deliver(orders[0]), &stale))
}

func TestLateOrderAtTargetThatIgnoresFencing(t *testing.T) {
	// An order to a target that ignores fencing tokens gets no response and
	// takes effect after its successor. The state must be read back and repaired.
	is := is.New(t)
	f, target := newFixture(t, platformstandin.Config{}), &fakeTarget{errs: []error{errResponseLost}}
	first, second := newDesired(1, "old"), newDesired(2, "new")
	first.Fenced, second.Fenced = false, false
	r := f.reconciler(t, "d1", target)
	r.SetTargets([]Desired{first})
	eventually(t, "the first order", func() bool { return len(target.orders()) > 0 })
	r.SetTargets([]Desired{second})
	eventually(t, "the second state", holds(target, "", second))
	is.NoErr(target.deliver(target.orders()[0]))
	eventually(t, "the repair", holds(target, "", second))
}

func TestDaemonWithOldDocumentSendsNoOrder(t *testing.T) {
	// A daemon without access to the configuration still has the desired state of
	// an hour ago. It must not change the target that the others have updated.
	f, target := newFixture(t, platformstandin.Config{}), &fakeTarget{fenced: true}
	currentDesired, staleDesired := newDesired(2, "new"), newDesired(1, "old")
	f.reconciler(t, "d1", target).SetTargets([]Desired{currentDesired})
	eventually(t, "the state", holds(target, "", currentDesired))
	f.reconciler(t, "d2", target).SetTargets([]Desired{staleDesired})
	eventually(t, "the stale daemon to notice", func() bool { return strings.Contains(f.log.String(), "event=524") })
	is.New(t).True(holds(target, "", currentDesired)())
}

func TestTargetThatRefusesOrdersIsReported(t *testing.T) {
	// An engine holds a fencing token higher than any in the table, because of a
	// manual order or a restored table. Every order is refused. The operator must
	// be notified, and the daemon must keep retrying with increasing backoff.
	f, target := newFixture(t, platformstandin.Config{}), &fakeTarget{fenced: true}
	target.current.Fencing = 1 << 60
	f.reconciler(t, "d1", target).SetTargets([]Desired{newDesired(1, "m")})
	eventually(t, "the report", func() bool { return strings.Contains(f.log.String(), "event=525") })
	target.mu.Lock()
	target.current.Fencing = 0
	target.mu.Unlock()
	eventually(t, "the state", holds(target, "", newDesired(1, "m")))
}

func TestStopReleasesLease(t *testing.T) {
	// A daemon stops as planned during an order that gets no response. The next
	// daemon must wait for the longest order only, not also for the lease term.
	is := is.New(t)
	f, target := newFixture(t, platformstandin.Config{}), &fakeTarget{errs: []error{errResponseLost}}
	w := newDesired(1, "m")
	w.Fenced, w.LongestOrder = false, 300*time.Millisecond
	r := f.reconciler(t, "d1", target)
	r.SetTargets([]Desired{w})
	eventually(t, "the order", func() bool { return len(target.orders()) == 1 })
	r.Stop()
	rows, err := f.client.Get(t.Context(), "lease/lm-pool/engine-1")
	is.NoErr(err)
	is.True(strings.Contains(string(rows[0].Value), `"released":true`))
	f.reconciler(t, "d2", target).SetTargets([]Desired{w})
	eventually(t, "the state", holds(target, "", w))
}

func TestWeightsAreFetchedOneAtATime(t *testing.T) {
	// A whole pool gets a new version, and the weight store allows one fetch per
	// interval. No engine must be ordered to load weights that are not ready, and
	// no name must be fetched repeatedly while a target waits.
	is := is.New(t)
	const interval = 30 * time.Millisecond
	f := newFixture(t, platformstandin.Config{WeightInterval: interval})
	target := &fakeTarget{fenced: true}
	started := time.Now()
	f.reconciler(t, "d1", target).SetTargets([]Desired{newDesired(1, "a", "b", "c")})
	eventually(t, "the state", holds(target, "", newDesired(1, "a", "b", "c")))
	is.True(time.Since(started) >= 2*interval) // the first of three fetches does not wait
	for _, name := range []string{"a", "b", "c"} {
		is.Equal(f.platform.Fetches(name), 1)
	}
}
