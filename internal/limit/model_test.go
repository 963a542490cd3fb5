package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	_ "github.com/savorystall/savorystall/test/fixedseed" // the same verdict each run
)

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

const (
	modelStep     = 50 * time.Millisecond
	modelExchange = 20 // steps
	modelSteps    = 1200
)

// model is a fleet of daemons that divide the limits of one workspace. News take
// up to two steps, some are lost, daemons restart without state and the fleet is
// cut in two for a while.
type model struct {
	rng   *rand.Rand
	step  int
	rate  float64
	slots int
	loss  float64
	nodes []*node
	cut   bool
	// tokens are those of the limit's bucket where all is known at once.
	tokens  float64
	pending []sent
	// accepted counts what the nodes accept, best what one daemon accepts that gets
	// all requests: alone by the rate, and alongside those in flight there.
	accepted, best int
	alone          *Share
	alongside      []int
}

// node is one daemon and its callers.
type node struct {
	id          ident.Daemon
	incarnation int
	phase       int
	share       *Share
	told        int // how often this incarnation has told
	heard       map[ident.Daemon]mark
	// demand is how many requests come a second; due is what is left of one.
	demand, due float64
	// missing is how many requests others accepted that this one's count of the
	// fleet does not hold.
	missing float64
	// ends are the steps at which the running requests end.
	ends []int
	side bool
}

// mark says which news was last heard of a daemon.
type mark struct{ incarnation, told int }

type sent struct {
	from, to *node
	at       int
	mark     mark
	news     News
}

func newModel(seed uint64, daemons int, rate float64, slots int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, slots: slots}
	for i := range daemons {
		m.nodes = append(m.nodes, &node{
			id: ident.Daemon(fmt.Sprintf("d%03d", i)), phase: m.rng.IntN(modelExchange), side: m.rng.IntN(2) == 0,
		})
	}
	m.alone = New(Config{Self: "alone"})
	m.alone.SetLimits(rate, slots)
	m.tokens = m.bucket()
	for _, n := range m.nodes {
		m.boot(n)
	}
	return m
}

func (m *model) now() time.Time { return start.Add(time.Duration(m.step) * modelStep) }

func (m *model) boot(n *node) {
	n.incarnation++
	n.share = New(Config{Self: n.id})
	n.heard = map[ident.Daemon]mark{}
	n.told, n.ends = 0, nil
	n.share.SetLimits(m.rate, m.slots)
	n.share.SetDaemons(m.now(), m.live(n))
	n.missing = n.share.Rate.fleet - m.tokens
	for _, p := range m.nodes {
		if p != n && p.share != nil {
			p.share.Forget(m.now(), n.id)
			delete(p.heard, n.id)
		}
	}
}

// live lists the daemons that n reaches, itself among them.
func (m *model) live(n *node) []ident.Daemon {
	var ids []ident.Daemon
	for _, p := range m.nodes {
		if !m.parted(n, p) {
			ids = append(ids, p.id)
		}
	}
	return ids
}

func (m *model) parted(a, b *node) bool { return m.cut && a.side != b.side }

func (m *model) setCut(cut bool) {
	m.cut = cut
	for _, n := range m.nodes {
		ids := m.live(n)
		n.share.SetDaemons(m.now(), ids)
		for id := range n.heard {
			if !slices.Contains(ids, id) {
				delete(n.heard, id)
			}
		}
	}
}

// exchange tells the news whose time has come and delivers what has arrived.
func (m *model) exchange() {
	for _, n := range m.nodes {
		if (m.step+n.phase)%modelExchange != 0 {
			continue
		}
		news, _ := n.share.Tell(m.now(), len(n.ends))
		n.told++
		for _, p := range m.nodes {
			if p == n || m.parted(n, p) || m.rng.Float64() < m.loss {
				continue
			}
			at := m.step + m.rng.IntN(3)
			m.pending = append(m.pending, sent{n, p, at, mark{n.incarnation, n.told}, news})
		}
	}
	m.pending = slices.DeleteFunc(m.pending, func(s sent) bool {
		if s.at > m.step {
			return false
		}
		if s.mark.incarnation == s.from.incarnation && !m.parted(s.from, s.to) {
			s.to.heard[s.from.id] = s.mark
			before := s.to.share.Rate.fleet
			s.to.share.Hear(m.now(), s.from.id, s.news)
			s.to.missing -= before - s.to.share.Rate.fleet
		}
		return true
	})
}

// blind tells whether a daemon lacks news that the proof takes as heard: of
// another daemon neither the last nor the one before, or who is there.
func (m *model) blind(n *node) bool {
	for _, p := range m.nodes {
		if p == n {
			continue
		}
		if h := n.heard[p.id]; m.cut || h.incarnation != p.incarnation || h.told < p.told-1 {
			return true
		}
	}
	return false
}

// arrive lets the callers of a node send what is due in this step, and returns
// how many come.
func (n *node) arrive(rng *rand.Rand) int {
	n.due += n.demand * modelStep.Seconds() * (0.5 + rng.Float64())
	count := int(n.due)
	n.due -= float64(count)
	return count
}

// spread draws a demand for each node that comes to total: even, on one node, or
// in between.
func (m *model) spread(total float64) {
	skew := m.rng.Float64() * 6
	sum := 0.0
	weights := make([]float64, len(m.nodes))
	for i, k := range m.rng.Perm(len(m.nodes)) {
		weights[k] = 1 / (1 + skew*skew*float64(i))
		sum += weights[k]
	}
	for i, n := range m.nodes {
		n.demand = total * weights[i] / sum
	}
}

func (m *model) bucket() float64 { return max(1, m.rate*DefaultBurst.Seconds()) }

// arrivals lets the callers of a step come and returns how many each node accepts
// under the limit of the rate. It fails where a node accepts what the limit leaves
// no token for, though it had heard of all that others accepted.
func (m *model) arrivals(fail func(string, ...any)) []int {
	m.fill()
	accepted := make([]int, len(m.nodes))
	for i, n := range m.nodes {
		for range n.arrive(m.rng) {
			m.tryAlone()
			n.share.Rate.Arrived()
			if n.share.Rate.Wait(m.now()) > 0 {
				continue
			}
			if m.tokens < 1-n.missing-1e-6 {
				fail("step %d: %s accepts with %.2f tokens left and %.2f not heard of", m.step, n.id, m.tokens, n.missing)
			}
			n.share.Rate.Take()
			accepted[i]++
			m.accepted++
			m.tokens--
			for _, p := range m.nodes {
				if p != n {
					p.missing++
				}
			}
		}
	}
	return accepted
}

func (m *model) tryAlone() {
	if m.alone.Rate.Wait(m.now()) == 0 {
		m.alone.Rate.Take()
		m.best++
	}
}

// fill adds the tokens of one step. Nobody's count can be above a full bucket.
func (m *model) fill() {
	m.tokens = min(m.bucket(), m.tokens+(1+floorShare)*m.rate*modelStep.Seconds())
	for _, n := range m.nodes {
		n.share.Rate.advance(m.now())
		if m.tokens == m.bucket() {
			n.missing = 0
		}
	}
}

// flights lets requests come and end and returns how many are in flight.
func (m *model) flights() int {
	total := 0
	m.alongside = m.running(m.alongside)
	for _, n := range m.nodes {
		n.ends = m.running(n.ends)
		for range n.arrive(m.rng) {
			end := m.step + 1 + m.rng.IntN(200)
			if n.share.Concurrent.Admit(len(n.ends)) {
				n.ends = append(n.ends, end)
				m.accepted++
			}
			if len(m.alongside) < m.slots {
				m.alongside = append(m.alongside, end)
				m.best++
			}
		}
		total += len(n.ends)
	}
	return total
}

// running returns those of the ends that are still to come.
func (m *model) running(ends []int) []int {
	return slices.DeleteFunc(ends, func(end int) bool { return end <= m.step })
}

// drawModel draws a fleet and its limits.
func drawModel(t *rapid.T, faults bool) *model {
	m := newModel(
		rapid.Uint64().Draw(t, "seed"),
		rapid.IntRange(1, 12).Draw(t, "daemons"),
		rapid.Float64Range(0.5, 200).Draw(t, "rate"),
		rapid.IntRange(1, 60).Draw(t, "slots"),
	)
	if faults {
		m.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	}
	return m
}
