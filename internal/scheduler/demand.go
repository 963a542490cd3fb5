package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owners have to know who waits, or their slots idle; told of every arrival,
// hundreds of owners would get hundreds of messages for one request. So a first
// request is shown to one owner, of the own zone where there is one, and to
// twice as many after each reachStep that it still waits. A large queue is shown
// to as many owners at once as it can use.
const (
	firstReach = 1
	reachStep  = 200 * time.Millisecond
	// requestsPerOwner is how many waiting requests make it worth to show them
	// to one more owner at once.
	requestsPerOwner = 8
	// settle is how long an owner may believe in demand that is gone. Acting on
	// it costs a grant that comes back unused, which is less than a message for
	// each short queue that comes and goes.
	settle = time.Second
)

// cadence is how much a call of showDemand may say.
type cadence int

const (
	// onArrival and onTick say where a queue is no longer empty; onSettle also
	// where it is empty again; onExchange also how long it is by now.
	onArrival cadence = iota
	onTick
	onSettle
	onExchange
)

// demand counts the requests of a workspace that wait at one ingress.
type demand struct{ waiting, urgent int }

// less returns the demand after n grants, which take the urgent ones first.
func (d demand) less(n int) demand {
	return demand{waiting: max(0, d.waiting-n), urgent: max(0, d.urgent-n)}
}

// more returns the demand with n more requests that are not urgent.
func (d demand) more(n int) demand { return demand{waiting: d.waiting + n, urgent: d.urgent} }

// worth tells whether the demand differs enough from what is known of it.
func (d demand) worth(known demand, at cadence) bool {
	switch {
	case known.waiting == 0 && d.waiting > 0, known.urgent == 0 && d.urgent > 0:
		return true
	case known.waiting > 0 && d.waiting == 0, known.urgent > 0 && d.urgent == 0:
		return at >= onSettle
	}
	return at == onExchange && (far(d.waiting, known.waiting) || far(d.urgent, known.urgent))
}

// far tells whether two counts differ by more than a quarter. Counts only share
// grants out among ingresses, in proportion.
func far(a, b int) bool {
	const quarter = 4
	return quarter*max(a-b, b-a) > max(a, b)
}

// reach is how many owners are shown n requests, the first of which has waited
// for the time.
func reach(n int, waited time.Duration) int {
	doublings := min(int(max(waited, 0)/reachStep), 16)
	return max(firstReach<<doublings, n/requestsPerOwner)
}

// showDemand tells the owners of targets how many requests wait.
func (c *Core) showDemand(now time.Time, s *service, w *workspace, at cadence) {
	if w.told && at == onTick {
		return
	}
	own := w.own()
	near := reach(own.waiting, now.Sub(w.since))
	nearUrgent := reach(own.urgent, now.Sub(w.urgentSince))
	for i, p := range c.ownersFor(s, w) {
		known := w.shown[p.ID]
		value := own
		if i >= near || p.Zone != c.cfg.Zone && now.Sub(w.since) < c.cfg.Spill {
			value.waiting = min(own.waiting, known.waiting)
		}
		if i >= nearUrgent || value.waiting == 0 {
			value.urgent = min(own.urgent, known.urgent)
		}
		if full := p.full && at == onExchange; !full && !value.worth(known, at) {
			continue
		}
		if at == onArrival && !c.early.take() {
			return
		}
		w.setShown(p.ID, value)
		m := c.message(p.ID)
		m.Demand = append(m.Demand, Demand{
			Service:   s.name,
			Workspace: w.Name,
			Waiting:   uint32(value.waiting),
			Urgent:    uint32(value.urgent),
			Seen:      p.seenGrant,
		})
	}
	all := len(c.ownersFor(s, w))
	w.told = own.waiting == 0 ||
		near >= all && (own.urgent == 0 || nearUrgent >= all) && now.Sub(w.since) >= c.cfg.Spill
}

// arrives keeps the times since when the queue is not empty. It is called before
// a request is put into it.
func (w *workspace) arrives(now time.Time) {
	w.told = false
	own := w.own()
	if own.waiting == 0 {
		w.since = now
	}
	if own.urgent == 0 {
		w.urgentSince = now
	}
}

// ownersFor returns the peers that own targets of the service: those of the own
// zone first, and each ingress in another order, so that the first requests of
// many ingresses do not all go to one owner.
func (c *Core) ownersFor(s *service, w *workspace) []*peer {
	if w.owners != nil {
		return w.owners
	}
	type ranked struct {
		*peer
		local bool
		hash  uint64
	}
	var list []ranked
	for id := range c.ownersOf(s, w) {
		if p := c.peers[id]; p != nil {
			hash := xxhash.Sum64String(string(c.cfg.Self) + "\x00" + string(w.Name) + "\x00" + string(id))
			list = append(list, ranked{peer: p, local: p.Zone == c.cfg.Zone, hash: hash})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	w.owners = make([]*peer, 0, len(list))
	for _, r := range list {
		w.owners = append(w.owners, r.peer)
	}
	return w.owners
}

// resetOwners lets each workspace find the owners again, after a change of targets
// or peers. What a peer was shown that owns none any more stays noted, as the peer
// keeps it too: should it own one again, it is told the difference.
func (c *Core) resetOwners(s *service) {
	for _, w := range s.order {
		w.owners, w.told = nil, false
		s.findHere(w)
	}
}

// allowance bounds the messages that are sent ahead of the next tick: an idle
// fleet answers at once, and a busy one sends what waits together.
type allowance struct{ left float64 }

const (
	earlyMessages = 10
	earlyPerTick  = 0.2
)

func (a *allowance) refill() { a.left = min(earlyMessages, a.left+earlyPerTick) }

func (a *allowance) take() bool {
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
