package claim

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// The simulation models one key, one row and three daemons under random
// interleavings of lost, late and duplicated messages, pauses, restarts and the
// expiry of the row. It uses the same functions as Claimer: evaluateRow,
// evaluateStatus, evaluateFinalConflict and ledger.

const (
	simulatedStartTimeout = 10 * time.Second
	simulatedTTL          = 60 * time.Second
)

type callState int

const (
	callWaiting callState = iota // for the table or for a claimant
	callHeld
	callRunning
	callRan   // the target ran it, whatever outcome is reported
	callEnded // without a run
	callDead  // its process ended before it started
)

// claimCall is one call of Claim and its run.
type claimCall struct {
	name           string
	daemon         *simulatedDaemon
	incarnation    uint64
	record         Record
	revision       uint64
	state          callState
	generation     int  // of the row when the first byte was sent
	reportedNotRun bool // its caller was told that it did not run
}

func (c *claimCall) alive() bool { return c.daemon.incarnation == c.incarnation }

type simulatedDaemon struct {
	id          ident.Daemon
	incarnation uint64
	ledger      *ledger
	paused      bool
}

// message is a write, a query or a reply in flight.
type message struct {
	from     *claimCall
	final    bool // the write of a final record
	record   Record
	revision uint64
	row      observedRow // in queries and their replies: the row that was evaluated
	query    bool
	status   *Status
	result   *observedRow // the reply of the table
	written  bool
}

type simulation struct {
	now        time.Time
	row        observedRow
	writtenAt  time.Time
	revision   uint64
	generation int
	daemons    []*simulatedDaemon
	calls      []*claimCall
	inFlight   []message
	runs       int
	lastToken  int
}

func newSimulation() *simulation {
	s := &simulation{now: time.Now()}
	for i := range 3 {
		s.daemons = append(s.daemons, &simulatedDaemon{
			id: ident.Daemon(fmt.Sprint("d", i)), incarnation: 1, ledger: newLedger(simulatedStartTimeout),
		})
	}
	return s
}

func (s *simulation) begin(n *simulatedDaemon) *claimCall {
	s.lastToken++
	token := ident.Attempt(fmt.Sprint("t", s.lastToken))
	c := &claimCall{name: string(token), daemon: n, incarnation: n.incarnation}
	c.record = Record{Digest: testDigest, Daemon: n.id, Incarnation: n.incarnation, Token: token}
	s.calls = append(s.calls, c)
	if d := n.ledger.begin(testKey, token, testDigest, s.now); d != nil {
		s.applyDecision(c, d)
		return c
	}
	s.sendClaim(c)
	return c
}

// sendClaim sends the claim's write. An earlier one may still be in flight.
func (s *simulation) sendClaim(c *claimCall) {
	s.inFlight = append(s.inFlight, message{from: c, record: c.record, revision: c.revision})
}

func (s *simulation) applyDecision(c *claimCall, d Decision) {
	c.state = callEnded
	c.daemon.ledger.abandon(testKey, c.record.Token)
	switch d := d.(type) {
	case Replay:
		s.requireRun("replay")
	case Refuse:
		if d.Failure.Code.Outcome == resultcode.Ran {
			s.requireRun("already ran")
		}
	}
}

func (s *simulation) requireRun(what string) {
	if s.runs == 0 {
		panic(what + " without a run")
	}
}

// write applies a write to the table and returns the table's reply.
func (s *simulation) write(m message) message {
	if m.revision != s.row.Revision {
		row := s.row
		m.result = &row
		return m
	}
	s.revision++
	s.row = observedRow{Record: m.record, Revision: s.revision}
	s.writtenAt = s.now
	m.written = true
	m.result = &observedRow{Record: m.record, Revision: s.revision}
	return m
}

// deliver delivers one message. It returns the reply, or the message itself if it
// has to be delivered later; the result is false if there is neither.
func (s *simulation) deliver(m message) (message, bool) {
	switch {
	case m.query:
		n := s.daemon(m.row.Daemon)
		if n.paused {
			return m, true
		}
		status := Status{Kind: StateUnknown}
		if n.incarnation == m.row.Incarnation {
			status = n.ledger.answerQuery(testKey, m.row.Token, s.now)
		}
		m.query, m.status = false, &status
		return m, true
	case m.status == nil && m.result == nil:
		return s.write(m), true
	case !m.from.alive():
		return m, false
	case m.from.daemon.paused:
		return m, true
	case m.final:
		return s.handleFinalReply(m)
	case m.from.state == callWaiting:
		s.handleReply(m)
	}
	return m, false
}

func (s *simulation) daemon(id ident.Daemon) *simulatedDaemon {
	for _, n := range s.daemons {
		if n.id == id {
			return n
		}
	}
	panic("no such daemon")
}

func (s *simulation) handleReply(m message) {
	c := m.from
	if m.written {
		s.markHeld(c, m.result.Revision)
		return
	}
	row := m.row
	var act action
	var d Decision
	if m.status != nil {
		act, d = evaluateStatus(*m.status, nil)
	} else {
		row = *m.result
		act, d = evaluateRow(row, c.record)
	}
	s.applyAction(c, row, act, d)
}

func (s *simulation) applyAction(c *claimCall, row observedRow, act action, d Decision) {
	if c.state != callWaiting || !c.alive() {
		return
	}
	switch act {
	case actionQuery:
		s.inFlight = append(s.inFlight, message{from: c, query: true, row: row})
	case actionProceed:
		s.markHeld(c, row.Revision)
	case actionWrite:
		// As in Claimer.resolveConflict, the next write requires this revision only
		// from here on. If it were set while a query is pending, a retry of the lost
		// first write would take over a claim whose claimant has not replied yet.
		c.revision = row.Revision
		s.sendClaim(c)
	default:
		s.applyDecision(c, d)
	}
}

func (s *simulation) markHeld(c *claimCall, revision uint64) {
	c.revision = revision
	if !c.daemon.ledger.markHeld(testKey, c.record.Token) {
		s.giveUp(c)
		return
	}
	c.state = callHeld
}

func (s *simulation) handleFinalReply(m message) (message, bool) {
	if !m.written {
		revision, settled := evaluateFinalConflict(*m.result, m.from.record.Token)
		if !settled {
			return message{from: m.from, final: true, record: m.record, revision: revision}, true
		}
	}
	m.from.daemon.ledger.removeFinished(testKey, m.from.record.Token)
	return m, false
}

// giveUp tells the caller that its request was not run.
func (s *simulation) giveUp(c *claimCall) {
	c.reportedNotRun = true
	c.state = callEnded
	c.daemon.ledger.abandon(testKey, c.record.Token)
	s.sendFinal(c, Outcome{Result: resultcode.NotRun})
}

func (s *simulation) sendFinal(c *claimCall, o Outcome) {
	record := c.record
	record.Done, record.Outcome = true, o
	s.inFlight = append(s.inFlight, message{from: c, final: true, record: record, revision: c.revision})
}

// start requests to send the first byte with a clock reading taken before a pause.
// The pause is shorter than the record's TTL minus the start timeout; the rules do
// not cover a longer pause between the clock reading and the first byte.
func (s *simulation) start(c *claimCall, pause time.Duration) {
	if !c.daemon.ledger.start(testKey, c.record.Token, s.now.Add(-pause)) {
		s.giveUp(c)
		return
	}
	c.state, c.generation = callRunning, s.generation
	s.runs++
}

func (s *simulation) checkInvariants(t *rapid.T) {
	runs := map[int][]string{}
	for _, c := range s.calls {
		if c.state != callRunning && c.state != callRan {
			continue
		}
		if c.reportedNotRun {
			t.Fatalf("%s ran and its caller was told that it did not", c.name)
		}
		if runs[c.generation] = append(runs[c.generation], c.name); len(runs[c.generation]) > 1 {
			t.Fatalf("more than one run: %v", runs[c.generation])
		}
	}
}
