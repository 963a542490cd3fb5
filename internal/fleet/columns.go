package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// deltaCoder delta-encodes a column and decodes it.
type deltaCoder struct{ previous uint64 }

func (c *deltaCoder) encode(v uint64) int64 {
	d := int64(v - c.previous)
	c.previous = v
	return d
}

func (c *deltaCoder) decode(d int64) uint64 {
	c.previous += uint64(d)
	return c.previous
}

func encodeDeltas(column []uint64) []int64 {
	out := make([]int64, 0, len(column))
	var delta deltaCoder
	for _, v := range column {
		out = append(out, delta.encode(v))
	}
	return out
}

func decodeDeltas(deltas []int64) []uint64 {
	var out []uint64
	var delta deltaCoder
	for _, d := range deltas {
		out = append(out, delta.decode(d))
	}
	return out
}

// cachedPrefixColumn returns the fingerprints of the cached prefixes of each
// grant, or nil if no grant has any.
func cachedPrefixColumn(rows []scheduler.Grant) [][]byte {
	if !slices.ContainsFunc(rows, func(g scheduler.Grant) bool { return len(g.CachedPrefixes) > 0 }) {
		return nil
	}
	column := make([][]byte, len(rows))
	for i, g := range rows {
		column[i] = encodeFingerprints(g.CachedPrefixes)
	}
	return column
}

// encodeFingerprints encodes fingerprints of prompt prefixes as two bytes each.
func encodeFingerprints(fingerprints []uint16) []byte {
	var out []byte
	for _, fingerprint := range fingerprints {
		out = binary.BigEndian.AppendUint16(out, fingerprint)
	}
	return out
}

// decodeFingerprints ignores an incomplete fingerprint at the end: fingerprints
// are only hints.
func decodeFingerprints(in []byte) []uint16 {
	var fingerprints []uint16
	for ; len(in) >= 2; in = in[2:] {
		fingerprints = append(fingerprints, binary.BigEndian.Uint16(in))
	}
	return fingerprints
}
