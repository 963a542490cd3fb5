package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/test/fixedseed"

	"github.com/savorystall/savorystall/internal/ident"
)

// The simulation consists of one target, one lease row and three daemons whose
// clocks run at different rates. It is driven by random interleavings of lost
// and late writes, late orders, lost responses, pauses and restarts.

func init() { fixedseed.SetChecksAndSteps(3000, 60) }

type simDaemon struct {
	claim     Claim
	state     State
	clockRate float64
	// readyOrder is set between the check of the clock and the first byte.
	readyOrder *simOrder
}

type pendingWrite struct {
	sender      *simDaemon
	row         Record
	revision    uint64 // the revision that the write is conditional on
	sent        time.Time
	incarnation uint64
}

type simOrder struct {
	sender                 *simDaemon
	incarnation            uint64
	fencingToken, document uint64
	sentAt                 time.Time // real time
}

type simulation struct {
	start, now time.Time
	fenced     bool
	// unboundedDelays permits pauses of any length between the check and the
	// first byte, and orders that are in flight for longer than longestOrder.
	unboundedDelays bool
	term            time.Duration
	longestOrder    time.Duration
	row             Row
	staleRow        Row // the previous row, returned by stale reads
	revision        uint64
	document        uint64
	daemons         []*simDaemon
	writes          []pendingWrite
	orders          []simOrder
	targetOrder     simOrder // the last order that the target accepted
}

func newSimulation(t *rapid.T, fenced, unboundedDelays bool) *simulation {
	s := &simulation{start: time.Now(), fenced: fenced, unboundedDelays: unboundedDelays, document: 1}
	s.term = rapid.SampledFrom([]time.Duration{20 * time.Second, 100 * time.Second}).Draw(t, "term")
	s.longestOrder = rapid.SampledFrom([]time.Duration{10 * time.Second, 100 * time.Second}).Draw(t, "longest")
	s.now = s.start
	for i, rate := range []float64{0.96, 1, 1.04} {
		s.daemons = append(s.daemons, &simDaemon{clockRate: rate, claim: Claim{
			Holder: ident.Daemon(fmt.Sprint("d", i)), Incarnation: 1,
			Fenced: fenced, LongestOrder: s.longestOrder, Document: 1,
		}})
	}
	return s
}

// localNow returns the time of a daemon's own monotonic clock.
func (s *simulation) localNow(d *simDaemon) time.Time {
	return s.start.Add(time.Duration(float64(s.now.Sub(s.start)) * d.clockRate))
}

func (s *simulation) read(d *simDaemon, row Row) { d.state.Observe(row, s.localNow(d)) }

func (s *simulation) acquire(d *simDaemon) {
	now := s.localNow(d)
	if v, _ := d.state.Evaluate(d.claim, now); v == Available {
		s.startWrite(d, d.claim.record(s.term), now)
	}
}

func (s *simulation) startWrite(d *simDaemon, r Record, sent time.Time) {
	s.writes = append(s.writes, pendingWrite{d, r, d.state.row.Revision, sent, d.claim.Incarnation})
}

// finishWrite applies a write to the table; the writer gets the response if
// responded is set.
func (s *simulation) finishWrite(m pendingWrite, responded bool) {
	alive := m.sender.claim.Incarnation == m.incarnation
	if m.revision != s.row.Revision {
		if responded && alive {
			s.read(m.sender, s.row)
		}
		return
	}
	s.revision++
	s.staleRow, s.row = s.row, Row{Record: m.row, Revision: s.revision}
	if responded && alive {
		c := m.sender.claim
		c.Document = m.row.Document
		m.sender.state.Committed(c, m.row, s.revision, m.sent)
	}
}

// checkLease performs the check of the clock that precedes an order.
func (s *simulation) checkLease(d *simDaemon) {
	if !d.state.Valid(s.localNow(d)) || d.state.row.Document != d.claim.Document {
		return
	}
	d.state.OrderSent(s.localNow(d), s.longestOrder)
	d.readyOrder = &simOrder{d, d.claim.Incarnation, d.state.FencingToken(), d.state.row.Document, s.now}
}

func (s *simulation) sendOrder(d *simDaemon) {
	if d.readyOrder == nil {
		return
	}
	d.readyOrder.sentAt = s.now
	s.orders = append(s.orders, *d.readyOrder)
	d.readyOrder = nil
}

// deliver delivers an order to the target; the sender gets the response if
// responded is set.
func (s *simulation) deliver(t *rapid.T, o simOrder, responded bool) {
	accepted := !s.fenced || o.fencingToken >= s.targetOrder.fencingToken
	if accepted {
		if o.document < s.targetOrder.document && (s.fenced || !s.unboundedDelays) {
			t.Fatalf("order %d for document %d replaced order %d for document %d",
				o.fencingToken, o.document, s.targetOrder.fencingToken, s.targetOrder.document)
		}
		s.targetOrder = o
	}
	if responded && o.sender.claim.Incarnation == o.incarnation && o.sender.state.row.Revision == o.fencingToken {
		o.sender.state.OrdersAnswered()
	}
}

// advance advances the time. Unless delays are unbounded, it first sends
// prepared orders and delivers those that would exceed longestOrder.
func (s *simulation) advance(t *rapid.T, d time.Duration) {
	if !s.unboundedDelays {
		for _, n := range s.daemons {
			s.sendOrder(n)
		}
		for i := 0; i < len(s.orders); {
			if s.now.Add(d).Sub(s.orders[i].sentAt) < s.longestOrder {
				i++
				continue
			}
			s.deliver(t, s.removeOrder(i), false)
		}
	}
	s.now = s.now.Add(d)
}

func (s *simulation) removeOrder(i int) simOrder {
	o := s.orders[i]
	s.orders = append(s.orders[:i:i], s.orders[i+1:]...)
	return o
}

func (s *simulation) removeWrite(i int) pendingWrite {
	m := s.writes[i]
	s.writes = append(s.writes[:i:i], s.writes[i+1:]...)
	return m
}

func (s *simulation) pickDaemon(t *rapid.T) *simDaemon {
	return rapid.SampledFrom(s.daemons).Draw(t, "daemon")
}

func drawIndex(t *rapid.T, n int) int {
	if n == 0 {
		t.Skip("nothing in flight")
	}
	return rapid.IntRange(0, n-1).Draw(t, "index")
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	drawResponded := rapid.Bool()
	return map[string]func(*rapid.T){
		"read":       func(t *rapid.T) { s.read(s.pickDaemon(t), s.row) },
		"read stale": func(t *rapid.T) { s.read(s.pickDaemon(t), s.staleRow) },
		"acquire":    func(t *rapid.T) { s.acquire(s.pickDaemon(t)) },
		"acquire whole": func(t *rapid.T) {
			d := s.pickDaemon(t)
			s.read(d, s.row)
			s.acquire(d)
			if len(s.writes) > 0 {
				s.finishWrite(s.removeWrite(len(s.writes)-1), true)
			}
		},
		"write": func(t *rapid.T) {
			i := drawIndex(t, len(s.writes))
			s.finishWrite(s.removeWrite(i), drawResponded.Draw(t, "heard"))
		},
		"lose write": func(t *rapid.T) { s.removeWrite(drawIndex(t, len(s.writes))) },
		"release": func(t *rapid.T) {
			if d := s.pickDaemon(t); d.state.held && d.readyOrder == nil {
				s.startWrite(d, d.state.Release(s.localNow(d)), s.localNow(d))
			}
		},
		"check": func(t *rapid.T) { s.checkLease(s.pickDaemon(t)) },
		"send":  func(t *rapid.T) { s.sendOrder(s.pickDaemon(t)) },
		"order": func(t *rapid.T) {
			d := s.pickDaemon(t)
			s.checkLease(d)
			s.sendOrder(d)
		},
		"take": func(t *rapid.T) {
			i := drawIndex(t, len(s.orders))
			s.deliver(t, s.removeOrder(i), drawResponded.Draw(t, "heard"))
		},
		"lose order": func(t *rapid.T) { s.removeOrder(drawIndex(t, len(s.orders))) },
		"time": func(t *rapid.T) {
			s.advance(t, time.Duration(rapid.SampledFrom([]int{1, 4, 12, 90}).Draw(t, "seconds"))*time.Second)
		},
		"edit":  func(*rapid.T) { s.document++ },
		"learn": func(t *rapid.T) { s.pickDaemon(t).claim.Document = s.document },
		"restart": func(t *rapid.T) {
			d := s.pickDaemon(t)
			d.claim.Incarnation++
			d.state, d.readyOrder = State{}, nil
		},
	}
}

// converge stops all faults and lets one daemon with the latest document do
// what a reconciler does: read back, and send orders until the target has the
// desired state.
func (s *simulation) converge(t *rapid.T, d *simDaemon) {
	for _, o := range s.daemons {
		s.sendOrder(o)
	}
	for len(s.writes) > 0 {
		s.finishWrite(s.removeWrite(0), true)
	}
	for len(s.orders) > 0 {
		s.deliver(t, s.removeOrder(0), true)
	}
	d.claim.Document = s.document
	for range 50 {
		if s.targetOrder.document == s.document {
			return
		}
		s.read(d, s.row)
		s.acquire(d)
		for len(s.writes) > 0 {
			s.finishWrite(s.removeWrite(0), true)
		}
		s.checkLease(d)
		s.sendOrder(d)
		for len(s.orders) > 0 {
			s.deliver(t, s.removeOrder(0), true)
		}
		s.advance(t, 10*time.Second)
	}
	t.Fatalf("target ended with document %d, want %d", s.targetOrder.document, s.document)
}

func TestStaleOrderNeverWins(t *testing.T) {
	for name, c := range map[string]struct{ fenced, unboundedDelays bool }{
		"fencing enforced, any pause and delay": {fenced: true, unboundedDelays: true},
		"fencing ignored, delays as stated":     {fenced: false, unboundedDelays: false},
		"fencing ignored, any pause and delay":  {fenced: false, unboundedDelays: true},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, c.fenced, c.unboundedDelays)
				t.Repeat(s.actions())
				s.converge(t, s.pickDaemon(t))
			})
		})
	}
}
