package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/placement"
)

// stored is an event, evicted another.
func stored(sequence, prefix uint64) placement.CacheEvent {
	return placement.CacheEvent{Sequence: sequence, Prefix: prefix, Stored: true}
}

func evicted(sequence, prefix uint64) placement.CacheEvent {
	return placement.CacheEvent{Sequence: sequence, Prefix: prefix}
}

func heldOf(table *placement.Table, prefixes ...uint64) []uint64 {
	var held []uint64
	for _, p := range prefixes {
		if table.Holds("a", p) {
			held = append(held, p)
		}
	}
	return held
}

func page(run string, events ...placement.CacheEvent) placement.CachePage {
	p := placement.CachePage{Run: run, Events: events}
	if len(events) > 0 {
		p.Next = events[len(events)-1].Sequence
	}
	return p
}

func TestCacheEventsAreMerged(t *testing.T) {
	later := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := map[string]struct {
		pages []placement.CachePage
		// own is the time of an own placement of prefix 9; zero: none.
		own  time.Time
		held []uint64
		next uint64
	}{
		"stored and evicted": {
			pages: []placement.CachePage{page("r", stored(1, 7), stored(2, 8)), page("r", evicted(3, 7))},
			held:  []uint64{8}, next: 3,
		},
		"an event that was had before changes nothing": {
			pages: []placement.CachePage{page("r", stored(1, 7), evicted(2, 7)), page("r", stored(1, 7), evicted(2, 7))},
			next:  2,
		},
		"a gap makes the oldest doubtful": {
			pages: []placement.CachePage{page("r", stored(1, 6)), page("r", stored(2, 7)), page("r", stored(4, 8))},
			held:  []uint64{7, 8}, next: 4,
		},
		"a gap longer than all that is known": {
			pages: []placement.CachePage{page("r", stored(1, 6), stored(2, 7)), page("r", stored(90, 8))},
			held:  []uint64{8}, next: 90,
		},
		"what came before the first poll is no gap": {
			pages: []placement.CachePage{page("r", stored(50, 6), stored(51, 7))},
			held:  []uint64{6, 7}, next: 51,
		},
		"another run starts empty": {
			pages: []placement.CachePage{page("r", stored(1, 6), stored(2, 7)), page("s", stored(3, 8))},
			next:  0, // and is asked for all its events
		},
		"a lower number is another run where none is named": {
			pages: []placement.CachePage{page("", stored(1, 6), stored(2, 7)), page("", stored(1, 8))},
			next:  0,
		},
		"after another run": {
			pages: []placement.CachePage{page("r", stored(1, 6)), page("s", stored(1, 7)), page("s", stored(1, 7), stored(2, 8))},
			held:  []uint64{7, 8}, next: 2,
		},
		"a late eviction does not overrule a new placement": {
			pages: []placement.CachePage{page("r", stored(1, 9)), page("r", evicted(2, 9))},
			own:   later(0), held: []uint64{9}, next: 2,
		},
		"an eviction overrules an old placement": {
			pages: []placement.CachePage{page("r", stored(1, 9)), page("r", evicted(2, 9))},
			own:   later(-60), next: 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(placement.Target{Name: "a"})
			if !c.own.IsZero() {
				table.CacheStored(c.own, "a", 9)
			}
			for i, p := range c.pages {
				table.CachePage(start.Add(time.Duration(i)*time.Millisecond), "a", p)
			}
			is.Equal(heldOf(table, 6, 7, 8, 9), c.held)
			is.Equal(table.CacheNext("a"), c.next)
		})
	}
}

// The owner's word takes the place of what an ingress remembers: its placements
// of a minute ago may long be evicted. What it placed a second ago the owner
// cannot have seen.
func TestOwnersWordReplacesOldPlacements(t *testing.T) {
	is := is.New(t)
	owner, ingress := newTable(placement.Target{Name: "a"}), newTable(placement.Target{Name: "a"})
	is.Equal(len(owner.CacheSummary(start, "a")), 0) // it has heard nothing
	owner.CachePage(start, "a", page("r", stored(1, 6)))
	ingress.CacheStored(start.Add(-time.Minute), "a", 7)
	ingress.CacheStored(start.Add(-time.Second), "a", 8)
	ingress.CacheSaid(start, "a", owner.CacheSummary(start, "a"))
	is.Equal(heldOf(ingress, 6, 7, 8), []uint64{6, 8})

	// An owner that hears nothing any more says nothing, and its word lapses.
	is.Equal(len(owner.CacheSummary(start.Add(time.Minute), "a")), 0)
	ingress.CacheStored(start.Add(time.Minute), "a", 9)
	is.Equal(heldOf(ingress, 6, 8, 9), []uint64{8, 9})
}
