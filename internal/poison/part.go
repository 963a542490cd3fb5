package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Part is a part of prompts for a service. Callers choose the IDs.
type Part struct {
	Service ident.Service
	ID      uint64
}

// NewPartSubject returns a part of the prompts of a workspace. Its workspace belongs to its
// fingerprint: no workspace can have requests of another one held back by naming their parts.
func NewPartSubject(workspace ident.Workspace, route string, part Part) Subject {
	return Subject{
		Fingerprint: partsFingerprint(workspace, part.Service, PartSet{part.ID}), Filter: NewPartFilter(workspace, part),
		Workspace: workspace, Route: route, Part: part,
	}
}

// NewPartFilter returns the filter of a part.
func NewPartFilter(workspace ident.Workspace, part Part) Filter {
	var d xxhash.Digest
	d.Reset()
	// A hash never returns an error. The zero byte separates the fields.
	_, _ = d.WriteString(string(workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(part.Service))
	var id [9]byte
	binary.BigEndian.PutUint64(id[1:], part.ID)
	_, _ = d.Write(id[:])
	return Filter(d.Sum64())
}

// partsFingerprint identifies parts that are together in a prompt. The first field tells it from the
// fingerprint of a request, which begins with the length of a name.
func partsFingerprint(workspace ident.Workspace, service ident.Service, parts PartSet) Fingerprint {
	b := binary.BigEndian.AppendUint64(nil, math.MaxUint64)
	for _, name := range []string{string(workspace), string(service)} {
		b = binary.BigEndian.AppendUint64(b, uint64(len(name)))
		b = append(b, name...)
	}
	for _, id := range parts {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	sum := sha256.Sum256(b)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// PartSet holds IDs of parts of the same workspace and service, in ascending order and each once.
type PartSet []uint64

// NewPartSet returns the set of the given IDs.
func NewPartSet(ids ...uint64) PartSet {
	if len(ids) == 0 {
		return nil
	}
	out := slices.Clone(ids)
	slices.Sort(out)
	return slices.Compact(out)
}

func (p PartSet) contains(id uint64) bool {
	_, found := slices.BinarySearch(p, id)
	return found
}

// containsAll reports whether all of other are in the set.
func (p PartSet) containsAll(other PartSet) bool {
	return !slices.ContainsFunc(other, func(id uint64) bool { return !p.contains(id) })
}

func (p PartSet) with(id uint64) PartSet { return NewPartSet(append(slices.Clone(p), id)...) }

func (p PartSet) without(id uint64) PartSet {
	return slices.DeleteFunc(slices.Clone(p), func(other uint64) bool { return other == id })
}

func (p PartSet) intersect(other PartSet) PartSet {
	return slices.DeleteFunc(slices.Clone(p), func(id uint64) bool { return !other.contains(id) })
}
