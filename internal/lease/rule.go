// Package lease ensures that at most one daemon at a time may send orders to a
// target.
//
// The failure it prevents: a lease holder is paused, its lease expires, another
// daemon sends the target new orders, and the first daemon resumes and sends
// the order it had prepared. Without the package the old order wins, and the
// target serves outdated models.
//
// A lease is one row of the platform's table, written by compare-and-set. Its
// revision is the fencing token of the orders. The clocks of two VMs are never
// compared:
//
//   - The holder counts the term from before it sent the write, by its own
//     monotonic clock, and checks that clock immediately before each order.
//   - Another daemon counts the term from after it read the row, by its own
//     monotonic clock, and starts again whenever the row has another revision.
//   - For a target that ignores fencing tokens it also waits, before it takes the
//     lease, until the holder's longest order must have arrived.
//   - A daemon whose document is older than the one named in the row does not take
//     the lease, so that a daemon that missed a change cannot revert it.
//
// A lease is held only while there are orders to send, and released afterwards;
// nothing is written while the targets are in the desired state.
//
// A pause between the check of the clock and the first byte of an order cannot
// be ruled out. Targets that enforce fencing refuse an order sent after such a
// pause; for other targets the state must be read back and repaired, which
// package order does.
package lease

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// Record is the value of a lease's row.
type Record struct {
	Holder      ident.Daemon `json:"holder"`
	Incarnation uint64       `json:"incarnation"`
	// Term is how long the holder may send orders after it wrote the row.
	Term time.Duration `json:"term"`
	// LongestOrder bounds how long an order of the holder may be in flight.
	LongestOrder time.Duration `json:"longest_order"`
	// Document is the revision of the document that the holder enforces.
	Document uint64 `json:"document"`
	// Released reports that the holder sends no more orders.
	Released bool `json:"released,omitempty"`
	// Unsettled reports that an order of the holder may still be in flight
	// although the lease is released.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Row is the row of a lease as it was read; Revision zero means that there is
// none.
type Row struct {
	Record
	Revision uint64
}

func decode(row platform.Row) (Row, error) {
	r := Row{Revision: row.Revision}
	if row.Revision == 0 {
		return r, nil
	}
	err := json.Unmarshal(row.Value, &r.Record)
	return r, merry.Prependf(err, "lease row %s", row.Key)
}

func (r Record) encode() []byte {
	// Marshal cannot fail on a struct of strings, numbers and booleans.
	text, _ := json.Marshal(r)
	return text
}

// driftDivisor determines the extra time that a waiting daemon adds to a term:
// one driftDivisor-th of the term. The rates of two clocks may differ by that
// much.
const driftDivisor = 8

func withDriftMargin(d time.Duration) time.Duration { return d + d/driftDivisor }

// Claim describes a daemon's attempt to acquire a lease.
type Claim struct {
	Holder      ident.Daemon
	Incarnation uint64
	// Fenced reports that the target refuses orders with an old fencing token.
	Fenced       bool
	LongestOrder time.Duration
	// Document is the revision of the document to enforce.
	Document uint64
}

// State is one daemon's view of one lease. It is a state machine that reads no
// clock and does no I/O; every time must carry a monotonic reading.
type State struct {
	row       Row
	firstSeen time.Time // when this revision of the row was first read
	// held reports that the row is this daemon's; validUntil is when its
	// permission to send orders ends.
	held       bool
	validUntil time.Time
	fenced     bool
	// settledAt is when the last order must have arrived.
	settledAt time.Time
}

// Observe records a row that was read; now must be taken after the read.
func (s *State) Observe(row Row, now time.Time) {
	if row.Revision == s.row.Revision && !s.firstSeen.IsZero() {
		return
	}
	s.row, s.firstSeen = row, now
	s.held = false
}

// Verdict states whether a lease can be acquired.
type Verdict uint8

// Verdicts about a lease.
const (
	// Available means that the row can be written at the observed revision.
	Available Verdict = iota
	// Unavailable means that another daemon may hold the lease, or that an own
	// order may still be in flight.
	Unavailable
	// StaleDocument means that the lease was taken for a newer document than
	// the claim's.
	StaleDocument
)

// Evaluate returns whether the claim may be written and, for Unavailable, the
// earliest time at which it may be: after the term of another holder, or after
// an own order without an answer must have arrived.
func (s *State) Evaluate(c Claim, now time.Time) (Verdict, time.Time) {
	if s.row.Document > c.Document {
		return StaleDocument, time.Time{}
	}
	if end := s.availableAt(c); now.Before(end) {
		return Unavailable, end
	}
	if !c.Fenced && now.Before(s.settledAt) {
		return Unavailable, s.settledAt
	}
	return Available, time.Time{}
}

// availableAt returns when the row can be taken, as far as is known.
//
// For a target that ignores fencing tokens it guards against the last order of
// the previous holder arriving after the first order of its successor, which
// would leave the target in the older state. The previous holder sent that
// order before its term ended, and the order is in flight for at most
// LongestOrder.
func (s *State) availableAt(c Claim) time.Time {
	if s.row.Revision == 0 || s.ownedBy(c) {
		return time.Time{}
	}
	var wait time.Duration
	if !s.row.Released {
		wait = s.row.Term
	}
	if !c.Fenced && (!s.row.Released || s.row.Unsettled) {
		wait += s.row.LongestOrder
	}
	return s.firstSeen.Add(withDriftMargin(wait))
}

func (s *State) ownedBy(c Claim) bool {
	return s.row.Holder == c.Holder && s.row.Incarnation == c.Incarnation
}

// record returns the value of the row that the claim writes.
func (c Claim) record(term time.Duration) Record {
	return Record{
		Holder: c.Holder, Incarnation: c.Incarnation, Term: term,
		LongestOrder: c.LongestOrder, Document: c.Document,
	}
}

// Committed records that the row was written with the revision; sent must be
// taken before the write was sent. The term counts from there, because the
// write may have taken effect at once and its response may be late.
func (s *State) Committed(c Claim, r Record, revision uint64, sent time.Time) {
	s.row = Row{Record: r, Revision: revision}
	s.firstSeen, s.validUntil = sent, sent.Add(r.Term)
	s.held, s.fenced = !r.Released, c.Fenced
}

// Valid reports whether an order may be sent now. It must be called with the
// time of the monotonic clock immediately before each order.
//
// For a target that ignores fencing tokens it returns false while an earlier
// order of this holder is unanswered, because that order could arrive after the
// next one.
func (s *State) Valid(now time.Time) bool {
	if !s.fenced && now.Before(s.settledAt) {
		return false
	}
	return s.held && now.Before(s.validUntil)
}

// FencingToken returns the fencing token for the orders of this holder.
func (s *State) FencingToken() uint64 { return s.row.Revision }

// OrderSent records that an order is being sent and may be in flight for at
// most longest.
func (s *State) OrderSent(now time.Time, longest time.Duration) {
	s.settledAt = now.Add(withDriftMargin(longest))
}

// OrdersAnswered records that the target has answered every order.
func (s *State) OrdersAnswered() { s.settledAt = time.Time{} }

// Release returns the value of the row that releases the lease, and makes Valid
// return false from now on.
func (s *State) Release(now time.Time) Record {
	r := s.row.Record
	r.Released = true
	r.Unsettled = now.Before(s.settledAt)
	s.held = false
	return r
}
