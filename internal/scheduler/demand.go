package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owners must know where requests wait, or their slots idle. But if every arrival
// were announced to all owners, hundreds of owners would receive hundreds of
// messages for one request. A first request is therefore announced to a single
// owner, in the daemon's own zone if there is one, and to twice as many after each
// ownerDoublingInterval that it still waits. A long queue is announced at once to
// as many owners as it can use.
const (
	initialOwners         = 1
	ownerDoublingInterval = 200 * time.Millisecond
	// requestsPerOwner is the number of waiting requests that justifies announcing
	// them to one more owner at once.
	requestsPerOwner = 8
	// demandWithdrawInterval is how long an owner may act on demand that no longer
	// exists. Acting on it costs a grant that is returned unused, which is cheaper
	// than a message for each short queue that fills and empties.
	demandWithdrawInterval = time.Second
)

// updateTrigger is what caused a call of sendDemand. It determines which changes
// are sent.
type updateTrigger int

const (
	// onArrival and onTick announce queues that are no longer empty. onWithdraw also
	// withdraws the demand of queues that have become empty. onExchange also updates
	// the lengths of queues.
	onArrival updateTrigger = iota
	onTick
	onWithdraw
	onExchange
)

// demand counts the requests of a workspace that wait at one ingress.
type demand struct{ waiting, interactive int }

// minus returns the demand after n grants, which are used by interactive requests
// first.
func (d demand) minus(n int) demand {
	return demand{waiting: max(0, d.waiting-n), interactive: max(0, d.interactive-n)}
}

// plus returns the demand with n more requests that are not interactive.
func (d demand) plus(n int) demand { return demand{waiting: d.waiting + n, interactive: d.interactive} }

// needsUpdate reports whether the demand differs enough from the known one to be
// sent.
func (d demand) needsUpdate(known demand, trigger updateTrigger) bool {
	switch {
	case known.waiting == 0 && d.waiting > 0, known.interactive == 0 && d.interactive > 0:
		return true
	case known.waiting > 0 && d.waiting == 0, known.interactive > 0 && d.interactive == 0:
		return trigger >= onWithdraw
	}
	return trigger == onExchange && (differsSubstantially(d.waiting, known.waiting) || differsSubstantially(d.interactive, known.interactive))
}

// differsSubstantially reports whether two counts differ by more than a quarter.
// Smaller differences are tolerable: counts only determine the proportions in
// which grants are distributed among ingresses.
func differsSubstantially(a, b int) bool {
	const quarter = 4
	return quarter*max(a-b, b-a) > max(a, b)
}

// ownersToNotify returns how many owners are told about n requests, the first of
// which has waited for the given time.
func ownersToNotify(n int, waited time.Duration) int {
	doublings := min(int(max(waited, 0)/ownerDoublingInterval), 16)
	return max(initialOwners<<doublings, n/requestsPerOwner)
}

// sendDemand tells the owners of targets how many requests wait.
func (c *Core) sendDemand(now time.Time, s *service, w *workspace, trigger updateTrigger) {
	if w.demandUpToDate && trigger == onTick {
		return
	}
	own := w.ownDemand()
	limit := ownersToNotify(own.waiting, now.Sub(w.nonEmptySince))
	interactiveLimit := ownersToNotify(own.interactive, now.Sub(w.interactiveSince))
	for i, p := range c.rankedOwners(s, w) {
		known := w.sentDemand[p.ID]
		value := own
		if i >= limit || p.Zone != c.cfg.Zone && now.Sub(w.nonEmptySince) < c.cfg.SpillDelay {
			value.waiting = min(own.waiting, known.waiting)
		}
		if i >= interactiveLimit || value.waiting == 0 {
			value.interactive = min(own.interactive, known.interactive)
		}
		if forced := p.needsFullUpdate && trigger == onExchange; !forced && !value.needsUpdate(known, trigger) {
			continue
		}
		if trigger == onArrival && !c.earlySends.take() {
			return
		}
		w.setSentDemand(p.ID, value)
		m := c.messageTo(p.ID)
		m.Demand = append(m.Demand, Demand{
			Service:   s.name,
			Workspace: w.Name,
			Waiting:   uint32(value.waiting),
			Urgent:    uint32(value.interactive),
			SeenGrant: p.lastSeenGrant,
		})
	}
	total := len(c.rankedOwners(s, w))
	w.demandUpToDate = own.waiting == 0 ||
		limit >= total && (own.interactive == 0 || interactiveLimit >= total) && now.Sub(w.nonEmptySince) >= c.cfg.SpillDelay
}

// noteArrival records since when the queue has not been empty. It is called before
// a request is queued.
func (w *workspace) noteArrival(now time.Time) {
	w.demandUpToDate = false
	own := w.ownDemand()
	if own.waiting == 0 {
		w.nonEmptySince = now
	}
	if own.interactive == 0 {
		w.interactiveSince = now
	}
}

// rankedOwners returns the peers that own targets of the service. Peers in the
// daemon's own zone come first. The order differs between ingresses, so that the
// first requests of many ingresses do not all go to one owner.
func (c *Core) rankedOwners(s *service, w *workspace) []*peer {
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

// resetOwners makes each workspace look up its owners again after a change of
// targets or peers. The demand sent to a peer that no longer owns targets is kept,
// because the peer keeps it too: if it owns a target again, it is sent only the
// difference.
func (c *Core) resetOwners(s *service) {
	for _, w := range s.sortedWorkspaces {
		w.owners, w.demandUpToDate = nil, false
		s.updateOwnsTarget(w)
	}
}

// tokenBucket bounds the messages that are sent before the next tick: an idle
// fleet responds at once, and a busy one batches its messages.
type tokenBucket struct{ tokens float64 }

const (
	earlySendBurst    = 10
	earlySendsPerTick = 0.2
)

func (b *tokenBucket) refill() { b.tokens = min(earlySendBurst, b.tokens+earlySendsPerTick) }

func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
