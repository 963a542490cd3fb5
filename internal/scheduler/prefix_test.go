package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	cachedPrefixes = 16 // that an engine keeps
	casePrefixes   = 100
	prefixRequests = 8000
	prefixWaiting  = 60
)

// prefixRun sends one workspace's requests, each with the start of one of a
// hundred prompts, through a daemon to four engines, and returns the part that
// found its start in the engine's cache.
func prefixRun(t *testing.T, hints bool) float64 {
	c := scheduler.New(scheduler.Config{Self: "d1", Incarnation: 1, Zone: "z1"}, rand.New(rand.NewPCG(1, 2)))
	service := scheduler.Service{
		Name: "pool", MeanCost: 100,
		Workspaces: []scheduler.Workspace{{Name: "a", Weight: 1, Queue: 1000}},
	}
	for i := range 4 {
		service.Targets = append(service.Targets, scheduler.Target{Name: ident.Target(fmt.Sprint("t", i)), Zone: "z1", Slots: 8})
	}
	c.Configure(start, []scheduler.Service{service})
	rng := rand.New(rand.NewPCG(3, 4))
	prefixes := map[ident.Request]uint64{}
	caches := map[ident.Target][]uint64{}
	var running []ident.Request
	hits, sent := 0, 0
	for now := start; sent < prefixRequests; now = now.Add(10 * time.Millisecond) {
		for waiting := c.Waiting(); waiting < prefixWaiting; waiting++ {
			r := request(fmt.Sprint("r", len(prefixes)), "a")
			prefixes[r.ID] = 1 + uint64(rng.IntN(casePrefixes))
			if hints {
				r.Prefix = prefixes[r.ID]
			}
			is.New(t).True(c.Submit(now, r) == nil)
		}
		for _, e := range c.Take() {
			d, ok := e.(scheduler.Dispatch)
			if !ok {
				continue
			}
			sent++
			running = append(running, d.Request)
			p := prefixes[d.Request]
			if i := slices.Index(caches[d.Target], p); i >= 0 {
				hits++
				caches[d.Target] = slices.Delete(caches[d.Target], i, i+1)
			}
			caches[d.Target] = append(caches[d.Target], p)
			if len(caches[d.Target]) > cachedPrefixes {
				caches[d.Target] = caches[d.Target][1:]
			}
		}
		i := rng.IntN(len(running))
		c.Finish(now, running[i], scheduler.Result{Served: 100, Elapsed: time.Second, First: 10 * time.Millisecond})
		running = slices.Delete(running, i, i+1)
	}
	return float64(hits) / float64(sent)
}

// A co-operative asks about a hundred cases, each with the case file before the
// question, and an engine caches sixteen files. Whatever request comes next to
// the slot that is free, its file is seldom there and is computed anew.
func TestPrefixHintsRaiseTheCacheHits(t *testing.T) {
	is := is.New(t)
	without, with := prefixRun(t, false), prefixRun(t, true)
	t.Logf("hits: %.3f without hints, %.3f with", without, with)
	is.True(with > 1.5*without)
}
