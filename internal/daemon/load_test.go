package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/settings"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// A daemon short of processor time refuses new connections first, and therefore has to
// distinguish the first request of a connection from later ones.
func TestIsFirstRequest(t *testing.T) {
	is := is.New(t)
	var firsts []bool
	handler := countRequests(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		firsts = append(firsts, isFirstRequest(r.Context()))
	}))
	server, client := net.Pipe()
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	ctx := withConn(context.Background(), server)
	for range 3 {
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		handler.ServeHTTP(httptest.NewRecorder(), r)
	}
	is.Equal(firsts, []bool{true, false, false})
	is.True(!isFirstRequest(context.Background()))
}

// Guards against a daemon that accepts an entire sudden flood until its measurements
// complete: its decision needs nine of them, and each has to wait to be scheduled.
func TestFloodIsShedBeforeMeasurementCompletes(t *testing.T) {
	const latency, spin = 2000 * time.Millisecond, 2 * time.Millisecond
	is := is.New(t)
	monitor := newLoadMonitor(settings.Settings{})
	ctx, cancel := context.WithCancel(context.Background())
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		monitor.run(ctx, slog.New(slog.DiscardHandler), newConnTracker(0))
	}()
	time.Sleep(100 * time.Millisecond)
	is.True(!monitor.shouldShed(t.Context()))
	is.Equal(monitor.acceptRate(), rate.Limit(0))

	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	for range int(latency / spin) {
		go func() {
			for ctx.Err() == nil {
				for end := time.Now().Add(spin); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	flooded := time.Now()
	for time.Since(flooded) < latency && (monitor.shedFraction() == 0 || monitor.acceptRate() == 0) {
		time.Sleep(50 * time.Millisecond)
	}
	took := time.Since(flooded)
	t.Logf("shedding began after %v", took)
	cancel()
	<-monitorDone
	is.True(took < latency/2)
}

// agedReader answers queries at the end of their wait with what the store confirmed some time ago.
type agedReader struct{ age time.Duration }

// Follow implements relay.Peers.
func (r agedReader) Follow(_ context.Context, _ ident.Daemon, q store.FeedQuery) (store.FeedAnswer, error) {
	time.Sleep(q.Wait)
	return store.FeedAnswer{Revision: q.After, Age: r.age}, nil
}

// Guards against a daemon short of processor time that refuses what newer routes allow, because it
// takes what its reader has sent for the present state of the store.
func TestRoutesAreAsOldAsTheWordOfTheReader(t *testing.T) {
	metrics := telemetry.NewMetrics()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		d, err := newSimulation(ctx, newRestorableStore(false), identity{Daemon: "d", Zone: "a", Incarnation: 7}, agedReader{maxRoutesAge + 100*time.Millisecond}, metrics, &tasks)
		is.NoErr(err)
		var others []membership.Member
		for _, id := range []ident.Daemon{"r1", "r2", "r3", "r4", "r5", "r6", "r7"} {
			others = append(others, membership.Member{ID: id, Zone: "a"})
		}
		d.storeSync.deps.Relay.Elect(others)
		load := d.storeSync.deps.Load
		load.shedPermille.Store(shedScale / 10)
		time.Sleep(5 * time.Second)
		for range 40 {
			is.True(load.routesStale())
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		tasks.Wait()
	})
}

// Guards against a daemon that is short of processor time, reads the answers to its own messages late, and
// takes that for a full link.
func TestLackOfProcessorTimeIsNotTakenForAFullLink(t *testing.T) {
	requireLinkLimited(t, 400*time.Millisecond, 400*time.Millisecond, false)
}

// Guards against a full link that is not found on a VM that is also short of processor time.
func TestFullLinkIsFoundDespiteLackOfProcessorTime(t *testing.T) {
	requireLinkLimited(t, 100*time.Millisecond, 2*time.Second, true)
}

// requireLinkLimited requires that requests are limited, or not, after five seconds of the given scheduling
// latency and round trip to all other daemons.
func requireLinkLimited(t *testing.T, latency, roundTrip time.Duration, limited bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse(nil, func(s *settings.Settings) { s.Daemon, s.Zone, s.Platform.URL = "d", "a", "http://127.0.0.1:9" })
		is.NoErr(err)
		load := newLoadMonitor(s)
		load.lastLatency.Store(int64(latency))
		load.link.conns = newConnTracker(0)
		load.link.ping = func(context.Context, ident.Daemon) error {
			time.Sleep(roundTrip)
			return nil
		}
		load.link.setPeers([]ident.Daemon{"own1", "own2"}, []ident.Daemon{"far1", "far2"})
		ctx, cancel := context.WithCancel(t.Context())
		go load.link.run(ctx, slog.New(slog.DiscardHandler))
		for range 50 {
			load.link.conns.received.Add(50 << 10)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(load.link.limited(), limited)
		cancel()
		synctest.Wait()
	})
}

// Guards against two errors: a daemon whose link is full handles requests by routes that are no longer in
// force, and one whose zone is cut off from a store that is away stops serving.
func TestRoutesAreBehindOnlyInTroubleOfOnesOwn(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse(nil, func(s *settings.Settings) { s.Daemon, s.Zone, s.Platform.URL = "d", "a", "http://127.0.0.1:9" })
	is.NoErr(err)
	load := newLoadMonitor(s)
	outOfTouch := false
	load.storeOutOfTouch = func() bool { return outOfTouch }
	load.started = time.Now().Add(-time.Minute)
	is.True(!load.routesBehind()) // no routes yet
	load.confirmRoutes(time.Now().Add(-10 * time.Second))
	is.True(!load.routesBehind() && !load.routesStale() && !load.overloaded()) // the store is away
	outOfTouch = true
	is.True(load.routesBehind() && load.routesStale() && load.overloaded())
	load.confirmRoutes(time.Now().Add(-2 * time.Second))
	is.True(!load.routesBehind() && load.routesStale()) // a 404 may be wrong already
	load.confirmRoutes(time.Now())
	is.True(!load.routesBehind() && !load.routesStale() && !load.overloaded())
	outOfTouch = false
	load.confirmRoutes(time.Now().Add(-10 * time.Second))
	load.link.congested.Store(true)
	is.True(load.routesBehind())
}
