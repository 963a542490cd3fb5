package platform

import (
	"log/slog"
	"strconv"
)

// Revision is a version of the store's rows: a number and the era in which the store
// assigned it. The store increments the era each time it is restored from a backup and
// then reuses numbers, so that a number is meaningless without its era. The zero
// Revision precedes all others.
//
// The fields are unexported, so that numbers are not compared without their eras.
type Revision struct{ era, number uint64 }

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number uint64) Revision { return Revision{era: era, number: number} }

// Era returns the era, for encoding the revision.
func (r Revision) Era() uint64 { return r.era }

// Number returns the number, for encoding the revision.
func (r Revision) Number() uint64 { return r.number }

// Before reports whether a revision was assigned before another one: in an older era,
// or in the same era with a lower number.
func (r Revision) Before(other Revision) bool {
	return r.era < other.era || r.era == other.era && r.number < other.number
}

// OlderEra reports whether a revision is of an older era than another one.
func (r Revision) OlderEra(other Revision) bool { return r.era < other.era }

// SameEra reports whether two revisions are of the same era.
func (r Revision) SameEra(other Revision) bool { return r.era == other.era }

// Compare orders revisions as Before does, for use with slices.SortFunc.
func (r Revision) Compare(other Revision) int {
	switch {
	case r.Before(other):
		return -1
	case other.Before(r):
		return 1
	}
	return 0
}

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the number, prefixed with the era if it is not zero.
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
