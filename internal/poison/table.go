package poison

import "github.com/savorystall/savorystall/internal/ident"

// Table is an immutable snapshot of what requests are compared with. A nil Table is empty.
type Table struct {
	// filters are those of the requests and parts that are held or watched.
	filters map[Filter]bool
	held    map[Fingerprint]Hold
	// heldParts are the holds of parts by the filter of their first part.
	heldParts map[Filter][]Hold
	watched   map[Fingerprint]bool
}

func newTable() *Table {
	return &Table{filters: map[Filter]bool{}, held: map[Fingerprint]Hold{}, heldParts: map[Filter][]Hold{}, watched: map[Fingerprint]bool{}}
}

func (t *Table) addHold(h Hold) {
	t.held[h.Key()] = h
	if h.IsPart() {
		t.heldParts[h.Filter] = append(t.heldParts[h.Filter], h)
	}
	for _, s := range h.members() {
		t.addWatched(s)
	}
}

func (t *Table) addWatched(s Subject) { t.watched[s.Fingerprint], t.filters[s.Filter] = true, true }

// Empty reports whether there is nothing to compare requests with.
func (t *Table) Empty() bool { return t == nil || len(t.filters) == 0 }

// Contains reports whether a request or part with this filter may be held or watched.
func (t *Table) Contains(f Filter) bool { return t != nil && t.filters[f] }

// Held returns the hold of a request.
func (t *Table) Held(f Fingerprint) (Hold, bool) {
	if t == nil {
		return Hold{}, false
	}
	h, ok := t.held[f]
	return h, ok
}

// HoldsParts reports whether requests are held back for parts that they have.
func (t *Table) HoldsParts() bool { return t != nil && len(t.heldParts) > 0 }

// HeldParts returns the hold that applies to a request with these parts in its prompt.
func (t *Table) HeldParts(workspace ident.Workspace, service ident.Service, parts PartSet) (Hold, bool) {
	if !t.HoldsParts() {
		return Hold{}, false
	}
	for _, id := range parts {
		for _, h := range t.heldParts[NewPartFilter(workspace, Part{service, id})] {
			if h.appliesTo(workspace, service, parts) {
				return h, true
			}
		}
	}
	return Hold{}, false
}

// Watched reports whether the end of a request, or of one with a part, is to be reported. That
// includes held ones: they may have been in progress.
func (t *Table) Watched(f Fingerprint) bool { return t != nil && t.watched[f] }

// Holds returns what is held in no order.
func (t *Table) Holds() []Hold {
	var out []Hold
	if t != nil {
		for _, h := range t.held {
			out = append(out, h)
		}
	}
	return out
}
