package claim

import (
	"bytes"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// phase is the progress of a claim at its claimant.
type phase uint8

const (
	phaseWriting  phase = iota // the row is being written
	phaseHeld                  // the row is written; no byte has been sent
	phaseStarted               // bytes may have been sent
	phaseFinished              // the outcome is final but not yet written to the table
)

type entry struct {
	token     ident.Attempt
	digest    []byte
	createdAt time.Time
	phase     phase
	outcome   Outcome
	// unkeyed reports that the claim has no row, so that it cannot expire.
	unkeyed bool
}

// ledger is a claimant's in-memory state of its own claims, with at most one
// active claim per key. It is a state machine that uses no lock, clock or
// network.
//
// An entry is kept until its outcome is in the table, so a token without an entry
// either can never start any more or has its outcome in the table. The reply
// StateRevoked is safe in both cases: in the second, the row's revision is newer
// than the one that the querying daemon evaluated, so its write fails.
type ledger struct {
	// startTimeout is how long a claim may wait to be started.
	startTimeout time.Duration
	entries      map[Key]*entry
}

func newLedger(term time.Duration) *ledger {
	return &ledger{startTimeout: term, entries: make(map[Key]*entry)}
}

// begin adds a new claim, or returns a decision if an earlier claim of this
// process determines one.
func (l *ledger) begin(k Key, token ident.Attempt, digest []byte, now time.Time) Decision {
	if e := l.entries[k]; e != nil {
		if d := l.evaluateEntry(e, digest, now); d != nil {
			return d
		}
	}
	l.entries[k] = &entry{token: token, digest: digest, createdAt: now}
	return nil
}

// beginUnkeyed adds a claim that has no row. It is held immediately.
func (l *ledger) beginUnkeyed(k Key, token ident.Attempt) {
	l.entries[k] = &entry{token: token, unkeyed: true, phase: phaseHeld}
}

// evaluateEntry returns nil if the entry can be replaced.
func (l *ledger) evaluateEntry(e *entry, digest []byte, now time.Time) Decision {
	if l.expired(e, now) {
		return nil
	}
	if !bytes.Equal(e.digest, digest) {
		return Refuse{resultcode.Fail(resultcode.IdempotencyKeyReused, "")}
	}
	if e.phase != phaseFinished {
		return Refuse{resultcode.Fail(resultcode.InProgress, "")}
	}
	if act, d := evaluateOutcome(e.outcome); act == actionDecided {
		return d
	}
	return nil
}

// expired reports whether the entry can no longer start. An entry that has
// started never expires.
func (l *ledger) expired(e *entry, now time.Time) bool {
	return !e.unkeyed && e.phase < phaseStarted && now.Sub(e.createdAt) >= l.startTimeout
}

func (l *ledger) find(k Key, token ident.Attempt) *entry {
	if e := l.entries[k]; e != nil && e.token == token {
		return e
	}
	return nil
}

// markHeld records that the row is written. It returns false if the claim was
// abandoned.
func (l *ledger) markHeld(k Key, token ident.Attempt) bool {
	e := l.find(k, token)
	if e == nil || e.phase != phaseWriting {
		return false
	}
	e.phase = phaseHeld
	return true
}

// start permits sending the first byte, once.
//
// It protects against a pause between the claim and the first byte: the process
// is stopped for longer than RecordTTL, a retry by the caller creates a new claim
// for the key, and the first process resumes and sends. The monotonic clock
// advances while a process is stopped, so startTimeout has passed when it resumes.
// A shorter pause requires no clock: no other daemon takes over the row without a
// reply from this process.
func (l *ledger) start(k Key, token ident.Attempt, now time.Time) bool {
	e := l.find(k, token)
	if e == nil || e.phase != phaseHeld {
		return false
	}
	if l.expired(e, now) {
		delete(l.entries, k)
		return false
	}
	e.phase = phaseStarted
	return true
}

// undoStart records that a started run did not take place, so that the same hold
// may start again.
func (l *ledger) undoStart(k Key, token ident.Attempt) bool {
	e := l.find(k, token)
	if e == nil || e.phase != phaseStarted {
		return false
	}
	e.phase = phaseHeld
	return true
}

// finish makes the outcome final. It returns false if the claim is not active.
func (l *ledger) finish(k Key, token ident.Attempt, o Outcome) bool {
	e := l.find(k, token)
	if e == nil || e.phase == phaseFinished {
		return false
	}
	e.phase, e.outcome = phaseFinished, o
	return true
}

// abandon removes a claim that has not started. It returns false and changes
// nothing if the claim has started or finished, because it may have run.
func (l *ledger) abandon(k Key, token ident.Attempt) bool {
	e := l.find(k, token)
	if e == nil || e.phase >= phaseStarted {
		return false
	}
	delete(l.entries, k)
	return true
}

// removeFinished removes a claim whose outcome is in the table.
func (l *ledger) removeFinished(k Key, token ident.Attempt) {
	if e := l.find(k, token); e != nil && e.phase == phaseFinished {
		delete(l.entries, k)
	}
}

// answerQuery returns the status of a claim of this process. StateRevoked is
// binding: the entry has been removed, and start requires it.
func (l *ledger) answerQuery(k Key, token ident.Attempt, now time.Time) Status {
	e := l.find(k, token)
	if e == nil {
		return Status{Kind: StateRevoked}
	}
	if l.expired(e, now) {
		delete(l.entries, k)
		return Status{Kind: StateRevoked}
	}
	if e.phase == phaseFinished {
		return Status{Kind: StateFinished, Outcome: e.outcome}
	}
	return Status{Kind: StateRunning}
}
