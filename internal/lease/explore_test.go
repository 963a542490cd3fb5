package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/test/fixedseed"

	"github.com/savorystall/savorystall/internal/ident"
)

// The world below is one target, one lease row and three daemons whose clocks
// run at different rates, driven by random interleavings of lost and late
// writes, late orders, lost answers, pauses and restarts.

func init() { fixedseed.Explore(3000, 60) }

type node struct {
	claim Claim
	state State
	rate  float64
	// ready is set between the check of the clock and the first byte.
	ready *order
}

type writing struct {
	from *node
	row  Record
	at   uint64 // the revision required
	sent time.Time
	inc  uint64
}

type order struct {
	from              *node
	inc               uint64
	fencing, document uint64
	sent              time.Time // real time
}

type world struct {
	start, now time.Time
	fenced     bool
	// pauses permits any pause between the check and the first byte, and orders
	// that take longer than the longest.
	pauses   bool
	term     time.Duration
	longest  time.Duration
	row      Row
	older    Row // for stale reads
	revision uint64
	document uint64
	nodes    []*node
	writes   []writing
	orders   []order
	target   order // the last one that it took
}

func newWorld(t *rapid.T, fenced, pauses bool) *world {
	w := &world{start: time.Now(), fenced: fenced, pauses: pauses, document: 1}
	w.term = rapid.SampledFrom([]time.Duration{20 * time.Second, 100 * time.Second}).Draw(t, "term")
	w.longest = rapid.SampledFrom([]time.Duration{10 * time.Second, 100 * time.Second}).Draw(t, "longest")
	w.now = w.start
	for i, rate := range []float64{0.96, 1, 1.04} {
		w.nodes = append(w.nodes, &node{rate: rate, claim: Claim{
			Holder: ident.Daemon(fmt.Sprint("d", i)), Incarnation: 1,
			Fenced: fenced, LongestOrder: w.longest, Document: 1,
		}})
	}
	return w
}

// local returns a daemon's own monotonic clock.
func (w *world) local(n *node) time.Time {
	return w.start.Add(time.Duration(float64(w.now.Sub(w.start)) * n.rate))
}

func (w *world) read(n *node, row Row) { n.state.Observe(row, w.local(n)) }

func (w *world) acquire(n *node) {
	now := w.local(n)
	if v, _ := n.state.Judge(n.claim, now); v == Take {
		w.write(n, n.claim.next(w.term), now)
	}
}

func (w *world) write(n *node, r Record, sent time.Time) {
	w.writes = append(w.writes, writing{n, r, n.state.row.Revision, sent, n.claim.Incarnation})
}

// apply lets a write reach the table, and its answer the writer if heard.
func (w *world) apply(m writing, heard bool) {
	alive := m.from.claim.Incarnation == m.inc
	if m.at != w.row.Revision {
		if heard && alive {
			w.read(m.from, w.row)
		}
		return
	}
	w.revision++
	w.older, w.row = w.row, Row{Record: m.row, Revision: w.revision}
	if heard && alive {
		c := m.from.claim
		c.Document = m.row.Document
		m.from.state.Written(c, m.row, w.revision, m.sent)
	}
}

// check is the moment at which a daemon asks its clock.
func (w *world) check(n *node) {
	if !n.state.Valid(w.local(n)) || n.state.row.Document != n.claim.Document {
		return
	}
	n.state.Ordered(w.local(n), w.longest)
	n.ready = &order{n, n.claim.Incarnation, n.state.Fencing(), n.state.row.Document, w.now}
}

func (w *world) send(n *node) {
	if n.ready == nil {
		return
	}
	n.ready.sent = w.now
	w.orders = append(w.orders, *n.ready)
	n.ready = nil
}

// take lets an order reach the target.
func (w *world) take(t *rapid.T, o order, heard bool) {
	accepted := !w.fenced || o.fencing >= w.target.fencing
	if accepted {
		if o.document < w.target.document && (w.fenced || !w.pauses) {
			t.Fatalf("order %d for document %d undid order %d for document %d",
				o.fencing, o.document, w.target.fencing, w.target.document)
		}
		w.target = o
	}
	if heard && o.from.claim.Incarnation == o.inc && o.from.state.row.Revision == o.fencing {
		o.from.state.Answered()
	}
}

// pass lets time go on, but not beyond what is known of orders on their way.
func (w *world) pass(t *rapid.T, d time.Duration) {
	if !w.pauses {
		for _, n := range w.nodes {
			w.send(n)
		}
		for i := 0; i < len(w.orders); {
			if w.now.Add(d).Sub(w.orders[i].sent) < w.longest {
				i++
				continue
			}
			w.take(t, w.removeOrder(i), false)
		}
	}
	w.now = w.now.Add(d)
}

func (w *world) removeOrder(i int) order {
	o := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	return o
}

func (w *world) removeWrite(i int) writing {
	m := w.writes[i]
	w.writes = append(w.writes[:i:i], w.writes[i+1:]...)
	return m
}

func (w *world) pick(t *rapid.T) *node { return rapid.SampledFrom(w.nodes).Draw(t, "daemon") }

func index(t *rapid.T, n int) int {
	if n == 0 {
		t.Skip("nothing on its way")
	}
	return rapid.IntRange(0, n-1).Draw(t, "index")
}

func (w *world) actions() map[string]func(*rapid.T) {
	heard := rapid.Bool()
	return map[string]func(*rapid.T){
		"read":       func(t *rapid.T) { w.read(w.pick(t), w.row) },
		"read stale": func(t *rapid.T) { w.read(w.pick(t), w.older) },
		"acquire":    func(t *rapid.T) { w.acquire(w.pick(t)) },
		"acquire whole": func(t *rapid.T) {
			n := w.pick(t)
			w.read(n, w.row)
			w.acquire(n)
			if len(w.writes) > 0 {
				w.apply(w.removeWrite(len(w.writes)-1), true)
			}
		},
		"write": func(t *rapid.T) {
			i := index(t, len(w.writes))
			w.apply(w.removeWrite(i), heard.Draw(t, "heard"))
		},
		"lose write": func(t *rapid.T) { w.removeWrite(index(t, len(w.writes))) },
		"release": func(t *rapid.T) {
			if n := w.pick(t); n.state.held && n.ready == nil {
				w.write(n, n.state.Release(w.local(n)), w.local(n))
			}
		},
		"check": func(t *rapid.T) { w.check(w.pick(t)) },
		"send":  func(t *rapid.T) { w.send(w.pick(t)) },
		"order": func(t *rapid.T) {
			n := w.pick(t)
			w.check(n)
			w.send(n)
		},
		"take": func(t *rapid.T) {
			i := index(t, len(w.orders))
			w.take(t, w.removeOrder(i), heard.Draw(t, "heard"))
		},
		"lose order": func(t *rapid.T) { w.removeOrder(index(t, len(w.orders))) },
		"time": func(t *rapid.T) {
			w.pass(t, time.Duration(rapid.SampledFrom([]int{1, 4, 12, 90}).Draw(t, "seconds"))*time.Second)
		},
		"edit":  func(*rapid.T) { w.document++ },
		"learn": func(t *rapid.T) { w.pick(t).claim.Document = w.document },
		"restart": func(t *rapid.T) {
			n := w.pick(t)
			n.claim.Incarnation++
			n.state, n.ready = State{}, nil
		},
	}
}

// settle ends the faults and lets one daemon with the latest document do what a
// reconciler does: read back, and order until the state is the wanted one.
func (w *world) settle(t *rapid.T, n *node) {
	for _, o := range w.nodes {
		w.send(o)
	}
	for len(w.writes) > 0 {
		w.apply(w.removeWrite(0), true)
	}
	for len(w.orders) > 0 {
		w.take(t, w.removeOrder(0), true)
	}
	n.claim.Document = w.document
	for range 50 {
		if w.target.document == w.document {
			return
		}
		w.read(n, w.row)
		w.acquire(n)
		for len(w.writes) > 0 {
			w.apply(w.removeWrite(0), true)
		}
		w.check(n)
		w.send(n)
		for len(w.orders) > 0 {
			w.take(t, w.removeOrder(0), true)
		}
		w.pass(t, 10*time.Second)
	}
	t.Fatalf("the target ends with document %d, not %d", w.target.document, w.document)
}

func TestOldOrderNeverWins(t *testing.T) {
	for name, c := range map[string]struct{ fenced, pauses bool }{
		"fencing enforced, any pause and delay": {fenced: true, pauses: true},
		"fencing ignored, delays as stated":     {fenced: false, pauses: false},
		"fencing ignored, any pause and delay":  {fenced: false, pauses: true},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, c.fenced, c.pauses)
				t.Repeat(w.actions())
				w.settle(t, w.pick(t))
			})
		})
	}
}
