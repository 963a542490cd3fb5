// Package lease gives one daemon at a time the right to give orders to one
// target.
//
// The failure it answers: a holder is stopped for a while, its lease lapses,
// another daemon gives the target new orders, and the first goes on and sends
// what it had in hand. Without the package the old order wins and the target
// serves the models of yesterday.
//
// A lease is one row of the platform's table, written by compare-and-set. Its
// revision is the fencing number of the orders. The clocks of two VMs are never
// compared:
//
//   - The holder counts the term from before it sent the write, by its own
//     monotonic clock, and asks that clock right before each order.
//   - Another daemon counts the term from after it read the row, by its own
//     monotonic clock, and starts anew whenever the row has another revision.
//   - For a target that ignores fencing numbers it also waits, before it takes
//     the lease, until the longest order of the holder must have arrived.
//   - A daemon whose document is older than the one that the row names does not
//     take the lease, so that a daemon that has missed a change cannot undo it.
//
// A lease is held only while there is something to order, and given up
// afterwards; nothing is written while targets are as they should be.
//
// A pause between the question to the clock and the first byte cannot be
// excluded. Targets that enforce fencing refuse what is sent after it; for the
// others the state has to be read back and repaired, which is package order's.
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
	// Term is how long the holder may give orders after it wrote the row.
	Term time.Duration `json:"term"`
	// LongestOrder bounds how long an order of the holder is on its way.
	LongestOrder time.Duration `json:"longest_order"`
	// Document is the revision of the document that the holder enforces.
	Document uint64 `json:"document"`
	// Released tells that the holder gives no more orders.
	Released bool `json:"released,omitempty"`
	// Unsettled tells that an order of the holder may still be on its way
	// although the lease is released.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Row is a lease's row as it was read; Revision zero means that there is none.
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

// driftShare is the part of a term, as a divisor, by which a waiting daemon
// waits longer, so that two clocks may run at rates that differ by so much.
const driftShare = 8

func withDrift(d time.Duration) time.Duration { return d + d/driftShare }

// Claim is what a daemon wants a lease for.
type Claim struct {
	Holder      ident.Daemon
	Incarnation uint64
	// Fenced tells that the target refuses orders with an old fencing number.
	Fenced       bool
	LongestOrder time.Duration
	// Document is the revision of the document to be enforced.
	Document uint64
}

// State is what one daemon knows of one lease. It is a state machine without
// clock and network; every time must carry a monotonic reading.
type State struct {
	row  Row
	seen time.Time // when the row's revision was first read
	// held tells that the row is this daemon's, and until bounds its orders.
	held   bool
	until  time.Time
	fenced bool
	// settled is when the last order must have arrived.
	settled time.Time
}

// Observe notes a row that was read; now was taken after the read.
func (s *State) Observe(row Row, now time.Time) {
	if row.Revision == s.row.Revision && !s.seen.IsZero() {
		return
	}
	s.row, s.seen = row, now
	s.held = false
}

// Verdict says whether a lease can be taken.
type Verdict uint8

// Verdicts about a lease.
const (
	// Take: write the row at the revision that was observed.
	Take Verdict = iota
	// Wait: another daemon may hold it.
	Wait
	// Behind: the lease was taken for a later document than the claim's.
	Behind
)

// Judge says whether the claim may be written, and for Wait until when at least
// to wait: for another holder, or for an own order without answer.
func (s *State) Judge(c Claim, now time.Time) (Verdict, time.Time) {
	if s.row.Document > c.Document {
		return Behind, time.Time{}
	}
	if end := s.free(c); now.Before(end) {
		return Wait, end
	}
	if !c.Fenced && now.Before(s.settled) {
		return Wait, s.settled
	}
	return Take, time.Time{}
}

// free returns when the row can be taken, as far as it is known.
//
// For a target that ignores fencing numbers it guards against the last order of
// the predecessor, which may arrive after the first of its successor, so that
// the target ends with the older one. The predecessor sent it before its term
// ended, and it is on its way for at most LongestOrder.
func (s *State) free(c Claim) time.Time {
	if s.row.Revision == 0 || s.mine(c) {
		return time.Time{}
	}
	var wait time.Duration
	if !s.row.Released {
		wait = s.row.Term
	}
	if !c.Fenced && (!s.row.Released || s.row.Unsettled) {
		wait += s.row.LongestOrder
	}
	return s.seen.Add(withDrift(wait))
}

func (s *State) mine(c Claim) bool {
	return s.row.Holder == c.Holder && s.row.Incarnation == c.Incarnation
}

// next returns the value of the row that the claim writes.
func (c Claim) next(term time.Duration) Record {
	return Record{
		Holder: c.Holder, Incarnation: c.Incarnation, Term: term,
		LongestOrder: c.LongestOrder, Document: c.Document,
	}
}

// Written notes that the row was written with the revision; sent was taken
// before the write was sent. The term counts from there, since the write may
// have taken effect at once and its answer have come late.
func (s *State) Written(c Claim, r Record, revision uint64, sent time.Time) {
	s.row = Row{Record: r, Revision: revision}
	s.seen, s.until = sent, sent.Add(r.Term)
	s.held, s.fenced = !r.Released, c.Fenced
}

// Valid tells whether an order may be given now. It must be asked with the
// monotonic clock right before each order.
//
// Where the target ignores fencing numbers it is false while an earlier order
// of this holder is without answer: it could arrive after the next one.
func (s *State) Valid(now time.Time) bool {
	if !s.fenced && now.Before(s.settled) {
		return false
	}
	return s.held && now.Before(s.until)
}

// Fencing returns the fencing number of the orders of this holder.
func (s *State) Fencing() uint64 { return s.row.Revision }

// Ordered notes that an order leaves now and is on its way for at most longest.
func (s *State) Ordered(now time.Time, longest time.Duration) {
	s.settled = now.Add(withDrift(longest))
}

// Answered notes that the target has answered every order.
func (s *State) Answered() { s.settled = time.Time{} }

// Release returns the value of the row that gives the lease up, and permits no
// further order.
func (s *State) Release(now time.Time) Record {
	r := s.row.Record
	r.Released = true
	r.Unsettled = now.Before(s.settled)
	s.held = false
	return r
}
