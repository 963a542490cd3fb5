package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
	_ "github.com/savorystall/savorystall/test/fixedseed" // fixed seed for reproducible results
)

var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

const (
	modelStep     = 50 * time.Millisecond
	modelExchange = 20 // steps
	modelSteps    = 1200
)

// model simulates a fleet of daemons that divide the limits of one workspace.
// Reports take up to two steps and may be lost, daemons restart without state,
// and the fleet may be partitioned for a while.
type model struct {
	rng         *rand.Rand
	step        int
	rate        float64
	slots       int
	lossRate    float64
	nodes       []*node
	partitioned bool
	// tokens is the content of the fleet bucket if every request were known at
	// once.
	tokens    float64
	inTransit []message
	// accepted is the number of requests that the nodes accept, and
	// baselineAccepted the number that a single daemon accepts that gets all
	// requests: single under the rate limit, and singleInFlight for the requests
	// in flight.
	accepted, baselineAccepted int
	single                     *Share
	singleInFlight             []int
}

// node is one daemon with its callers.
type node struct {
	id            ident.Daemon
	incarnation   int
	exchangePhase int
	share         *Share
	reportCount   int // reports sent by this incarnation
	received      map[ident.Daemon]reportID
	// demand is the number of requests per second, and fractional the part of a
	// request carried over to the next step.
	demand, fractional float64
	// unreported is the number of requests accepted by others that this daemon's
	// fleet bucket does not reflect yet.
	unreported float64
	// endSteps holds the steps at which the running requests end.
	endSteps      []int
	partitionSide bool
}

// reportID identifies a report of a daemon.
type reportID struct{ incarnation, number int }

type message struct {
	from, to  *node
	deliverAt int
	id        reportID
	report    Report
}

func newModel(seed uint64, daemons int, rate float64, slots int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, slots: slots}
	for i := range daemons {
		m.nodes = append(m.nodes, &node{
			id: ident.Daemon(fmt.Sprintf("d%03d", i)), exchangePhase: m.rng.IntN(modelExchange), partitionSide: m.rng.IntN(2) == 0,
		})
	}
	m.single = New(Config{Self: "alone"})
	m.single.SetLimits(rate, slots)
	m.tokens = m.bucket()
	for _, n := range m.nodes {
		m.restart(n)
	}
	return m
}

func (m *model) now() time.Time { return start.Add(time.Duration(m.step) * modelStep) }

func (m *model) restart(n *node) {
	n.incarnation++
	n.share = New(Config{Self: n.id})
	n.received = map[ident.Daemon]reportID{}
	n.reportCount, n.endSteps = 0, nil
	n.share.SetLimits(m.rate, m.slots)
	n.share.SetDaemons(m.now(), m.reachable(n))
	n.unreported = n.share.Rate.fleetTokens - m.tokens
	for _, p := range m.nodes {
		if p != n && p.share != nil {
			p.share.Forget(m.now(), n.id)
			delete(p.received, n.id)
		}
	}
}

// reachable returns the daemons that n can reach, including itself.
func (m *model) reachable(n *node) []ident.Daemon {
	var ids []ident.Daemon
	for _, p := range m.nodes {
		if !m.separated(n, p) {
			ids = append(ids, p.id)
		}
	}
	return ids
}

func (m *model) separated(a, b *node) bool {
	return m.partitioned && a.partitionSide != b.partitionSide
}

func (m *model) setPartitioned(partitioned bool) {
	m.partitioned = partitioned
	for _, n := range m.nodes {
		ids := m.reachable(n)
		n.share.SetDaemons(m.now(), ids)
		for id := range n.received {
			if !slices.Contains(ids, id) {
				delete(n.received, id)
			}
		}
	}
}

// exchange sends the reports that are due and delivers those that have arrived.
func (m *model) exchange() {
	for _, n := range m.nodes {
		if (m.step+n.exchangePhase)%modelExchange != 0 {
			continue
		}
		report, _ := n.share.EndInterval(m.now(), len(n.endSteps))
		n.reportCount++
		for _, p := range m.nodes {
			if p == n || m.separated(n, p) || m.rng.Float64() < m.lossRate {
				continue
			}
			at := m.step + m.rng.IntN(3)
			m.inTransit = append(m.inTransit, message{n, p, at, reportID{n.incarnation, n.reportCount}, report})
		}
	}
	m.inTransit = slices.DeleteFunc(m.inTransit, func(msg message) bool {
		if msg.deliverAt > m.step {
			return false
		}
		if msg.id.incarnation == msg.from.incarnation && !m.separated(msg.from, msg.to) {
			msg.to.received[msg.from.id] = msg.id
			before := msg.to.share.Rate.fleetTokens
			msg.to.share.MergeReport(m.now(), msg.from.id, msg.report)
			msg.to.unreported -= before - msg.to.share.Rate.fleetTokens
		}
		return true
	})
}

// lacksReports reports whether a daemon lacks reports that the proof assumes it
// has received: neither the last report of another daemon nor the one before,
// or the membership.
func (m *model) lacksReports(n *node) bool {
	for _, p := range m.nodes {
		if p == n {
			continue
		}
		if h := n.received[p.id]; m.partitioned || h.incarnation != p.incarnation || h.number < p.reportCount-1 {
			return true
		}
	}
	return false
}

// arrivals returns the number of requests that arrive at a node in this step.
func (n *node) arrivals(rng *rand.Rand) int {
	n.fractional += n.demand * modelStep.Seconds() * (0.5 + rng.Float64())
	count := int(n.fractional)
	n.fractional -= float64(count)
	return count
}

// distributeDemand randomly divides a total demand among the nodes: evenly, all
// on one node, or in between.
func (m *model) distributeDemand(total float64) {
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

// arrivals simulates the arrivals of one step and returns how many requests
// each node accepts under the rate limit. It fails if a node accepts a request
// for which the limit has no token left, even counting requests not yet
// reported to the node.
func (m *model) arrivals(fail func(string, ...any)) []int {
	m.refill()
	accepted := make([]int, len(m.nodes))
	for i, n := range m.nodes {
		for range n.arrivals(m.rng) {
			m.admitAtSingle()
			n.share.Rate.RecordArrival()
			if n.share.Rate.Wait(m.now()) > 0 {
				continue
			}
			if m.tokens < 1-n.unreported-1e-6 {
				fail("step %d: %s accepts with %.2f tokens left and %.2f requests unreported", m.step, n.id, m.tokens, n.unreported)
			}
			n.share.Rate.Take()
			accepted[i]++
			m.accepted++
			m.tokens--
			for _, p := range m.nodes {
				if p != n {
					p.unreported++
				}
			}
		}
	}
	return accepted
}

func (m *model) admitAtSingle() {
	if m.single.Rate.Wait(m.now()) == 0 {
		m.single.Rate.Take()
		m.baselineAccepted++
	}
}

// refill adds the tokens of one step. No daemon's count can exceed a full
// bucket.
func (m *model) refill() {
	m.tokens = min(m.bucket(), m.tokens+(1+floorFraction)*m.rate*modelStep.Seconds())
	for _, n := range m.nodes {
		n.share.Rate.refill(m.now())
		if m.tokens == m.bucket() {
			n.unreported = 0
		}
	}
}

// stepInFlight simulates the arrivals and completions of one step and returns
// the number in flight.
func (m *model) stepInFlight() int {
	total := 0
	m.singleInFlight = m.unfinished(m.singleInFlight)
	for _, n := range m.nodes {
		n.endSteps = m.unfinished(n.endSteps)
		for range n.arrivals(m.rng) {
			end := m.step + 1 + m.rng.IntN(200)
			if n.share.Concurrency.Admit(len(n.endSteps)) {
				n.endSteps = append(n.endSteps, end)
				m.accepted++
			}
			if len(m.singleInFlight) < m.slots {
				m.singleInFlight = append(m.singleInFlight, end)
				m.baselineAccepted++
			}
		}
		total += len(n.endSteps)
	}
	return total
}

// unfinished returns the end steps that are still in the future.
func (m *model) unfinished(ends []int) []int {
	return slices.DeleteFunc(ends, func(end int) bool { return end <= m.step })
}

// drawModel draws a random fleet and its limits.
func drawModel(t *rapid.T, faults bool) *model {
	m := newModel(
		rapid.Uint64().Draw(t, "seed"),
		rapid.IntRange(1, 12).Draw(t, "daemons"),
		rapid.Float64Range(0.5, 200).Draw(t, "rate"),
		rapid.IntRange(1, 60).Draw(t, "slots"),
	)
	if faults {
		m.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	}
	return m
}
