package platform

import (
	"log/slog"
	"strconv"
)

// Revision is a version of the store's rows, with the era in which the store gave it
// out. The store counts an era up each time it comes back from a copy, and then gives
// version numbers out again, so that a number says nothing without its era. The zero
// Revision is before all others.
//
// The fields are closed, so that no two numbers are compared without their eras.
type Revision struct{ era, number uint64 }

// NewRevision returns the revision of a number in an era.
func NewRevision(era, number uint64) Revision { return Revision{era: era, number: number} }

// Era returns the era, for passing the revision on.
func (r Revision) Era() uint64 { return r.era }

// Number returns the number, for passing the revision on.
func (r Revision) Number() uint64 { return r.number }

// Before tells that a revision was given out before another one: in an older era, or
// in the same with a lower number.
func (r Revision) Before(other Revision) bool {
	return r.era < other.era || r.era == other.era && r.number < other.number
}

// OlderEra tells that a revision is of an older era than another one.
func (r Revision) OlderEra(other Revision) bool { return r.era < other.era }

// SameEra tells whether two revisions are of one era.
func (r Revision) SameEra(other Revision) bool { return r.era == other.era }

// Compare orders revisions by Before, as slices.SortFunc needs it.
func (r Revision) Compare(other Revision) int {
	switch {
	case r.Before(other):
		return -1
	case other.Before(r):
		return 1
	}
	return 0
}

// Later returns the later one of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the number, after the era where the store has come back from a copy.
func (r Revision) String() string {
	number := strconv.FormatUint(r.number, 10)
	if r.era == 0 {
		return number
	}
	return strconv.FormatUint(r.era, 10) + ":" + number
}

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value {
	if r.era == 0 {
		return slog.Uint64Value(r.number)
	}
	return slog.StringValue(r.String())
}
