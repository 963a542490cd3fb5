package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/placement"
)

// storedEvent returns an event for a prefix that was stored.
func storedEvent(sequence, prefix uint64) placement.CacheEvent {
	return placement.CacheEvent{Sequence: sequence, Prefix: prefix, Stored: true}
}

func evictedEvent(sequence, prefix uint64) placement.CacheEvent {
	return placement.CacheEvent{Sequence: sequence, Prefix: prefix}
}

func heldPrefixes(table *placement.Table, prefixes ...uint64) []uint64 {
	var held []uint64
	for _, p := range prefixes {
		if table.HoldsPrefix("a", p) {
			held = append(held, p)
		}
	}
	return held
}

func pageOf(run string, events ...placement.CacheEvent) placement.CachePage {
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
		// placedAt is when prefix 9 was placed locally; zero means never.
		placedAt time.Time
		held     []uint64
		next     uint64
	}{
		"stored and evicted": {
			pages: []placement.CachePage{pageOf("r", storedEvent(1, 7), storedEvent(2, 8)), pageOf("r", evictedEvent(3, 7))},
			held:  []uint64{8}, next: 3,
		},
		"a duplicate event changes nothing": {
			pages: []placement.CachePage{pageOf("r", storedEvent(1, 7), evictedEvent(2, 7)), pageOf("r", storedEvent(1, 7), evictedEvent(2, 7))},
			next:  2,
		},
		"a gap evicts the oldest prefix": {
			pages: []placement.CachePage{pageOf("r", storedEvent(1, 6)), pageOf("r", storedEvent(2, 7)), pageOf("r", storedEvent(4, 8))},
			held:  []uint64{7, 8}, next: 4,
		},
		"a gap longer than the known prefixes evicts all of them": {
			pages: []placement.CachePage{pageOf("r", storedEvent(1, 6), storedEvent(2, 7)), pageOf("r", storedEvent(90, 8))},
			held:  []uint64{8}, next: 90,
		},
		"events before the first poll are not a gap": {
			pages: []placement.CachePage{pageOf("r", storedEvent(50, 6), storedEvent(51, 7))},
			held:  []uint64{6, 7}, next: 51,
		},
		"a new run starts empty": {
			pages: []placement.CachePage{pageOf("r", storedEvent(1, 6), storedEvent(2, 7)), pageOf("s", storedEvent(3, 8))},
			next:  0, // all events of the new run are requested
		},
		"a lower sequence number means a new run if none is named": {
			pages: []placement.CachePage{pageOf("", storedEvent(1, 6), storedEvent(2, 7)), pageOf("", storedEvent(1, 8))},
			next:  0,
		},
		"events after a restart": {
			pages: []placement.CachePage{pageOf("r", storedEvent(1, 6)), pageOf("s", storedEvent(1, 7)), pageOf("s", storedEvent(1, 7), storedEvent(2, 8))},
			held:  []uint64{7, 8}, next: 2,
		},
		"a late eviction does not override a recent placement": {
			pages:    []placement.CachePage{pageOf("r", storedEvent(1, 9)), pageOf("r", evictedEvent(2, 9))},
			placedAt: later(0), held: []uint64{9}, next: 2,
		},
		"an eviction overrides an old placement": {
			pages:    []placement.CachePage{pageOf("r", storedEvent(1, 9)), pageOf("r", evictedEvent(2, 9))},
			placedAt: later(-60), next: 2,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(placement.Target{Name: "a"})
			if !c.placedAt.IsZero() {
				table.RecordPlacement(c.placedAt, "a", 9)
			}
			for i, p := range c.pages {
				table.ApplyCachePage(start.Add(time.Duration(i)*time.Millisecond), "a", p)
			}
			is.Equal(heldPrefixes(table, 6, 7, 8, 9), c.held)
			is.Equal(table.NextCacheSequence("a"), c.next)
		})
	}
}

// The owner's summary replaces what an ingress remembers, because prefixes
// placed a minute ago may have been evicted since. Placements made a second ago
// are kept: the owner may not have seen them yet.
func TestOwnerSummaryReplacesOldPlacements(t *testing.T) {
	is := is.New(t)
	owner, ingress := newTable(placement.Target{Name: "a"}), newTable(placement.Target{Name: "a"})
	is.Equal(len(owner.CacheSummary(start, "a")), 0) // no events received yet
	owner.ApplyCachePage(start, "a", pageOf("r", storedEvent(1, 6)))
	ingress.RecordPlacement(start.Add(-time.Minute), "a", 7)
	ingress.RecordPlacement(start.Add(-time.Second), "a", 8)
	ingress.ApplyCacheSummary(start, "a", owner.CacheSummary(start, "a"))
	is.Equal(heldPrefixes(ingress, 6, 7, 8), []uint64{6, 8})

	// An owner that receives no more events sends no summary, and its last
	// summary expires.
	is.Equal(len(owner.CacheSummary(start.Add(time.Minute), "a")), 0)
	ingress.RecordPlacement(start.Add(time.Minute), "a", 9)
	is.Equal(heldPrefixes(ingress, 6, 8, 9), []uint64{8, 9})
}
