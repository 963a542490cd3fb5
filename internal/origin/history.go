package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// View is what new streams can begin at: the services of each route that is answered by streams,
// and the versions of each service's registered targets, those that drain included.
type View struct {
	Routes   map[string][]ident.Service
	Versions map[ident.Service][]ident.Version
	// Lifetime is how long after the beginning of a request its caller may take its stream up
	// again at the latest.
	Lifetime time.Duration
}

// History knows at which origins the streams of a route can have begun, as far as their callers
// may still take them up again.
type History struct {
	// completeSince is from when on nothing can have been in use unseen; recalledAt is when the
	// fleet's own record of that was last read, zero if never.
	completeSince, recalledAt time.Time
	// recalled holds the services of which it is known what was in use before completeSince.
	// nothingBefore reports that no daemon ran before.
	recalled      map[ident.Service]bool
	nothingBefore bool
	lifetime      time.Duration
	// routes and versions hold when each was last in use; zero means now.
	routes   map[string]map[ident.Service]time.Time
	versions map[ident.Service]map[ident.Version]time.Time
}

// NewHistory returns the history of a daemon that starts now. NothingBefore reports that no daemon
// of the fleet has run before.
func NewHistory(now time.Time, nothingBefore bool) *History {
	return &History{completeSince: now, nothingBefore: nothingBefore, recalled: map[ident.Service]bool{}, routes: map[string]map[ident.Service]time.Time{}, versions: map[ident.Service]map[ident.Version]time.Time{}}
}

// Observe replaces the view. The lifetime never decreases: streams that began under a longer one
// may still be taken up.
func (h *History) Observe(now time.Time, v View) {
	h.lifetime = max(h.lifetime, v.Lifetime)
	replaceUsed(now, h.routes, v.Routes)
	replaceUsed(now, h.versions, v.Versions)
	h.prune(now)
}

// replaceUsed records which values of each key are in use from now on.
func replaceUsed[K, V comparable](now time.Time, table map[K]map[V]time.Time, used map[K][]V) {
	for _, values := range table {
		for v, usedAt := range values {
			if usedAt.IsZero() {
				values[v] = now
			}
		}
	}
	for key, values := range used {
		mark(table, key, values, time.Time{})
	}
}

func mark[K, V comparable](table map[K]map[V]time.Time, key K, values []V, usedAt time.Time) {
	if table[key] == nil {
		table[key] = map[V]time.Time{}
	}
	for _, v := range values {
		table[key][v] = usedAt
	}
}

// prune drops what was in use so long ago that no stream that began then can be taken up.
func (h *History) prune(now time.Time) {
	since := now.Add(-h.lifetime)
	prune(h.routes, since)
	prune(h.versions, since)
}

func prune[K, V comparable](table map[K]map[V]time.Time, since time.Time) {
	for key, values := range table {
		maps.DeleteFunc(values, func(_ V, usedAt time.Time) bool { return !usedSince(usedAt, since) })
		if len(values) == 0 {
			delete(table, key)
		}
	}
}

func usedSince(usedAt, since time.Time) bool { return usedAt.IsZero() || !usedAt.Before(since) }

// recallValidity is how long after a recall an interruption is covered by it: tables that are
// read anew after the same interruption are not read at the same moment.
const recallValidity = 5 * time.Second

// Recall adds the versions that the fleet has had in use, as read from the store. The history of
// these services is complete with them. Of others nothing is known: a fleet that has just started
// may not have written what it used.
func (h *History) Recall(now time.Time, past map[ident.Service][]ident.Version) {
	for service, versions := range past {
		h.recalled[service] = true
		for _, v := range versions {
			if _, known := h.versions[service][v]; !known {
				mark(h.versions, service, []ident.Version{v}, now)
			}
		}
	}
	h.recalledAt = now
}

// Interrupt records that versions may have come and gone unseen.
func (h *History) Interrupt(now time.Time) {
	if h.recalledAt.IsZero() || now.Sub(h.recalledAt) > recallValidity {
		h.completeSince, h.nothingBefore = now, false
		clear(h.recalled)
	}
}

// Versions returns, in order, the versions of each service at which streams may have begun that
// can still be taken up.
func (h *History) Versions(now time.Time) map[ident.Service][]ident.Version {
	h.prune(now)
	out := make(map[ident.Service][]ident.Version, len(h.versions))
	for service, versions := range h.versions {
		out[service] = slices.Sorted(maps.Keys(versions))
	}
	return out
}

// Of returns what is known about the origins of a route's streams: Sole with that origin,
// Several, or Unsure.
func (h *History) Of(now time.Time, route string) (Status, Origin) {
	since := now.Add(-h.lifetime)
	var sole Origin
	n, complete := 0, h.nothingBefore || now.Sub(h.completeSince) >= h.lifetime
	recalled := true
	for service, usedAt := range h.routes[route] {
		if !usedSince(usedAt, since) {
			continue
		}
		recalled = recalled && h.recalled[service]
		for version, seenAt := range h.versions[service] {
			if usedSince(seenAt, since) {
				sole = Origin{service, version}
				n++
			}
		}
	}
	switch {
	case n > 1:
		return Several, Origin{}
	case n == 0 || sole.Version == "" || !complete && !recalled:
		return Unsure, Origin{}
	}
	return Sole, sole
}
