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

// cacheNews says what the daemons hear of the engines' caches.
type cacheNews struct {
	// hints is false where not even own placements count.
	hints bool
	// polled is true where the owner of an engine polls its events each second.
	polled bool
	// lag is the age at which they are published; one in gap is lost (zero:
	// none).
	lag time.Duration
	gap int
}

// prefixFleet is four daemons with one workspace's requests at each, and eight
// engines that cache the starts of their last prompts.
type prefixFleet struct {
	t        *testing.T
	news     cacheNews
	prefixes int
	rng      *rand.Rand
	now      time.Time
	cores    []*scheduler.Core
	caches   map[ident.Target][]uint64
	of       map[ident.Request]uint64
	running  []running
	// published are the events of each engine that are not lost, at their times.
	published map[ident.Target][]placement.CacheEvent
	sequence  map[ident.Target]uint64
	at        map[ident.Target]map[uint64]time.Time
	hits      int
	sent      int
	heard     int
	marks     int
	index     map[ident.Daemon]int
}

type running struct {
	daemon int
	id     ident.Request
}

const (
	prefixDaemons = 4
	prefixEngines = 8
	prefixSlots   = 4
	// eventsOfPoll bounds a poll, as that of the daemon does.
	eventsOfPoll = 64
	// waitingEach is what waits at each daemon.
	waitingEach = 30
)

func newPrefixFleet(t *testing.T, prefixes int, news cacheNews) *prefixFleet {
	f := &prefixFleet{
		t: t, news: news, prefixes: prefixes, now: start, rng: rand.New(rand.NewPCG(3, 4)),
		caches: map[ident.Target][]uint64{}, of: map[ident.Request]uint64{}, index: map[ident.Daemon]int{},
		published: map[ident.Target][]placement.CacheEvent{}, sequence: map[ident.Target]uint64{}, at: map[ident.Target]map[uint64]time.Time{},
	}
	service := scheduler.Service{
		Name: "pool", MeanCost: 100,
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, Queue: 1000}},
	}
	for i := range prefixEngines {
		service.Targets = append(service.Targets, scheduler.Target{Name: ident.Target(fmt.Sprint("t", i)), Zone: "z1", Slots: prefixSlots})
	}
	for i := range prefixDaemons {
		c := scheduler.New(scheduler.Config{Self: daemonName(i), Incarnation: 1, Zone: "z1"}, rand.New(rand.NewPCG(uint64(i), 2)))
		c.Configure(start, []scheduler.Service{service})
		f.cores = append(f.cores, c)
		f.index[daemonName(i)] = i
	}
	for i, c := range f.cores {
		var peers []scheduler.Peer
		for j := range f.cores {
			if j != i {
				peers = append(peers, scheduler.Peer{ID: daemonName(j), Incarnation: 1, Zone: "z1"})
			}
		}
		c.Peers(start, peers)
	}
	return f
}

func daemonName(i int) ident.Daemon { return ident.Daemon(fmt.Sprint("d", i)) }

// run returns the part of the requests that found the start of their prompt,
// and for each request the events that were polled and the marks that were sent
// with grants.
func (f *prefixFleet) run() (hits, events, marks float64) {
	for f.sent < prefixRequests {
		f.now = f.now.Add(10 * time.Millisecond)
		f.submit()
		for _, c := range f.cores {
			c.Tick(f.now)
		}
		f.poll()
		f.carryOut()
		f.finishOne()
	}
	sent := float64(f.sent)
	return float64(f.hits) / sent, float64(f.heard) / sent, float64(f.marks) / sent
}

func (f *prefixFleet) submit() {
	for i, c := range f.cores {
		for waiting := c.Waiting(); waiting < waitingEach; waiting++ {
			r := request(fmt.Sprint("r", len(f.of)), "a")
			f.of[r.ID] = 1 + uint64(f.rng.IntN(f.prefixes))
			if f.news.hints {
				r.Prefix = f.of[r.ID]
			}
			is.New(f.t).Equal(f.cores[i].Submit(f.now, r), nil)
		}
	}
}

// carryOut passes messages on until there are none, each after the others.
func (f *prefixFleet) carryOut() {
	for sent := true; sent; {
		sent = false
		for i, c := range f.cores {
			for _, e := range c.Take() {
				switch e := e.(type) {
				case scheduler.Send:
					sent = true
					for _, g := range e.Message.Grants {
						f.marks += len(g.Cached)
					}
					f.cores[f.index[e.To]].Receive(f.now, daemonName(i), e.Message)
				case scheduler.Dispatch:
					f.dispatch(i, e)
				}
			}
		}
	}
}

func (f *prefixFleet) dispatch(daemon int, d scheduler.Dispatch) {
	f.sent++
	f.running = append(f.running, running{daemon, d.Request})
	p, cache := f.of[d.Request], f.caches[d.Target]
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

// poll gives each owner the events that its targets have published by now, once
// a second.
func (f *prefixFleet) poll() {
	if !f.news.polled || f.now.Sub(start)%time.Second != 0 {
		return
	}
	for _, c := range f.cores {
		for name := range c.Owned()["pool"] {
			page := placement.CachePage{Run: "1"}
			for _, e := range f.published[name] {
				if e.Sequence > c.CacheNext("pool", name) && f.now.Sub(f.at[name][e.Sequence]) >= f.news.lag {
					page.Events, page.Next = append(page.Events, e), e.Sequence
				}
				if page.More = len(page.Events) == eventsOfPoll; page.More {
					break
				}
			}
			page.Next = max(page.Next, c.CacheNext("pool", name))
			f.heard += len(page.Events)
			c.TargetCache(f.now, "pool", name, page)
		}
	}
}

func (f *prefixFleet) publish(target ident.Target, prefix uint64, stored bool) {
	if f.at[target] == nil {
		f.at[target] = map[uint64]time.Time{}
	}
	f.sequence[target]++
	f.at[target][f.sequence[target]] = f.now
	if f.news.gap == 0 || f.rng.IntN(f.news.gap) > 0 {
		f.published[target] = append(f.published[target], placement.CacheEvent{Sequence: f.sequence[target], Prefix: prefix, Stored: stored})
	}
}

func (f *prefixFleet) finishOne() {
	i := f.rng.IntN(len(f.running))
	r := f.running[i]
	f.running = slices.Delete(f.running, i, i+1)
	f.cores[r.daemon].Finish(f.now, r.id, scheduler.Result{Served: 100, Elapsed: time.Second, First: 10 * time.Millisecond})
}

// Four daemons share eight engines. Each knows what it has placed itself, a
// quarter of what the caches hold, and none of what the others' prompts have
// driven out: it sends a case's question where the case file was an hour ago.
func TestCacheEventsRaiseTheHits(t *testing.T) {
	ways := []struct {
		name string
		news cacheNews
	}{
		{"no hints", cacheNews{}},
		{"own placements", cacheNews{hints: true}},
		{"polled, 1 s late, 1 in 20 lost", cacheNews{hints: true, polled: true, lag: time.Second, gap: 20}},
		{"polled, 500 ms late, 1 in 7 lost", cacheNews{hints: true, polled: true, lag: 500 * time.Millisecond, gap: 7}},
		{"polled, at once, none lost", cacheNews{hints: true, polled: true}},
	}
	for _, prefixes := range []int{40, 100, 400} {
		t.Run(fmt.Sprint(prefixes), func(t *testing.T) {
			var hits []float64
			for _, w := range ways {
				found, events, marks := newPrefixFleet(t, prefixes, w.news).run()
				t.Logf("%s: hits %.3f; for each request %.2f events and %.2f marks", w.name, found, events, marks)
				hits = append(hits, found)
			}
			is.New(t).True(hits[2] > 1.1*hits[1])
		})
	}
}

// Summaries of a cache ride on grants. An ingress with many short requests would
// get the same one with each grant, and the control traffic would double.
func TestSummariesAreBounded(t *testing.T) {
	is := is.New(t)
	owner, ingress := linked(20)
	page := placement.CachePage{Run: "r"}
	for i := range uint64(30) {
		page.Events, page.Next = append(page.Events, placement.CacheEvent{Sequence: i + 1, Prefix: i, Stored: true}), i+1
	}
	now, marks, grants, ended := start, 0, 0, 10*time.Second
	for i := 0; now.Before(start.Add(ended)); i++ {
		owner.TargetCache(now, "pool", "t1", page)
		is.Equal(ingress.Submit(now, request(fmt.Sprint("r", i), "a")), nil)
		now = now.Add(20 * time.Millisecond)
		ingress.Tick(now)
		for _, e := range ingress.Take() {
			if s, ok := e.(scheduler.Send); ok {
				owner.Receive(now, "d2", s.Message)
			}
		}
		owner.Tick(now)
		for _, e := range owner.Take() {
			s, ok := e.(scheduler.Send)
			if !ok {
				continue
			}
			for _, g := range s.Message.Grants {
				marks += len(g.Cached)
				grants++
			}
			ingress.Receive(now, "d1", s.Message)
		}
		for _, id := range dispatched(ingress) {
			ingress.Finish(now, id, scheduler.Result{Served: 1, Elapsed: 3 * time.Second, First: time.Millisecond})
		}
	}
	t.Logf("%d grants with %d marks in %v", grants, marks, ended)
	is.True(marks > 0)
	is.True(marks <= 30*11) // one summary a second
}
