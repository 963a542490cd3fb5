package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/test/fixedseed"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// The world below is one key, one row and three daemons, driven by random
// interleavings of lost, late and repeated messages, pauses, restarts and the
// expiry of the row. It is built from the rules that Claimer uses: judge,
// judgeAnswer, judgeFinal and ledger.

func init() { fixedseed.Explore(3000, 60) }

const (
	worldTerm = 10 * time.Second
	worldTTL  = 60 * time.Second
)

type tryState int

const (
	tryWaiting tryState = iota // for the table or for a claimant
	tryHeld
	tryRunning
	tryRan   // the target ran it, whatever is told
	tryEnded // without a run
	tryDead  // its process is gone, and it had not started
)

// try is one call of Claim with its run.
type try struct {
	name        string
	daemon      *node
	incarnation uint64
	record      Record
	revision    uint64
	state       tryState
	generation  int  // of the row when its first byte left
	toldNotRun  bool // its caller was told so
}

func (y *try) alive() bool { return y.daemon.incarnation == y.incarnation }

type node struct {
	id          ident.Daemon
	incarnation uint64
	ledger      *ledger
	paused      bool
}

// message is a write, a question or an answer on its way.
type message struct {
	from     *try
	final    bool // the write of a final record
	record   Record
	revision uint64
	row      observed // in questions and answers: the row that was judged
	question bool
	answer   *Answer
	result   *observed // what the table answered
	written  bool
}

type world struct {
	now        time.Time
	row        observed
	wroteAt    time.Time
	revision   uint64
	generation int
	nodes      []*node
	tries      []*try
	wire       []message
	ran        int
	tokens     int
}

func newWorld() *world {
	w := &world{now: time.Now()}
	for i := range 3 {
		w.nodes = append(w.nodes, &node{
			id: ident.Daemon(fmt.Sprint("d", i)), incarnation: 1, ledger: newLedger(worldTerm),
		})
	}
	return w
}

func (w *world) begin(n *node) *try {
	w.tokens++
	token := ident.Attempt(fmt.Sprint("t", w.tokens))
	y := &try{name: string(token), daemon: n, incarnation: n.incarnation}
	y.record = Record{Digest: digest, Daemon: n.id, Incarnation: n.incarnation, Token: token}
	w.tries = append(w.tries, y)
	if d := n.ledger.begin(key, token, digest, w.now); d != nil {
		w.decide(y, d)
		return y
	}
	w.send(y)
	return y
}

// send puts the claim's write on the wire. An earlier one may still be there.
func (w *world) send(y *try) {
	w.wire = append(w.wire, message{from: y, record: y.record, revision: y.revision})
}

func (w *world) decide(y *try, d Decision) {
	y.state = tryEnded
	y.daemon.ledger.drop(key, y.record.Token)
	switch d := d.(type) {
	case Replay:
		w.mustHaveRun("replay")
	case Refuse:
		if d.Failure.Code.Outcome == resultcode.Ran {
			w.mustHaveRun("already ran")
		}
	}
}

func (w *world) mustHaveRun(what string) {
	if w.ran == 0 {
		panic(what + " without a run")
	}
}

// write applies a write to the table and returns what the table answers.
func (w *world) write(m message) message {
	if m.revision != w.row.Revision {
		row := w.row
		m.result = &row
		return m
	}
	w.revision++
	w.row = observed{Record: m.record, Revision: w.revision}
	w.wroteAt = w.now
	m.written = true
	m.result = &observed{Record: m.record, Revision: w.revision}
	return m
}

// deliver takes one message to where it goes and returns what comes back.
func (w *world) deliver(m message) (message, bool) {
	switch {
	case m.question:
		n := w.node(m.row.Daemon)
		if n.paused {
			return m, true
		}
		a := Answer{Kind: AnswerUnknown}
		if n.incarnation == m.row.Incarnation {
			a = n.ledger.answer(key, m.row.Token, w.now)
		}
		m.question, m.answer = false, &a
		return m, true
	case m.answer == nil && m.result == nil:
		return w.write(m), true
	case !m.from.alive():
		return m, false
	case m.from.daemon.paused:
		return m, true
	case m.final:
		return w.finalAnswered(m)
	case m.from.state == tryWaiting:
		w.answered(m)
	}
	return m, false
}

func (w *world) node(id ident.Daemon) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	panic("no such daemon")
}

func (w *world) answered(m message) {
	y := m.from
	if m.written {
		w.held(y, m.result.Revision)
		return
	}
	row := m.row
	var v verdict
	var d Decision
	if m.answer != nil {
		v, d = judgeAnswer(*m.answer, nil)
	} else {
		row = *m.result
		v, d = judge(row, y.record)
	}
	w.follow(y, row, v, d)
}

func (w *world) follow(y *try, row observed, v verdict, d Decision) {
	if y.state != tryWaiting || !y.alive() {
		return
	}
	switch v {
	case verdictAsk:
		w.wire = append(w.wire, message{from: y, question: true, row: row})
	case verdictHeld:
		w.held(y, row.Revision)
	case verdictWrite:
		// As in Claimer.judge, the next write requires this revision only from
		// here on. Set while a question was open, a repeat of the lost first
		// write took over a claim whose claimant had not answered yet.
		y.revision = row.Revision
		w.send(y)
	default:
		w.decide(y, d)
	}
}

func (w *world) held(y *try, revision uint64) {
	y.revision = revision
	if !y.daemon.ledger.held(key, y.record.Token) {
		w.notRun(y)
		return
	}
	y.state = tryHeld
}

func (w *world) finalAnswered(m message) (message, bool) {
	if !m.written {
		revision, settled := judgeFinal(*m.result, m.from.record.Token)
		if !settled {
			return message{from: m.from, final: true, record: m.record, revision: revision}, true
		}
	}
	m.from.daemon.ledger.forget(key, m.from.record.Token)
	return m, false
}

// notRun tells the caller that its request was not run.
func (w *world) notRun(y *try) {
	y.toldNotRun = true
	y.state = tryEnded
	y.daemon.ledger.drop(key, y.record.Token)
	w.final(y, Outcome{Result: resultcode.NotRun})
}

func (w *world) final(y *try, o Outcome) {
	record := y.record
	record.Done, record.Outcome = true, o
	w.wire = append(w.wire, message{from: y, final: true, record: record, revision: y.revision})
}

// start asks for the first byte with a clock that was read before a pause. The
// pause is shorter than the record lives without the term: a longer one between
// the reading and the first byte is beyond the rule.
func (w *world) start(y *try, pause time.Duration) {
	if !y.daemon.ledger.start(key, y.record.Token, w.now.Add(-pause)) {
		w.notRun(y)
		return
	}
	y.state, y.generation = tryRunning, w.generation
	w.ran++
}

func (w *world) check(t *rapid.T) {
	runs := map[int][]string{}
	for _, y := range w.tries {
		if y.state != tryRunning && y.state != tryRan {
			continue
		}
		if y.toldNotRun {
			t.Fatalf("%s ran and its caller was told that it did not", y.name)
		}
		if runs[y.generation] = append(runs[y.generation], y.name); len(runs[y.generation]) > 1 {
			t.Fatalf("more than one run: %v", runs[y.generation])
		}
	}
}

// pick draws one of the tries in a state whose process lives and is not paused.
func (w *world) pick(t *rapid.T, state tryState) *try {
	var able []*try
	for _, y := range w.tries {
		if y.state == state && y.alive() && !y.daemon.paused {
			able = append(able, y)
		}
	}
	if len(able) == 0 {
		t.Skip("no such try")
	}
	return rapid.SampledFrom(able).Draw(t, "try")
}

func (w *world) pickNode(t *rapid.T) *node { return rapid.SampledFrom(w.nodes).Draw(t, "daemon") }

func (w *world) pickMessage(t *rapid.T) int {
	if len(w.wire) == 0 {
		t.Skip("nothing on the wire")
	}
	return rapid.IntRange(0, len(w.wire)-1).Draw(t, "message")
}

func (w *world) remove(i int) message {
	m := w.wire[i]
	w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	return m
}

func (w *world) hand(m message) {
	if back, more := w.deliver(m); more {
		w.wire = append(w.wire, back)
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": w.check,
		"repeat": func(t *rapid.T) {
			if n := w.pickNode(t); !n.paused {
				w.begin(n)
			}
		},
		"deliver": func(t *rapid.T) { w.hand(w.remove(w.pickMessage(t))) },
		"catch up": func(t *rapid.T) {
			for range len(w.wire) {
				w.hand(w.remove(0))
			}
		},
		"round trip": func(*rapid.T) {
			for n := 0; len(w.wire) > 0 && n < 20; n++ {
				w.hand(w.remove(0))
			}
		},
		"duplicate": func(t *rapid.T) { w.hand(w.wire[w.pickMessage(t)]) },
		"lose":      func(t *rapid.T) { w.remove(w.pickMessage(t)) },
		"resend":    func(t *rapid.T) { w.send(w.pick(t, tryWaiting)) },
		"give up":   func(t *rapid.T) { w.notRun(w.pick(t, tryWaiting)) },
		"no answer": func(t *rapid.T) {
			i := w.pickMessage(t)
			if m := w.wire[i]; m.question || m.answer != nil {
				w.remove(i)
				v, d := judgeAnswer(Answer{}, errFake)
				w.follow(m.from, m.row, v, d)
			}
		},
		"abandon": func(t *rapid.T) { w.notRun(w.pick(t, tryHeld)) },
		"start":   func(t *rapid.T) { w.start(w.pick(t, tryHeld), 0) },
		"start after pause": func(t *rapid.T) {
			w.start(w.pick(t, tryHeld), time.Duration(rapid.IntRange(1, 49).Draw(t, "seconds"))*time.Second)
		},
		"rewind":  func(t *rapid.T) { w.rewind(w.pick(t, tryRunning)) },
		"end":     w.end,
		"pause":   func(t *rapid.T) { n := w.pickNode(t); n.paused = !n.paused },
		"restart": func(t *rapid.T) { w.restart(w.pickNode(t)) },
		"time": func(t *rapid.T) {
			seconds := rapid.SampledFrom([]int{1, 2, 11, 61}).Draw(t, "seconds")
			w.now = w.now.Add(time.Duration(seconds) * time.Second)
		},
		"expire": func(t *rapid.T) {
			if w.row.Revision == 0 || w.now.Sub(w.wroteAt) < worldTTL {
				t.Skip("young")
			}
			w.row = observed{}
			w.generation++
		},
	}
}

func (w *world) rewind(y *try) {
	y.daemon.ledger.rewind(key, y.record.Token)
	y.state = tryHeld
	w.ran--
}

func (w *world) end(t *rapid.T) {
	y := w.pick(t, tryRunning)
	o := rapid.SampledFrom([]Outcome{
		{Result: resultcode.NotRun}, {Result: resultcode.MayHaveRun},
		{Result: resultcode.Ran}, {Result: resultcode.Ran, Kept: true},
	}).Draw(t, "outcome")
	y.daemon.ledger.finish(key, y.record.Token, o)
	y.state = tryRan
	if o.Result == resultcode.NotRun {
		y.state = tryEnded
		w.ran--
	}
	w.final(y, o)
}

func (w *world) restart(n *node) {
	n.incarnation++
	n.ledger = newLedger(worldTerm)
	n.paused = false
	for _, y := range w.tries {
		if y.daemon == n && y.state < tryRunning {
			y.state = tryDead
		}
	}
}

func TestRulesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		actions := w.actions()
		// A run is the precondition of most faults, so it is drawn more often.
		actions["start 2"], actions["repeat 2"] = actions["start"], actions["repeat"]
		t.Repeat(actions)
	})
}

func TestKeyIsUsableAfterFaults(t *testing.T) {
	// Whatever was lost, late or paused: as long as no daemon restarted and
	// nothing ran, a repeat after the faults is let through. A caller must not
	// be told for a day that a request may have run that was never sent.
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		actions := w.actions()
		for _, name := range []string{"start", "start after pause", "rewind", "end", "restart"} {
			delete(actions, name)
		}
		t.Repeat(actions)
		for _, n := range w.nodes {
			n.paused = false
		}
		for _, y := range w.tries {
			if y.state < tryRunning {
				w.notRun(y)
			}
		}
		y := w.begin(w.pickNode(t))
		for len(w.wire) > 0 {
			w.hand(w.remove(0))
		}
		if y.state != tryHeld {
			t.Fatalf("the repeat was not let through: state %d, row %+v", y.state, w.row)
		}
	})
}
