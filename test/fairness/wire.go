package main

import (
	"math"
	"math/bits"

	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	// messageOverhead is the size of a frame without its rows: the headers of gRPC,
	// HTTP/2, a TLS record, and TCP over IPv4.
	messageOverhead = 5 + 9 + 22 + 40
	// columnBytes is the size of the tag and the length of one column of a table.
	columnBytes = 2
	// indexBytes is the size of the table index of a name or a pair of names. The
	// names themselves are sent only once per link.
	indexBytes = 1
)

// messageBytes estimates the size of a message on the wire. Rows are encoded in
// columns, names as table indexes, numbers as varints, and a grant ID as the
// difference from the previous one.
func messageBytes(m scheduler.Message) int {
	n := messageOverhead
	n += tableBytes(4, len(m.Demand))
	for _, d := range m.Demand {
		n += indexBytes + varintBytes(uint64(d.Waiting)) + varintBytes(uint64(d.Urgent)) + idDeltaBytes
	}
	n += tableBytes(4, len(m.Grants)) + len(m.Grants)*(idDeltaBytes+2*indexBytes+1)
	n += tableBytes(5, len(m.Releases))
	for _, r := range m.Releases {
		n += idDeltaBytes + 1 + servedBytes(r.Result.Served) +
			varintBytes(uint64(r.Result.Elapsed.Microseconds()/100)) + varintBytes(uint64(r.Result.FirstByte.Microseconds()/100))
	}
	n += tableBytes(2, len(m.ServedTotals))
	for _, p := range m.ServedTotals {
		n += indexBytes + servedBytes(p.Served)
	}
	n += tableBytes(2, len(m.Aggregates))
	for _, p := range m.Aggregates {
		n += indexBytes + servedBytes(p.Served)
	}
	n += tableBytes(2, len(m.HealthUpdates)) + len(m.HealthUpdates)*2*indexBytes
	if m.HeldGrantsValid {
		n += tableBytes(1, 1) + len(m.HeldGrants)*idDeltaBytes
	}
	return n + tableBytes(1, len(m.PreemptGrants)) + len(m.PreemptGrants)*idDeltaBytes
}

// idDeltaBytes is the typical size of the difference between two grant IDs.
const idDeltaBytes = 2

// tableBytes returns the size of the tags and lengths of a table, which is zero if
// the table has no rows.
func tableBytes(columns, rowCount int) int {
	if rowCount == 0 {
		return 0
	}
	return columnBytes * (1 + columns)
}

// servedBytes returns the size of a cost, which is encoded as a signed varint in
// sixteenths of a unit.
func servedBytes(cost float64) int { return varintBytes(uint64(math.Abs(cost) * 32)) }

func varintBytes(x uint64) int { return max(1, (bits.Len64(x)+6)/7) }
