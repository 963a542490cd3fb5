package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// cacheScenario defines what the daemons learn about the engines' caches.
type cacheScenario struct {
	// hints is false if the daemons do not even use their own placements.
	hints bool
	// polled is true if the owner of an engine polls its events each second.
	polled bool
	// publishDelay is the age at which events are published. One event in lossInterval
	// is lost (zero: none).
	publishDelay time.Duration
	lossInterval int
}

// prefixFleet is four daemons, each with requests of the same workspace, and eight
// engines that cache the prefixes of their latest prompts.
type prefixFleet struct {
	t        *testing.T
	scenario cacheScenario
	prefixes int
	rng      *rand.Rand
	now      time.Time
	cores    []*scheduler.Core
	caches   map[ident.Target][]uint64
	prefixOf map[ident.Request]uint64
	running  []running
	// published holds the events of each engine that are not lost, and publishedAt the
	// times of all its events.
	published    map[ident.Target][]placement.CacheEvent
	sequence     map[ident.Target]uint64
	publishedAt  map[ident.Target]map[uint64]time.Time
	hits         int
	dispatched   int
	eventsPolled int
	fingerprints int
	daemonIndex  map[ident.Daemon]int
}

type running struct {
	daemon int
	id     ident.Request
}

const (
	prefixDaemons = 4
	prefixEngines = 8
	prefixSlots   = 4
	// maxEventsPerPoll bounds the events per poll, as the daemon's polls do.
	maxEventsPerPoll = 64
	// queuedPerDaemon is the number of requests that wait at each daemon.
	queuedPerDaemon = 30
)

func newPrefixFleet(t *testing.T, prefixes int, scenario cacheScenario) *prefixFleet {
	f := &prefixFleet{
		t: t, scenario: scenario, prefixes: prefixes, now: start, rng: rand.New(rand.NewPCG(3, 4)),
		caches: map[ident.Target][]uint64{}, prefixOf: map[ident.Request]uint64{}, daemonIndex: map[ident.Daemon]int{},
		published: map[ident.Target][]placement.CacheEvent{}, sequence: map[ident.Target]uint64{}, publishedAt: map[ident.Target]map[uint64]time.Time{},
	}
	service := scheduler.Service{
		Name: "pool", MeanCost: 100,
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, QueueLimit: 1000}},
	}
	for i := range prefixEngines {
		service.Targets = append(service.Targets, scheduler.Target{Name: ident.Target(fmt.Sprint("t", i)), Zone: "z1", Slots: prefixSlots})
	}
	for i := range prefixDaemons {
		c := scheduler.New(scheduler.Config{Self: daemonName(i), Incarnation: 1, Zone: "z1"}, rand.New(rand.NewPCG(uint64(i), 2)))
		c.Configure(start, []scheduler.Service{service})
		f.cores = append(f.cores, c)
		f.daemonIndex[daemonName(i)] = i
	}
	for i, c := range f.cores {
		var peers []scheduler.Peer
		for j := range f.cores {
			if j != i {
				peers = append(peers, scheduler.Peer{ID: daemonName(j), Incarnation: 1, Zone: "z1"})
			}
		}
		c.SetPeers(start, peers)
	}
	return f
}

func daemonName(i int) ident.Daemon { return ident.Daemon(fmt.Sprint("d", i)) }

// run returns the fraction of requests that found their prefix cached and, per
// request, the number of events polled and of fingerprints sent with grants.
func (f *prefixFleet) run() (hits, events, fingerprints float64) {
	for f.dispatched < prefixRequests {
		f.now = f.now.Add(10 * time.Millisecond)
		f.submit()
		for _, c := range f.cores {
			c.Tick(f.now)
		}
		f.poll()
		f.deliverAll()
		f.finishOne()
	}
	sent := float64(f.dispatched)
	return float64(f.hits) / sent, float64(f.eventsPolled) / sent, float64(f.fingerprints) / sent
}

func (f *prefixFleet) submit() {
	for i, c := range f.cores {
		for waiting := c.Waiting(); waiting < queuedPerDaemon; waiting++ {
			r := request(fmt.Sprint("r", len(f.prefixOf)), "a")
			f.prefixOf[r.ID] = 1 + uint64(f.rng.IntN(f.prefixes))
			if f.scenario.hints {
				r.Prefix = f.prefixOf[r.ID]
			}
			is.New(f.t).Equal(f.cores[i].Submit(f.now, r), nil)
		}
	}
}

// deliverAll delivers messages, and the messages that they cause, until none is left.
func (f *prefixFleet) deliverAll() {
	for sent := true; sent; {
		sent = false
		for i, c := range f.cores {
			for _, e := range c.TakeEffects() {
				switch e := e.(type) {
				case scheduler.Send:
					sent = true
					for _, g := range e.Message.Grants {
						f.fingerprints += len(g.CachedPrefixes)
					}
					f.cores[f.daemonIndex[e.To]].Receive(f.now, daemonName(i), e.Message)
				case scheduler.Dispatch:
					f.dispatch(i, e)
				}
			}
		}
	}
}

func (f *prefixFleet) dispatch(daemon int, d scheduler.Dispatch) {
	f.dispatched++
	f.running = append(f.running, running{daemon, d.Request})
	p, cache := f.prefixOf[d.Request], f.caches[d.Target]
	if i := slices.Index(cache, p); i >= 0 {
		f.hits++
		cache = slices.Delete(cache, i, i+1)
	} else {
		f.publish(d.Target, p, true)
	}
	cache = append(cache, p)
	if len(cache) > cachedPrefixes {
		f.publish(d.Target, cache[0], false)
		cache = cache[1:]
	}
	f.caches[d.Target] = cache
}

// poll gives each owner the events that its targets have published so far, once a
// second.
func (f *prefixFleet) poll() {
	if !f.scenario.polled || f.now.Sub(start)%time.Second != 0 {
		return
	}
	for _, c := range f.cores {
		for name := range c.OwnedTargets()["pool"] {
			page := placement.CachePage{Run: "1"}
			for _, e := range f.published[name] {
				if e.Sequence > c.CacheCursor("pool", name) && f.now.Sub(f.publishedAt[name][e.Sequence]) >= f.scenario.publishDelay {
					page.Events, page.Next = append(page.Events, e), e.Sequence
				}
				if page.More = len(page.Events) == maxEventsPerPoll; page.More {
					break
				}
			}
			page.Next = max(page.Next, c.CacheCursor("pool", name))
			f.eventsPolled += len(page.Events)
			c.ApplyCachePage(f.now, "pool", name, page)
		}
	}
}

func (f *prefixFleet) publish(target ident.Target, prefix uint64, stored bool) {
	if f.publishedAt[target] == nil {
		f.publishedAt[target] = map[uint64]time.Time{}
	}
	f.sequence[target]++
	f.publishedAt[target][f.sequence[target]] = f.now
	if f.scenario.lossInterval == 0 || f.rng.IntN(f.scenario.lossInterval) > 0 {
		f.published[target] = append(f.published[target], placement.CacheEvent{Sequence: f.sequence[target], Prefix: prefix, Stored: stored})
	}
}

func (f *prefixFleet) finishOne() {
	i := f.rng.IntN(len(f.running))
	r := f.running[i]
	f.running = slices.Delete(f.running, i, i+1)
	f.cores[r.daemon].Finish(f.now, r.id, scheduler.Result{Served: 100, Elapsed: time.Second, FirstByte: 10 * time.Millisecond})
}

// Four daemons share eight engines. Each knows only its own placements, a quarter of
// what the caches hold, and not which prefixes the requests of other daemons have
// evicted. It therefore sends requests to targets whose prefix is long gone.
func TestCacheEventsRaiseHitRate(t *testing.T) {
	scenarios := []struct {
		name     string
		scenario cacheScenario
	}{
		{"no hints", cacheScenario{}},
		{"own placements", cacheScenario{hints: true}},
		{"polled, 1 s late, 1 in 20 lost", cacheScenario{hints: true, polled: true, publishDelay: time.Second, lossInterval: 20}},
		{"polled, 500 ms late, 1 in 7 lost", cacheScenario{hints: true, polled: true, publishDelay: 500 * time.Millisecond, lossInterval: 7}},
		{"polled, at once, none lost", cacheScenario{hints: true, polled: true}},
	}
	for _, prefixes := range []int{40, 100, 400} {
		t.Run(fmt.Sprint(prefixes), func(t *testing.T) {
			var hitRates []float64
			for _, w := range scenarios {
				hitRate, events, fingerprints := newPrefixFleet(t, prefixes, w.scenario).run()
				t.Logf("%s: hits %.3f; for each request %.2f events and %.2f fingerprints", w.name, hitRate, events, fingerprints)
				hitRates = append(hitRates, hitRate)
			}
			is.New(t).True(hitRates[2] > 1.1*hitRates[1])
		})
	}
}

// Cache summaries are sent with grants. Without a bound, an ingress with many short
// requests would receive the same summary with each grant, which would double the
// control traffic.
func TestSummariesAreBounded(t *testing.T) {
	is := is.New(t)
	owner, ingress := newOwnerAndIngress(20)
	page := placement.CachePage{Run: "r"}
	for i := range uint64(30) {
		page.Events, page.Next = append(page.Events, placement.CacheEvent{Sequence: i + 1, Prefix: i, Stored: true}), i+1
	}
	now, fingerprints, grants, duration := start, 0, 0, 10*time.Second
	for i := 0; now.Before(start.Add(duration)); i++ {
		owner.ApplyCachePage(now, "pool", "t1", page)
		is.Equal(ingress.Submit(now, request(fmt.Sprint("r", i), "a")), nil)
		now = now.Add(20 * time.Millisecond)
		ingress.Tick(now)
		for _, e := range ingress.TakeEffects() {
			if s, ok := e.(scheduler.Send); ok {
				owner.Receive(now, "d2", s.Message)
			}
		}
		owner.Tick(now)
		for _, e := range owner.TakeEffects() {
			s, ok := e.(scheduler.Send)
			if !ok {
				continue
			}
			for _, g := range s.Message.Grants {
				fingerprints += len(g.CachedPrefixes)
				grants++
			}
			ingress.Receive(now, "d1", s.Message)
		}
		for _, id := range dispatched(ingress) {
			ingress.Finish(now, id, scheduler.Result{Served: 1, Elapsed: 3 * time.Second, FirstByte: time.Millisecond})
		}
	}
	t.Logf("%d grants with %d fingerprints in %v", grants, fingerprints, duration)
	is.True(fingerprints > 0)
	is.True(fingerprints <= 30*11) // one summary a second
}
