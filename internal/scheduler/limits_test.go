package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	limitTick = 20 * time.Millisecond
	// limitRuns is how long a request of the tests of limits runs on average, each
	// up to a third more or less.
	limitRuns = 500 * time.Millisecond
	// limitStart is how much later each daemon starts than the one before.
	limitStart = 340 * time.Millisecond
)

// limitedFleet is a few cores whose workspace "a" has limits, with callers at each.
type limitedFleet struct {
	limits scheduler.Workspace
	now    time.Time
	rng    *rand.Rand
	nodes  []*limitedNode
	next   int
	// cut keeps the last node from the others; old lets it be of a release that
	// knows no news of limits; lost loses all messages.
	cut, old, lost bool
	// accepted counts what was accepted, refused what was answered with 429, by
	// its code; most is the most that was in flight.
	accepted, most int
	refused        map[int]int
	longest        time.Duration
}

type limitedNode struct {
	core        *scheduler.Core
	id          ident.Daemon
	incarnation uint64
	inbox       []limitedMessage
	running     map[ident.Request]time.Time
	inFlight    int
	// demand is in requests a second, due what is left of one.
	demand, due float64
}

type limitedMessage struct {
	from    ident.Daemon
	message scheduler.Message
}

func newLimitedFleet(limits scheduler.Workspace) *limitedFleet {
	f := &limitedFleet{limits: limits, now: start, rng: rand.New(rand.NewPCG(5, 6)), refused: map[int]int{}}
	for i := range 3 {
		f.nodes = append(f.nodes, &limitedNode{id: ident.Daemon(fmt.Sprintf("d%d", i+1))})
	}
	for _, n := range f.nodes {
		f.now = f.now.Add(limitStart)
		f.boot(n)
		n.core.Tick(f.now) // its exchanges are counted from here
	}
	f.peers()
	return f
}

// boot starts a node without state.
func (f *limitedFleet) boot(n *limitedNode) {
	n.incarnation++
	n.inbox, n.running, n.inFlight = nil, map[ident.Request]time.Time{}, 0
	n.core = scheduler.New(scheduler.Config{Self: n.id, Incarnation: n.incarnation, Zone: "z1"}, rand.New(rand.NewPCG(1, 2)))
	n.core.Configure(f.now, []scheduler.Service{{
		Name: "pool", MeanCost: 100, Workspaces: []scheduler.Workspace{f.limits},
		Targets: []scheduler.Target{{Name: "t1", Zone: "z1", Slots: 500}, {Name: "t2", Zone: "z1", Slots: 500}},
	}})
}

// peers tells every node whom it reaches.
func (f *limitedFleet) peers() {
	for _, n := range f.nodes {
		var peers []scheduler.Peer
		for _, p := range f.nodes {
			if p != n && f.linked(n, p) {
				peers = append(peers, scheduler.Peer{ID: p.id, Incarnation: p.incarnation, Zone: "z1"})
			}
		}
		n.core.Peers(f.now, peers)
	}
}

func (f *limitedFleet) linked(a, b *limitedNode) bool {
	last := f.nodes[len(f.nodes)-1]
	return !f.cut || (a == last) == (b == last)
}

// demand sets how many requests a second come to each node.
func (f *limitedFleet) demand(each ...float64) {
	for i, d := range each {
		f.nodes[i].demand = d
	}
}

// run lets time pass and returns how many requests were accepted.
func (f *limitedFleet) run(d time.Duration) int {
	before := f.accepted
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(limitTick) {
		total := 0
		for _, n := range f.nodes {
			f.step(n)
			total += n.inFlight
		}
		f.most = max(f.most, total)
	}
	return f.accepted - before
}

// expect lets time pass and tells whether so many requests were accepted.
func (f *limitedFleet) expect(t *testing.T, what string, d time.Duration, least, most int) bool {
	t.Helper()
	accepted := f.run(d)
	t.Logf("%s: %d, from %d to %d; at most %d in flight", what, accepted, least, most, f.most)
	return accepted >= least && accepted <= most
}

func (f *limitedFleet) step(n *limitedNode) {
	for _, m := range n.inbox {
		n.core.Receive(f.now, m.from, m.message)
	}
	n.inbox = nil
	for _, id := range slices.Sorted(maps.Keys(n.running)) {
		if !f.now.Before(n.running[id]) {
			delete(n.running, id)
			n.inFlight--
			n.core.Finish(f.now, id, scheduler.Result{Served: 100, Elapsed: limitRuns})
		}
	}
	for n.due += n.demand * limitTick.Seconds(); n.due >= 1; n.due-- {
		f.submit(n)
	}
	n.core.Tick(f.now)
	f.carryOut(n)
}

func (f *limitedFleet) submit(n *limitedNode) {
	f.next++
	failure := n.core.Submit(f.now, request(fmt.Sprintf("r%06d", f.next), "a"))
	if failure == nil {
		f.accepted++
		n.inFlight++
		return
	}
	f.refused[failure.Code.Number]++
	f.longest = max(f.longest, failure.RetryAfter)
}

func (f *limitedFleet) carryOut(n *limitedNode) {
	for _, e := range n.core.Take() {
		switch e := e.(type) {
		case scheduler.Dispatch:
			n.running[e.Request] = f.now.Add(limitRuns*2/3 + time.Duration(f.rng.Int64N(int64(limitRuns*2/3))))
		case scheduler.Send:
			i := slices.IndexFunc(f.nodes, func(p *limitedNode) bool { return p.id == e.To })
			f.send(n, f.nodes[i], e.Message)
		}
	}
}

func (f *limitedFleet) send(from, to *limitedNode, m scheduler.Message) {
	if last := f.nodes[len(f.nodes)-1]; f.old && (from == last || to == last) {
		m.Limits = nil
	}
	if f.linked(from, to) && !f.lost {
		to.inbox = append(to.inbox, limitedMessage{from.id, m})
	}
}

// A team may send 20 requests a second to a service and sends 60, most of them
// through one of three daemons. With a limit that each daemon held by itself, 44
// were let in.
func TestRateLimitHoldsForTheFleet(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, Queue: 1000, Rate: 20})
	f.demand(36, 15, 9)
	f.run(10 * time.Second)
	is.True(f.expect(t, "uneven", 30*time.Second, 580, 660))
	is.Equal(len(f.refused), 1)
	is.True(f.refused[resultcode.RateLimited.Number] > 0)
	is.True(f.longest <= 3*time.Second)

	f.demand(0, 0, 60) // all callers move to another daemon
	is.True(f.expect(t, "moved", 10*time.Second, 160, 240))

	f.nodes[0].demand = 30
	f.run(5 * time.Second)
	f.boot(f.nodes[2]) // restarts without state
	f.peers()
	is.True(f.expect(t, "restart", 10*time.Second, 180, 280))
}

// The zone of one of three daemons is cut off. Neither side knows what the other
// accepts, so each goes on with the limit; after the cut the limit holds again,
// and nobody is held down for what was accepted meanwhile.
func TestRateLimitInACut(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, Queue: 1000, Rate: 20})
	f.demand(20, 20, 20)
	f.run(10 * time.Second)
	f.cut = true
	f.peers()
	is.True(f.expect(t, "cut", 30*time.Second, 1100, 1320))
	f.cut = false
	f.peers()
	is.True(f.expect(t, "rejoined", 10*time.Second, 190, 280))
}

// A team may have 12 requests in flight and sends what would be 30. With a limit
// that each daemon held by itself, 28 were in flight.
func TestConcurrencyLimitHoldsForTheFleet(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, Queue: 1000, Concurrent: 12})
	f.demand(36, 15, 9)
	f.run(5 * time.Second)
	f.most = 0
	is.True(f.expect(t, "uneven", 20*time.Second, 430, 520))
	is.True(f.most <= 18)
	is.Equal(len(f.refused), 1)
	is.True(f.refused[resultcode.ConcurrencyFull.Number] > 0)

	f.most = 0
	f.demand(0, 0, 60)
	is.True(f.expect(t, "moved", 10*time.Second, 190, 260))
	is.True(f.most <= 18)
}

// One of three daemons is of the release before. It holds the whole limit by
// itself, and the others, which hear nothing of it, share the limit without it.
func TestRateLimitBesideAnOlderDaemon(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, Queue: 1000, Rate: 20})
	f.old = true
	f.demand(30, 30, 0)
	f.run(10 * time.Second)
	is.True(f.expect(t, "at the newer ones", 20*time.Second, 380, 440))
	f.demand(30, 30, 60)
	f.run(10 * time.Second)
	is.True(f.expect(t, "at all", 20*time.Second, 760, 880))
}

// All callers of a team go, and the message that tells so is lost with the link.
// Who comes to another daemon then would be refused for ever, because the places
// still look taken.
func TestLostNewsOfALimitIsRepaired(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, Queue: 1000, Concurrent: 12})
	f.demand(60, 0, 0)
	f.run(5 * time.Second)
	f.lost = true
	f.demand(0, 0, 0)
	f.run(2 * time.Second)
	f.lost = false
	for _, n := range f.nodes {
		for _, p := range f.nodes {
			if p != n {
				n.core.Reset(p.id)
			}
		}
	}
	f.run(2 * time.Second)
	f.demand(0, 12, 0) // six in flight
	f.run(2 * time.Second)
	clear(f.refused)
	f.run(5 * time.Second)
	is.Equal(len(f.refused), 0)
}
