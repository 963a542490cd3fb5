package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// CacheEvent is one change in the prefix cache of a target, as the target
// publishes it: late, and with gaps.
type CacheEvent struct {
	// Sequence grows by one with each event of a run of the target.
	Sequence uint64
	Prefix   uint64
	// Stored is false for a prefix that was evicted.
	Stored bool
}

// CachePage is the answer to a poll for the events after a number.
type CachePage struct {
	// Run names the run of the target where it tells one; another run begins
	// with an empty cache.
	Run    string
	Events []CacheEvent
	// Next is the number to ask after in the next poll.
	Next uint64
	// More tells that the page was full: events wait that are as old as those.
	More bool
}

const (
	// ownLife is how long an own placement outlives the word that the target has
	// evicted it, or has not got it. Events are late: an older one must not
	// overrule what was placed since.
	ownLife = 2 * time.Second
	// saidLife is how long an owner's word about a target holds.
	saidLife = 10 * time.Second
	// summaryMost bounds the prefixes in a summary.
	summaryMost = 32
)

// cacheView is what an owner has heard of the cache of one target.
type cacheView struct {
	run  string
	next uint64
	// heard is when the last page came, behind tells that it was full. An owner
	// that is behind knows less of the cache than an ingress that remembers its
	// own placements.
	heard  time.Time
	behind bool
}

// said is what the owner of a target told an ingress of its cache.
type said struct {
	marks map[uint16]bool
	at    time.Time
}

// mark is a prefix in a summary. Two of thirty prefixes are mixed up in one
// summary of a hundred and fifty, which costs one wrong hint.
func mark(prefix uint64) uint16 { return uint16(prefix ^ prefix>>16 ^ prefix>>32 ^ prefix>>48) }

// CacheNext returns the number after which the events of a target are to be
// asked for.
func (t *Table) CacheNext(name ident.Target) uint64 {
	if e := t.targets[name]; e != nil {
		return e.cache.next
	}
	return 0
}

// CachePage takes in the answer to a poll for the events after CacheNext.
//
//   - A target that was started again has an empty cache. It shows in another
//     run or in a lower number; all that was known is forgotten.
//   - Lost events show as missing numbers. Each may have been an eviction, most
//     probably of what was stored first: for each, the oldest prefix known is
//     forgotten.
//   - An eviction that is older than an own placement must not overrule it; the
//     events bear no time, so that a placement holds for ownLife.
func (t *Table) CachePage(now time.Time, name ident.Target, page CachePage) {
	e := t.targets[name]
	if e == nil {
		return
	}
	v := &e.cache
	restarted := v.run != "" && page.Run != v.run || page.Next < v.next
	v.run, v.heard, v.behind = page.Run, now, page.More || restarted
	if restarted {
		e.prefixes.clear()
		v.next = 0 // the next poll asks for all of the new run
		return
	}
	for _, event := range page.Events {
		if event.Sequence <= v.next {
			continue
		}
		if v.next > 0 {
			e.prefixes.doubt(now, event.Sequence-v.next-1)
		}
		v.next = event.Sequence
		if event.Stored {
			e.prefixes.add(event.Prefix, now)
		} else {
			e.prefixes.evicted(event.Prefix, now)
		}
	}
	v.next = max(v.next, page.Next)
}

// CacheSummary returns marks of the prefixes that an owned target is thought to
// hold, those used last first; none where the target tells nothing of its cache, or
// more than the owner keeps up with.
func (t *Table) CacheSummary(now time.Time, name ident.Target) []uint16 {
	e := t.targets[name]
	if e == nil || e.cache.heard.IsZero() || e.cache.behind || now.Sub(e.cache.heard) > saidLife {
		return nil
	}
	prefixes := e.prefixes.newest(summaryMost)
	marks := make([]uint16, len(prefixes))
	for i, p := range prefixes {
		marks[i] = mark(p)
	}
	return marks
}

// CacheSaid takes in the summary of a target's owner. It stands in place of all
// that was known but for the latest own placements.
func (t *Table) CacheSaid(now time.Time, name ident.Target, marks []uint16) {
	e := t.targets[name]
	if e == nil {
		return
	}
	e.said = said{marks: make(map[uint16]bool, len(marks)), at: now}
	for _, m := range marks {
		e.said.marks[m] = true
	}
	e.prefixes.keepOwn(now)
}

// holds tells whether the target is thought to hold a prefix.
func (e *entry) holds(prefix uint64) bool {
	return e.prefixes.has(prefix) || e.said.marks[mark(prefix)]
}

// placed remembers an own placement.
func (e *entry) placed(prefix uint64, now time.Time) {
	e.prefixes.place(prefix, now)
	if now.Sub(e.said.at) > saidLife {
		e.said = said{}
	}
}

// prefixSet remembers the prefixes that were used last.
type prefixSet struct {
	most int
	used map[uint64]use
}

// use tells when a prefix was last heard of, and when it was placed from here.
type use struct{ at, own time.Time }

func newPrefixSet(most int) prefixSet {
	return prefixSet{most: most, used: map[uint64]use{}}
}

func (s *prefixSet) has(prefix uint64) bool {
	_, ok := s.used[prefix]
	return ok
}

func (s *prefixSet) clear() { clear(s.used) }

func (s *prefixSet) add(prefix uint64, now time.Time) {
	s.set(prefix, use{at: now, own: s.used[prefix].own})
}

func (s *prefixSet) place(prefix uint64, now time.Time) { s.set(prefix, use{at: now, own: now}) }

func (s *prefixSet) set(prefix uint64, u use) {
	if len(s.used) >= s.most && !s.has(prefix) {
		s.dropOldest()
	}
	s.used[prefix] = u
}

// evicted forgets a prefix unless it was placed from here of late.
func (s *prefixSet) evicted(prefix uint64, now time.Time) {
	if now.Sub(s.used[prefix].own) > ownLife {
		delete(s.used, prefix)
	}
}

// keepOwn forgets all but the own placements of late.
func (s *prefixSet) keepOwn(now time.Time) {
	for p := range s.used {
		s.evicted(p, now)
	}
}

// doubt forgets the oldest prefix for each lost event.
func (s *prefixSet) doubt(now time.Time, lost uint64) {
	if lost == 0 {
		return
	}
	all := s.newest(len(s.used))
	for _, p := range all[len(all)-int(min(lost, uint64(len(all)))):] {
		s.evicted(p, now)
	}
}

// newest returns at most so many prefixes, those heard of last first.
func (s *prefixSet) newest(most int) []uint64 {
	all := make([]uint64, 0, len(s.used))
	for p := range s.used {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b uint64) int {
		if c := s.used[b].at.Compare(s.used[a].at); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return all[:min(most, len(all))]
}

// dropOldest makes room by an eighth, so that its scan is paid for by many
// additions.
func (s *prefixSet) dropOldest() {
	oldest, newest := s.span()
	cutoff := oldest.Add(newest.Sub(oldest) / 8)
	for p, u := range s.used {
		if !u.at.After(cutoff) {
			delete(s.used, p)
		}
	}
}

func (s *prefixSet) span() (oldest, newest time.Time) {
	for _, u := range s.used {
		if oldest.IsZero() || u.at.Before(oldest) {
			oldest = u.at
		}
		if u.at.After(newest) {
			newest = u.at
		}
	}
	return oldest, newest
}
