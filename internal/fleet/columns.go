package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// stepper turns a column into differences and back.
type stepper struct{ last uint64 }

func (s *stepper) down(v uint64) int64 {
	d := int64(v - s.last)
	s.last = v
	return d
}

func (s *stepper) up(d int64) uint64 {
	s.last += uint64(d)
	return s.last
}

func steps(values []uint64) []int64 {
	out := make([]int64, 0, len(values))
	var step stepper
	for _, v := range values {
		out = append(out, step.down(v))
	}
	return out
}

func values(steps []int64) []uint64 {
	var out []uint64
	var step stepper
	for _, s := range steps {
		out = append(out, step.up(s))
	}
	return out
}

// cached is the column of the marks; none where no grant has any.
func cached(rows []scheduler.Grant) [][]byte {
	if !slices.ContainsFunc(rows, func(g scheduler.Grant) bool { return len(g.CachedPrefixes) > 0 }) {
		return nil
	}
	column := make([][]byte, len(rows))
	for i, g := range rows {
		column[i] = marks(g.CachedPrefixes)
	}
	return column
}

// marks writes the marks of prompt prefixes, two bytes each.
func marks(list []uint16) []byte {
	var out []byte
	for _, m := range list {
		out = binary.BigEndian.AppendUint16(out, m)
	}
	return out
}

// readMarks leaves out a byte that is no whole mark: they are hints.
func readMarks(in []byte) []uint16 {
	var list []uint16
	for ; len(in) >= 2; in = in[2:] {
		list = append(list, binary.BigEndian.Uint16(in))
	}
	return list
}
