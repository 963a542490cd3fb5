package main

import (
	"math"
	"math/bits"

	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	// messageOverhead is what one frame costs besides its rows: the headers of
	// gRPC, HTTP/2, a TLS record and TCP over IPv4.
	messageOverhead = 5 + 9 + 22 + 40
	// column is the tag and the length of one column of rows.
	column = 2
	// index is a name or a pair of names, which a link sends once.
	index = 1
)

// messageBytes is the size of a message on the wire: rows in columns, names as
// indexes, numbers as varints, and a grant id as the difference from the last.
func messageBytes(m scheduler.Message) int {
	n := messageOverhead
	n += rows(4, len(m.Demand))
	for _, d := range m.Demand {
		n += index + varint(uint64(d.Waiting)) + varint(uint64(d.Urgent)) + idStep
	}
	n += rows(4, len(m.Grants)) + len(m.Grants)*(idStep+2*index+1)
	n += rows(5, len(m.Releases))
	for _, r := range m.Releases {
		n += idStep + 1 + servedBytes(r.Result.Served) +
			varint(uint64(r.Result.Elapsed.Microseconds()/100)) + varint(uint64(r.Result.FirstByte.Microseconds()/100))
	}
	n += rows(2, len(m.ServedTotals))
	for _, p := range m.ServedTotals {
		n += index + servedBytes(p.Served)
	}
	n += rows(2, len(m.Aggregates))
	for _, p := range m.Aggregates {
		n += index + servedBytes(p.Served)
	}
	n += rows(2, len(m.HealthUpdates)) + len(m.HealthUpdates)*2*index
	if m.HeldGrantsValid {
		n += rows(1, 1) + len(m.HeldGrants)*idStep
	}
	return n + rows(1, len(m.PreemptGrants)) + len(m.PreemptGrants)*idStep
}

// idStep is the usual size of the difference between two grant ids.
const idStep = 2

// rows is the size of the tags of a table with rows.
func rows(columns, n int) int {
	if n == 0 {
		return 0
	}
	return column * (1 + columns)
}

// servedBytes is the size of a cost in sixteenths of a unit.
func servedBytes(cost float64) int { return varint(uint64(math.Abs(cost) * 32)) }

func varint(x uint64) int { return max(1, (bits.Len64(x)+6)/7) }
