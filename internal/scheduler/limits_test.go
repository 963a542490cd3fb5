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
	limitTestTick = 20 * time.Millisecond
	// meanRunTime is the mean run time of requests in the limit tests. Individual
	// times vary by up to a third.
	meanRunTime = 500 * time.Millisecond
	// startStagger is the delay between the starts of successive daemons.
	startStagger = 340 * time.Millisecond
)

// limitedFleet is a few cores whose workspace "a" has limits, with callers at each.
type limitedFleet struct {
	limits scheduler.Workspace
	now    time.Time
	rng    *rand.Rand
	nodes  []*limitedNode
	lastID int
	// partitioned separates the last node from the others. oldRelease makes it a node
	// of a release that does not exchange limit usage. dropMessages loses all messages.
	partitioned, oldRelease, dropMessages bool
	// accepted counts the accepted requests, and refused those refused with status 429,
	// by result code. maxInFlight is the highest number of requests in flight.
	accepted, maxInFlight int
	refused               map[int]int
	maxRetryAfter         time.Duration
}

type limitedNode struct {
	core        *scheduler.Core
	id          ident.Daemon
	incarnation uint64
	inbox       []limitedMessage
	running     map[ident.Request]time.Time
	inFlight    int
	// requestRate is in requests per second; pendingArrivals accumulates fractions of
	// a request.
	requestRate, pendingArrivals float64
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
		f.now = f.now.Add(startStagger)
		f.boot(n)
		n.core.Tick(f.now) // its exchange interval starts here
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

// peers updates the list of reachable peers at every node.
func (f *limitedFleet) peers() {
	for _, n := range f.nodes {
		var peers []scheduler.Peer
		for _, p := range f.nodes {
			if p != n && f.linked(n, p) {
				peers = append(peers, scheduler.Peer{ID: p.id, Incarnation: p.incarnation, Zone: "z1"})
			}
		}
		n.core.SetPeers(f.now, peers)
	}
}

func (f *limitedFleet) linked(a, b *limitedNode) bool {
	last := f.nodes[len(f.nodes)-1]
	return !f.partitioned || (a == last) == (b == last)
}

// setRequestRates sets how many requests per second arrive at each node.
func (f *limitedFleet) setRequestRates(each ...float64) {
	for i, d := range each {
		f.nodes[i].requestRate = d
	}
}

// run advances the time and returns how many requests were accepted.
func (f *limitedFleet) run(d time.Duration) int {
	before := f.accepted
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(limitTestTick) {
		total := 0
		for _, n := range f.nodes {
			f.step(n)
			total += n.inFlight
		}
		f.maxInFlight = max(f.maxInFlight, total)
	}
	return f.accepted - before
}

// expect advances the time and reports whether the number of accepted requests is
// within the bounds.
func (f *limitedFleet) expect(t *testing.T, phase string, d time.Duration, minAccepted, maxAccepted int) bool {
	t.Helper()
	accepted := f.run(d)
	t.Logf("%s: %d, from %d to %d; at most %d in flight", phase, accepted, minAccepted, maxAccepted, f.maxInFlight)
	return accepted >= minAccepted && accepted <= maxAccepted
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
			n.core.Finish(f.now, id, scheduler.Result{Served: 100, Elapsed: meanRunTime})
		}
	}
	for n.pendingArrivals += n.requestRate * limitTestTick.Seconds(); n.pendingArrivals >= 1; n.pendingArrivals-- {
		f.submit(n)
	}
	n.core.Tick(f.now)
	f.applyEffects(n)
}

func (f *limitedFleet) submit(n *limitedNode) {
	f.lastID++
	failure := n.core.Submit(f.now, request(fmt.Sprintf("r%06d", f.lastID), "a"))
	if failure == nil {
		f.accepted++
		n.inFlight++
		return
	}
	f.refused[failure.Code.Number]++
	f.maxRetryAfter = max(f.maxRetryAfter, failure.RetryAfter)
}

func (f *limitedFleet) applyEffects(n *limitedNode) {
	for _, e := range n.core.TakeEffects() {
		switch e := e.(type) {
		case scheduler.Dispatch:
			n.running[e.Request] = f.now.Add(meanRunTime*2/3 + time.Duration(f.rng.Int64N(int64(meanRunTime*2/3))))
		case scheduler.Send:
			i := slices.IndexFunc(f.nodes, func(p *limitedNode) bool { return p.id == e.To })
			f.send(n, f.nodes[i], e.Message)
		}
	}
}

func (f *limitedFleet) send(from, to *limitedNode, m scheduler.Message) {
	if last := f.nodes[len(f.nodes)-1]; f.oldRelease && (from == last || to == last) {
		m.Limits = nil
	}
	if f.linked(from, to) && !f.dropMessages {
		to.inbox = append(to.inbox, limitedMessage{from.id, m})
	}
}

// A workspace with a limit of 20 requests per second is sent 60, most of them
// through one of three daemons. With a limit enforced by each daemon separately,
// 44 per second were accepted.
func TestRateLimitHoldsForTheFleet(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, QueueLimit: 1000, RateLimit: 20})
	f.setRequestRates(36, 15, 9)
	f.run(10 * time.Second)
	is.True(f.expect(t, "uneven", 30*time.Second, 580, 660))
	is.Equal(len(f.refused), 1)
	is.True(f.refused[resultcode.RateLimited.Number] > 0)
	is.True(f.maxRetryAfter <= 3*time.Second)

	f.setRequestRates(0, 0, 60) // all callers move to another daemon
	is.True(f.expect(t, "moved", 10*time.Second, 160, 240))

	f.nodes[0].requestRate = 30
	f.run(5 * time.Second)
	f.boot(f.nodes[2]) // restarts without state
	f.peers()
	is.True(f.expect(t, "restart", 10*time.Second, 180, 280))
}

// One of three daemons is partitioned from the others. Neither side knows what the
// other accepts, so each continues with the whole limit. After the partition the
// limit must hold again, without a penalty for what was accepted meanwhile.
func TestRateLimitDuringPartition(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, QueueLimit: 1000, RateLimit: 20})
	f.setRequestRates(20, 20, 20)
	f.run(10 * time.Second)
	f.partitioned = true
	f.peers()
	is.True(f.expect(t, "cut", 30*time.Second, 1100, 1320))
	f.partitioned = false
	f.peers()
	is.True(f.expect(t, "rejoined", 10*time.Second, 190, 280))
}

// A workspace with a limit of 12 requests in flight is sent enough for 30. With a
// limit enforced by each daemon separately, 28 were in flight.
func TestConcurrencyLimitHoldsForTheFleet(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, QueueLimit: 1000, ConcurrencyLimit: 12})
	f.setRequestRates(36, 15, 9)
	f.run(5 * time.Second)
	f.maxInFlight = 0
	is.True(f.expect(t, "uneven", 20*time.Second, 430, 520))
	is.True(f.maxInFlight <= 18)
	is.Equal(len(f.refused), 1)
	is.True(f.refused[resultcode.ConcurrencyLimited.Number] > 0)

	f.maxInFlight = 0
	f.setRequestRates(0, 0, 60)
	is.True(f.expect(t, "moved", 10*time.Second, 190, 260))
	is.True(f.maxInFlight <= 18)
}

// One of three daemons runs the previous release, which does not exchange limit
// usage. It enforces the whole limit by itself, and the others share the limit
// without it.
func TestRateLimitWithOlderDaemon(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, QueueLimit: 1000, RateLimit: 20})
	f.oldRelease = true
	f.setRequestRates(30, 30, 0)
	f.run(10 * time.Second)
	is.True(f.expect(t, "at the newer ones", 20*time.Second, 380, 440))
	f.setRequestRates(30, 30, 60)
	f.run(10 * time.Second)
	is.True(f.expect(t, "at all", 20*time.Second, 760, 880))
}

// All callers of a workspace leave, and the message that reports it is lost with the
// connection. Callers at another daemon would then be refused forever, because the
// limit still appears to be used up.
func TestLostLimitUpdateIsRepaired(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(scheduler.Workspace{Name: "a", Weight: 1, QueueLimit: 1000, ConcurrencyLimit: 12})
	f.setRequestRates(60, 0, 0)
	f.run(5 * time.Second)
	f.dropMessages = true
	f.setRequestRates(0, 0, 0)
	f.run(2 * time.Second)
	f.dropMessages = false
	for _, n := range f.nodes {
		for _, p := range f.nodes {
			if p != n {
				n.core.ResyncPeer(p.id)
			}
		}
	}
	f.run(2 * time.Second)
	f.setRequestRates(0, 12, 0) // six in flight
	f.run(2 * time.Second)
	clear(f.refused)
	f.run(5 * time.Second)
	is.Equal(len(f.refused), 0)
}
