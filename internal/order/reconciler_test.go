package order

import (
	"bytes"
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
	"github.com/savorystall/savorystall/test/process"
)

func TestMain(m *testing.M) {
	process.Main(map[string]process.Part{"old-daemon": partOldDaemon})
	goleak.VerifyTestMain(m)
}

// fakeTarget is an Orderer with one target. Each call of Give uses up one of
// the errors; a late order takes effect when the test says so.
type fakeTarget struct {
	mu      sync.Mutex
	fenced  bool
	present Order
	given   []Order
	errs    []error
}

var errLost = errors.New("lost")

func (f *fakeTarget) Read(context.Context, string) (Order, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.present, nil
}

func (f *fakeTarget) Give(_ context.Context, _ string, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given = append(f.given, o)
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return err
	}
	return f.take(o)
}

func (f *fakeTarget) take(o Order) error {
	if f.fenced && o.Fencing < f.present.Fencing {
		return &Refused{Present: f.present}
	}
	f.present = o
	return nil
}

func (f *fakeTarget) arrive(o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.take(o)
}

func (f *fakeTarget) orders() []Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.given)
}

// logBuffer is a log that tests read.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

type bench struct {
	platform *platformstandin.Server
	client   *platform.Client
	url      string
	log      logBuffer
}

func newBench(t *testing.T, c platformstandin.Config) *bench {
	b := &bench{platform: platformstandin.New(c)}
	server := httptest.NewServer(b.platform)
	b.url = server.URL
	b.client = platform.NewClient(platform.ClientConfig{URL: server.URL, Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(func() {
		b.client.Close()
		server.Close()
	})
	return b
}

func (b *bench) reconciler(t *testing.T, d ident.Daemon, o Orderer) *Reconciler {
	cfg := Config{
		Daemon: d, Incarnation: 1, Term: 200 * time.Millisecond, ReadBack: 10 * time.Millisecond,
		Backoff: 2 * time.Millisecond, BackoffMax: 20 * time.Millisecond,
	}
	r := New(cfg, b.client, b.client, o, slog.New(slog.NewTextHandler(&b.log, nil)))
	t.Cleanup(r.Stop)
	return r
}

func wanted(document uint64, models ...string) Wanted {
	return Wanted{
		Service: "lm-pool", Target: "engine-1", Document: document, Fenced: true,
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
	t.Fatal("never came true: " + what)
}

func holds(o Orderer, address string, w Wanted) func() bool {
	return func() bool {
		present, err := o.Read(context.Background(), address)
		return err == nil && w.satisfiedBy(present.State)
	}
}

func TestEngineReachesWantedState(t *testing.T) {
	// A document changes while two daemons look after the same engine, one of
	// which learns of the change late. The engine must end with the last state,
	// and return to it when an old order arrives late.
	for name, fenced := range map[string]bool{"fencing enforced": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, platformstandin.Config{})
			engine := enginestandin.New(enginestandin.Config{Models: []string{"old"}, EnforceFencing: fenced})
			server := httptest.NewServer(engine)
			t.Cleanup(func() { server.Close(); engine.Close() })
			target := NewHTTP()
			first, second := wanted(1, "ride-1"), wanted(2, "ride-2", "scene")
			for _, w := range []*Wanted{&first, &second} {
				w.Address, w.Fenced = server.Listener.Addr().String(), fenced
			}
			second.State.Adapters = []string{"club-nord"}
			second.State.Version, second.State.Role = "7", "prefill"
			r1, r2 := b.reconciler(t, "d1", target), b.reconciler(t, "d2", target)
			r1.Set([]Wanted{first})
			r2.Set([]Wanted{first})
			eventually(t, "the first state", holds(target, first.Address, first))
			old, err := target.Read(t.Context(), first.Address)
			is.NoErr(err)
			r1.Set([]Wanted{second})
			eventually(t, "the second state", holds(target, second.Address, second))
			err = target.Give(t.Context(), second.Address, old)
			var refused *Refused
			is.Equal(errors.As(err, &refused), fenced)
			eventually(t, "the repair", holds(target, second.Address, second))
			r2.Set([]Wanted{second})
			is.True(b.platform.Fetches("scene:7") >= 1)
			is.True(b.platform.Fetches("club-nord") >= 1)
		})
	}
}

func TestEachOrderHasANumberOfItsOwn(t *testing.T) {
	// The answers of two orders are lost, one of which took effect. The repeats
	// carry higher numbers, so that no late order of the same daemon wins.
	is := is.New(t)
	b, target := newBench(t, platformstandin.Config{}), &fakeTarget{fenced: true, errs: []error{errLost, errLost}}
	b.reconciler(t, "d1", target).Set([]Wanted{wanted(1, "m")})
	eventually(t, "the state", holds(target, "", wanted(1, "m")))
	orders := target.orders()
	is.Equal(len(orders), 3)
	is.True(orders[0].Fencing < orders[1].Fencing && orders[1].Fencing < orders[2].Fencing)
	var refused *Refused
	is.True(errors.As(target.arrive(orders[0]), &refused))
}

func TestLateOrderAtTargetThatIgnoresFencing(t *testing.T) {
	// An order to a target that ignores the number has no answer and takes
	// effect after its successor. The state is read back and repaired.
	is := is.New(t)
	b, target := newBench(t, platformstandin.Config{}), &fakeTarget{errs: []error{errLost}}
	first, second := wanted(1, "old"), wanted(2, "new")
	first.Fenced, second.Fenced = false, false
	r := b.reconciler(t, "d1", target)
	r.Set([]Wanted{first})
	eventually(t, "the first order", func() bool { return len(target.orders()) > 0 })
	r.Set([]Wanted{second})
	eventually(t, "the second state", holds(target, "", second))
	is.NoErr(target.arrive(target.orders()[0]))
	eventually(t, "the repair", holds(target, "", second))
}

func TestDaemonWithOldDocumentGivesNoOrder(t *testing.T) {
	// A daemon that was cut off from the configuration wants what was wanted an
	// hour ago. It must leave the target as the others made it.
	b, target := newBench(t, platformstandin.Config{}), &fakeTarget{fenced: true}
	current, stale := wanted(2, "new"), wanted(1, "old")
	b.reconciler(t, "d1", target).Set([]Wanted{current})
	eventually(t, "the state", holds(target, "", current))
	b.reconciler(t, "d2", target).Set([]Wanted{stale})
	eventually(t, "the stale daemon to notice", func() bool { return b.log.has("event=524") })
	is.New(t).True(holds(target, "", current)())
}

func TestTargetThatTakesNoOrdersIsReported(t *testing.T) {
	// An engine holds a number above any of the table's, since it was ordered
	// by hand or the table was restored. Every order is refused; the operator
	// is told, and the daemon goes on with growing waits.
	b, target := newBench(t, platformstandin.Config{}), &fakeTarget{fenced: true}
	target.present.Fencing = 1 << 60
	b.reconciler(t, "d1", target).Set([]Wanted{wanted(1, "m")})
	eventually(t, "the report", func() bool { return b.log.has("event=525") })
	target.mu.Lock()
	target.present.Fencing = 0
	target.mu.Unlock()
	eventually(t, "the state", holds(target, "", wanted(1, "m")))
}

func TestStopReleasesTheLease(t *testing.T) {
	// A planned stop in the middle of an order that is never answered. The next
	// daemon waits for the longest order, not for the term as well.
	is := is.New(t)
	b, target := newBench(t, platformstandin.Config{}), &fakeTarget{errs: []error{errLost}}
	w := wanted(1, "m")
	w.Fenced, w.LongestOrder = false, 300*time.Millisecond
	r := b.reconciler(t, "d1", target)
	r.Set([]Wanted{w})
	eventually(t, "the order", func() bool { return len(target.orders()) == 1 })
	r.Stop()
	rows, err := b.client.Get(t.Context(), "lease/lm-pool/engine-1")
	is.NoErr(err)
	is.True(strings.Contains(string(rows[0].Value), `"released":true`))
	b.reconciler(t, "d2", target).Set([]Wanted{w})
	eventually(t, "the state", holds(target, "", w))
}

func TestWeightsAreFetchedOneAtATime(t *testing.T) {
	// A new version for a whole pool. The weight store lets one fetch through
	// each interval; no engine is ordered to load what is not ready, and no
	// name is fetched again and again while a target waits.
	is := is.New(t)
	const interval = 30 * time.Millisecond
	b := newBench(t, platformstandin.Config{WeightInterval: interval})
	target := &fakeTarget{fenced: true}
	started := time.Now()
	b.reconciler(t, "d1", target).Set([]Wanted{wanted(1, "a", "b", "c")})
	eventually(t, "the state", holds(target, "", wanted(1, "a", "b", "c")))
	is.True(time.Since(started) >= 2*interval) // the first of three is free
	for _, name := range []string{"a", "b", "c"} {
		is.Equal(b.platform.Fetches(name), 1)
	}
}
