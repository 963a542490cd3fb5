package claim

import (
	"bytes"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// phase is how far a claim has come at its claimant.
type phase uint8

const (
	phaseWriting phase = iota // the row is being written
	phaseHeld                 // the row is written; no byte has left
	phaseStarted              // bytes may have left
	phaseDone                 // the outcome is final but not yet in the table
)

type entry struct {
	token   ident.Attempt
	digest  []byte
	begun   time.Time
	phase   phase
	outcome Outcome
	// local tells that the claim has no row, so that nothing can lapse.
	local bool
}

// ledger is a claimant's memory of its own claims, at most one live one a key.
// It is a state machine without lock, clock or network.
//
// An entry lives until the table holds its outcome, so a token without entry
// either never starts any more or has its outcome in the table. For both the
// answer AnswerNever is safe: in the second case the row has moved on from the
// revision that the asker judged, and the asker's write fails.
type ledger struct {
	// term is how long a claim may wait for its start.
	term    time.Duration
	entries map[Key]*entry
}

func newLedger(term time.Duration) *ledger {
	return &ledger{term: term, entries: make(map[Key]*entry)}
}

// begin enters a new claim, unless an earlier one of this process decides.
func (l *ledger) begin(k Key, token ident.Attempt, digest []byte, now time.Time) Decision {
	if e := l.entries[k]; e != nil {
		if d := l.judgeLocal(e, digest, now); d != nil {
			return d
		}
	}
	l.entries[k] = &entry{token: token, digest: digest, begun: now}
	return nil
}

// beginLocal enters a claim without row. It is held at once.
func (l *ledger) beginLocal(k Key, token ident.Attempt) {
	l.entries[k] = &entry{token: token, local: true, phase: phaseHeld}
}

// judgeLocal returns nil where the entry can be replaced.
func (l *ledger) judgeLocal(e *entry, digest []byte, now time.Time) Decision {
	if l.lapsed(e, now) {
		return nil
	}
	if !bytes.Equal(e.digest, digest) {
		return Refuse{resultcode.Fail(resultcode.KeyReused, "")}
	}
	if e.phase != phaseDone {
		return Refuse{resultcode.Fail(resultcode.InProgress, "")}
	}
	if v, d := judgeOutcome(e.outcome); v == verdictFinal {
		return d
	}
	return nil
}

// lapsed tells that the entry can no longer start. An entry that has started
// never lapses.
func (l *ledger) lapsed(e *entry, now time.Time) bool {
	return !e.local && e.phase < phaseStarted && now.Sub(e.begun) >= l.term
}

func (l *ledger) find(k Key, token ident.Attempt) *entry {
	if e := l.entries[k]; e != nil && e.token == token {
		return e
	}
	return nil
}

// held notes that the row is written. It is false where the claim was given up.
func (l *ledger) held(k Key, token ident.Attempt) bool {
	e := l.find(k, token)
	if e == nil || e.phase != phaseWriting {
		return false
	}
	e.phase = phaseHeld
	return true
}

// start permits the first byte, once.
//
// It guards against a pause between claim and first byte: the process is
// stopped for longer than the record lives, the caller's repeat claims the key
// afresh, and the first process wakes up and sends. The monotonic clock goes on
// while a process is stopped, so the term has lapsed when it wakes up. A
// shorter pause needs no clock: nobody takes the row over without an answer
// from this process.
func (l *ledger) start(k Key, token ident.Attempt, now time.Time) bool {
	e := l.find(k, token)
	if e == nil || e.phase != phaseHeld {
		return false
	}
	if l.lapsed(e, now) {
		delete(l.entries, k)
		return false
	}
	e.phase = phaseStarted
	return true
}

// rewind notes that a started run did not take place, so that the same hold
// may start again.
func (l *ledger) rewind(k Key, token ident.Attempt) bool {
	e := l.find(k, token)
	if e == nil || e.phase != phaseStarted {
		return false
	}
	e.phase = phaseHeld
	return true
}

// finish makes the outcome final. It is false where the claim is not live.
func (l *ledger) finish(k Key, token ident.Attempt, o Outcome) bool {
	e := l.find(k, token)
	if e == nil || e.phase == phaseDone {
		return false
	}
	e.phase, e.outcome = phaseDone, o
	return true
}

// drop gives up a claim that has not started. It is false, and changes nothing,
// for one that has started or ended: that one may have run.
func (l *ledger) drop(k Key, token ident.Attempt) bool {
	e := l.find(k, token)
	if e == nil || e.phase >= phaseStarted {
		return false
	}
	delete(l.entries, k)
	return true
}

// forget removes a claim whose outcome is in the table.
func (l *ledger) forget(k Key, token ident.Attempt) {
	if e := l.find(k, token); e != nil && e.phase == phaseDone {
		delete(l.entries, k)
	}
}

// answer tells an asker about a claim of this process. AnswerNever binds: the
// entry is gone, and start needs it.
func (l *ledger) answer(k Key, token ident.Attempt, now time.Time) Answer {
	e := l.find(k, token)
	if e == nil {
		return Answer{Kind: AnswerNever}
	}
	if l.lapsed(e, now) {
		delete(l.entries, k)
		return Answer{Kind: AnswerNever}
	}
	if e.phase == phaseDone {
		return Answer{Kind: AnswerFinished, Outcome: e.outcome}
	}
	return Answer{Kind: AnswerRunning}
}
