package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// CacheEvent is one change to a target's prefix cache as published by the
// target. Events arrive late, and some are lost.
type CacheEvent struct {
	// Sequence increases by one with each event of a run of the target.
	Sequence uint64
	Prefix   uint64
	// Stored is false if the prefix was evicted.
	Stored bool
}

// CachePage is the response to a poll for the events after a sequence number.
type CachePage struct {
	// Run identifies the target's current run, if the target reports one. A new
	// run starts with an empty cache.
	Run    string
	Events []CacheEvent
	// Next is the sequence number to pass in the next poll.
	Next uint64
	// More reports whether the page was full, so more events are already
	// available.
	More bool
}

const (
	// localPlacementTTL is how long a local placement takes precedence over a
	// report that the target has evicted the prefix or does not hold it. Events
	// arrive late, and one that predates the placement must not override it.
	localPlacementTTL = 2 * time.Second
	// summaryTTL is how long an owner's summary of a target's cache is valid.
	summaryTTL = 10 * time.Second
	// maxSummaryPrefixes bounds the number of prefixes in a summary.
	maxSummaryPrefixes = 32
)

// cacheFeed is the state of an owner's event feed from the cache of one target.
type cacheFeed struct {
	run          string
	nextSequence uint64
	// lastPageAt is when the last page arrived, and behind whether it was full.
	// An owner that is behind knows less about the cache than an ingress that
	// remembers its own placements.
	lastPageAt time.Time
	behind     bool
}

// ownerSummary is the cache summary that an ingress received from the owner of
// a target.
type ownerSummary struct {
	fingerprints map[uint16]bool
	receivedAt   time.Time
}

// fingerprint returns the 16-bit hash that represents a prefix in a summary. In
// a summary of 30 prefixes, two collide about once in 150 summaries, which
// costs one wrong hint.
func fingerprint(prefix uint64) uint16 { return uint16(prefix ^ prefix>>16 ^ prefix>>32 ^ prefix>>48) }

// NextCacheSequence returns the sequence number after which to poll for a
// target's events.
func (t *Table) NextCacheSequence(name ident.Target) uint64 {
	if e := t.targets[name]; e != nil {
		return e.cacheFeed.nextSequence
	}
	return 0
}

// ApplyCachePage applies the response to a poll for the events after
// NextCacheSequence.
//
//   - A restarted target has an empty cache. A restart is detected by a
//     different run or a lower sequence number; all known prefixes are discarded.
//   - Lost events are detected by missing sequence numbers. Each may have been an
//     eviction, most likely of the prefix stored first, so the oldest known prefix
//     is discarded for each.
//   - An eviction older than a local placement must not override it. Events carry
//     no timestamps, so a placement is kept for localPlacementTTL.
func (t *Table) ApplyCachePage(now time.Time, name ident.Target, page CachePage) {
	e := t.targets[name]
	if e == nil {
		return
	}
	feed := &e.cacheFeed
	restarted := feed.run != "" && page.Run != feed.run || page.Next < feed.nextSequence
	feed.run, feed.lastPageAt, feed.behind = page.Run, now, page.More || restarted
	if restarted {
		e.prefixes.clear()
		feed.nextSequence = 0 // the next poll requests all events of the new run
		return
	}
	for _, event := range page.Events {
		if event.Sequence <= feed.nextSequence {
			continue
		}
		if feed.nextSequence > 0 {
			e.prefixes.evictOldest(now, event.Sequence-feed.nextSequence-1)
		}
		feed.nextSequence = event.Sequence
		if event.Stored {
			e.prefixes.add(event.Prefix, now)
		} else {
			e.prefixes.evict(event.Prefix, now)
		}
	}
	feed.nextSequence = max(feed.nextSequence, page.Next)
}

// CacheSummary returns fingerprints of the prefixes that an owned target
// probably holds, most recently used first. It returns none if the target
// publishes no cache events, or more than the owner can keep up with.
func (t *Table) CacheSummary(now time.Time, name ident.Target) []uint16 {
	e := t.targets[name]
	if e == nil || e.cacheFeed.lastPageAt.IsZero() || e.cacheFeed.behind || now.Sub(e.cacheFeed.lastPageAt) > summaryTTL {
		return nil
	}
	prefixes := e.prefixes.mostRecent(maxSummaryPrefixes)
	fingerprints := make([]uint16, len(prefixes))
	for i, p := range prefixes {
		fingerprints[i] = fingerprint(p)
	}
	return fingerprints
}

// ApplyCacheSummary applies a summary from a target's owner. It replaces
// everything known about the target's cache except recent local placements.
func (t *Table) ApplyCacheSummary(now time.Time, name ident.Target, fingerprints []uint16) {
	e := t.targets[name]
	if e == nil {
		return
	}
	e.ownerSummary = ownerSummary{fingerprints: make(map[uint16]bool, len(fingerprints)), receivedAt: now}
	for _, f := range fingerprints {
		e.ownerSummary.fingerprints[f] = true
	}
	e.prefixes.retainLocalPlacements(now)
}

// holdsPrefix reports whether the target probably holds a prefix.
func (e *entry) holdsPrefix(prefix uint64) bool {
	return e.prefixes.has(prefix) || e.ownerSummary.fingerprints[fingerprint(prefix)]
}

// recordPlacement records that this daemon placed a prefix on the target.
func (e *entry) recordPlacement(prefix uint64, now time.Time) {
	e.prefixes.place(prefix, now)
	if now.Sub(e.ownerSummary.receivedAt) > summaryTTL {
		e.ownerSummary = ownerSummary{}
	}
}

// recentPrefixes is a bounded set of the most recently used prefixes.
type recentPrefixes struct {
	capacity int
	uses     map[uint64]prefixUse
}

// prefixUse holds when a prefix was last reported or placed, and when it was
// last placed by this daemon.
type prefixUse struct{ lastSeen, lastPlaced time.Time }

func newRecentPrefixes(capacity int) recentPrefixes {
	return recentPrefixes{capacity: capacity, uses: map[uint64]prefixUse{}}
}

func (s *recentPrefixes) has(prefix uint64) bool {
	_, ok := s.uses[prefix]
	return ok
}

func (s *recentPrefixes) clear() { clear(s.uses) }

func (s *recentPrefixes) add(prefix uint64, now time.Time) {
	s.set(prefix, prefixUse{lastSeen: now, lastPlaced: s.uses[prefix].lastPlaced})
}

func (s *recentPrefixes) place(prefix uint64, now time.Time) {
	s.set(prefix, prefixUse{lastSeen: now, lastPlaced: now})
}

func (s *recentPrefixes) set(prefix uint64, u prefixUse) {
	if len(s.uses) >= s.capacity && !s.has(prefix) {
		s.makeRoom()
	}
	s.uses[prefix] = u
}

// evict removes a prefix unless this daemon placed it recently.
func (s *recentPrefixes) evict(prefix uint64, now time.Time) {
	if now.Sub(s.uses[prefix].lastPlaced) > localPlacementTTL {
		delete(s.uses, prefix)
	}
}

// retainLocalPlacements removes all prefixes except recent local placements.
func (s *recentPrefixes) retainLocalPlacements(now time.Time) {
	for p := range s.uses {
		s.evict(p, now)
	}
}

// evictOldest evicts the oldest prefix for each lost event.
func (s *recentPrefixes) evictOldest(now time.Time, lost uint64) {
	if lost == 0 {
		return
	}
	all := s.mostRecent(len(s.uses))
	for _, p := range all[len(all)-int(min(lost, uint64(len(all)))):] {
		s.evict(p, now)
	}
}

// mostRecent returns up to n prefixes, most recently seen first.
func (s *recentPrefixes) mostRecent(n int) []uint64 {
	all := make([]uint64, 0, len(s.uses))
	for p := range s.uses {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b uint64) int {
		if c := s.uses[b].lastSeen.Compare(s.uses[a].lastSeen); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return all[:min(n, len(all))]
}

// makeRoom removes the prefixes in the oldest eighth of the time range, so that
// the cost of the scan is amortized over many additions.
func (s *recentPrefixes) makeRoom() {
	oldest, newest := s.timeRange()
	cutoff := oldest.Add(newest.Sub(oldest) / 8)
	for p, u := range s.uses {
		if !u.lastSeen.After(cutoff) {
			delete(s.uses, p)
		}
	}
}

func (s *recentPrefixes) timeRange() (oldest, newest time.Time) {
	for _, u := range s.uses {
		if oldest.IsZero() || u.lastSeen.Before(oldest) {
			oldest = u.lastSeen
		}
		if u.lastSeen.After(newest) {
			newest = u.lastSeen
		}
	}
	return oldest, newest
}
