package poison

import (
	"slices"

	"github.com/savorystall/savorystall/internal/ident"
)

// Hold is what is held back: a request, or all requests that have certain parts.
type Hold struct {
	// Subject is the request, or the part with the lowest ID.
	Subject
	// Beside are the other parts that a request must have to be held back.
	Beside PartSet
	// Ended are the processes that ended while they ran it.
	Ended []Process
}

// NewPartsHold returns the hold of requests that have all the given parts, of which there is one at
// least.
func NewPartsHold(workspace ident.Workspace, route string, service ident.Service, parts PartSet, ended []Process) Hold {
	first := NewPartSubject(workspace, route, Part{service, parts[0]})
	return Hold{Subject: first, Beside: parts[1:], Ended: ended}
}

// Targets returns the identities of the processes that ended.
func (h *Hold) Targets() []ident.Target {
	out := make([]ident.Target, len(h.Ended))
	for i, p := range h.Ended {
		out[i] = p.Target
	}
	return out
}

// Key identifies what is held: the fingerprint of the request or part, or of several parts together.
func (h *Hold) Key() Fingerprint {
	if len(h.Beside) == 0 {
		return h.Fingerprint
	}
	return partsFingerprint(h.Workspace, h.Part.Service, h.Parts())
}

// Parts returns the parts that a request must have to be held back; nil if the hold is of one request.
func (h *Hold) Parts() PartSet {
	if !h.IsPart() {
		return nil
	}
	return append(PartSet{h.Part.ID}, h.Beside...)
}

// members returns what is held by itself or together.
func (h *Hold) members() []Subject {
	out := []Subject{h.Subject}
	for _, id := range h.Beside {
		out = append(out, NewPartSubject(h.Workspace, h.Route, Part{h.Part.Service, id}))
	}
	return out
}

// has reports whether a subject is held by itself or together with others.
func (h *Hold) has(f Fingerprint) bool {
	if len(h.Beside) == 0 {
		return h.Fingerprint == f
	}
	return slices.ContainsFunc(h.members(), func(s Subject) bool { return s.Fingerprint == f })
}

// without returns the hold of the other parts; ok is false if there are none, or if f is none of
// the parts.
func (h *Hold) without(f Fingerprint) (rest Hold, ok bool) {
	members := h.members()
	i := slices.IndexFunc(members, func(s Subject) bool { return s.Fingerprint == f })
	if i < 0 || len(members) == 1 {
		return Hold{}, false
	}
	return NewPartsHold(h.Workspace, h.Route, h.Part.Service, h.Parts().without(members[i].Part.ID), h.Ended), true
}

// matches reports whether a crash is one of a request that is held.
func (h *Hold) matches(c *Crash) bool {
	if h.IsPart() != c.IsPart() {
		return false
	}
	if !h.IsPart() {
		return h.Fingerprint == c.Fingerprint
	}
	return h.appliesTo(c.Workspace, c.Part.Service, c.Beside.with(c.Part.ID))
}

// appliesTo reports whether a request with these parts is held back.
func (h *Hold) appliesTo(workspace ident.Workspace, service ident.Service, parts PartSet) bool {
	return h.IsPart() && h.Workspace == workspace && h.Part.Service == service && parts.containsAll(h.Parts())
}

// covers reports whether all requests that the other hold is for are held by this one, too.
func (h *Hold) covers(other *Hold) bool {
	return other.IsPart() && h.appliesTo(other.Workspace, other.Part.Service, other.Parts())
}
