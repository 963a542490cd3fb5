package fleet

import (
	"sync"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// outbox holds what waits to be sent on one link. Of demand, parts, sums, limits and
// the held list the newest stands for all; news are kept but for repeats; grants,
// releases and slots asked back are all kept, in order, up to a bound.
type outbox struct {
	mu      sync.Mutex
	limit   int
	queued  scheduler.Message
	demands map[pair]int
	parts   map[pair]int
	sums    map[pair]int
	limits  map[pair]int
	news    map[pair]int
	usage   map[pair]int
	loads   map[pair]int
	head    uint64
	leaving bool
	watch   fleetv1.Watch
	reports []membership.Report
	dirty   bool
	closed  bool

	// ready is signalled when the first thing is queued, urgent when something
	// must not wait for the batch.
	ready, urgent chan struct{}
}

func newOutbox(limit int) *outbox {
	return &outbox{
		limit:   limit,
		demands: map[pair]int{}, parts: map[pair]int{}, sums: map[pair]int{},
		limits: map[pair]int{}, news: map[pair]int{}, usage: map[pair]int{}, loads: map[pair]int{},
		ready: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// put queues a message without blocking. It returns false where the queue is
// full: the link must then be reset, for a grant or release would be lost.
func (o *outbox) put(m *scheduler.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return true
	}
	if queued(&o.queued)+queued(m) > o.limit {
		o.closed = true
		return false
	}
	o.merge(m)
	o.signal(len(m.Grants)+len(m.PreemptGrants)+len(m.Bookings.Reservations)+len(m.Bookings.Replies) > 0)
	return true
}

// queued counts the rows of a message of which each one must arrive.
func queued(m *scheduler.Message) int {
	b := &m.Bookings
	return len(m.Grants) + len(m.Releases) + len(b.Reservations) + len(b.Replies) + len(b.FirstBytes) + len(b.Releases)
}

func (o *outbox) merge(m *scheduler.Message) {
	q := &o.queued
	for _, d := range m.Demand {
		q.Demand = newest(q.Demand, o.demands, pair{d.Service, string(d.Workspace)}, d)
	}
	for _, p := range m.ServedTotals {
		q.ServedTotals = newest(q.ServedTotals, o.parts, pair{p.Service, string(p.Workspace)}, p)
	}
	for _, p := range m.Aggregates {
		q.Aggregates = newest(q.Aggregates, o.sums, pair{p.Service, string(p.Workspace)}, p)
	}
	for _, l := range m.Limits {
		q.Limits = newest(q.Limits, o.limits, pair{l.Service, string(l.Workspace)}, l)
	}
	for _, n := range m.HealthUpdates {
		o.addNews(n)
	}
	q.Grants = append(q.Grants, m.Grants...)
	q.Releases = append(q.Releases, m.Releases...)
	q.PreemptGrants = append(q.PreemptGrants, m.PreemptGrants...)
	o.mergeBookings(&m.Bookings)
	if m.HeldGrantsValid {
		q.HeldGrants, q.HeldGrantsSeen, q.HeldGrantsValid = m.HeldGrants, m.HeldGrantsSeen, true
	}
}

// addNews keeps the order of different news of a target: of "leaving" followed
// by "failed" both have to arrive, or the target would get new work again.
func (o *outbox) addNews(n scheduler.TargetHealthUpdate) {
	key := pair{n.Service, string(n.Target)}
	if i, ok := o.news[key]; ok && o.queued.HealthUpdates[i] == n {
		return
	}
	o.news[key] = len(o.queued.HealthUpdates)
	o.queued.HealthUpdates = append(o.queued.HealthUpdates, n)
}

func newest[T any](rows []T, at map[pair]int, key pair, row T) []T {
	if i, ok := at[key]; ok {
		rows[i] = row
		return rows
	}
	at[key] = len(rows)
	return append(rows, row)
}

// setHead queues a change of the configuration head. It rides on the next
// frame, at the latest the next heartbeat: every daemon announces each change to
// all others, while each reads the table for itself every second. A frame of its
// own for each would take more than the whole budget of a large fleet.
func (o *outbox) setHead(head uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head = head
	o.dirty = true
}

// greet queues what a peer has to know first on a new link.
func (o *outbox) greet(head uint64, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head, o.leaving = head, leaving
	o.signal(true)
}

// setLeaving queues the announcement of a planned stop.
func (o *outbox) setLeaving() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	o.signal(true)
}

// setWatch queues whether the peer is watched. A look waits for the answer.
func (o *outbox) setWatch(w fleetv1.Watch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.watch = w
	o.signal(false)
}

// addReports queues daemons that are not heard. Beyond the bound they are lost,
// which costs time only: others report the same.
func (o *outbox) addReports(reports []membership.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.reports)+len(reports) <= o.limit {
		o.reports = append(o.reports, reports...)
		o.signal(false)
	}
}

// beat asks for a frame now.
func (o *outbox) beat() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.signal(false)
}

func (o *outbox) signal(urgent bool) {
	o.dirty = true
	poke(o.ready)
	if urgent {
		poke(o.urgent)
	}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// batch is what one frame takes out of an outbox.
type batch struct {
	message scheduler.Message
	head    uint64
	leaving bool
	watch   fleetv1.Watch
	reports []membership.Report
}

// take empties the outbox; ok is false where nothing waits.
func (o *outbox) take() (b batch, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.dirty {
		return b, false
	}
	b = batch{message: o.queued, head: o.head, leaving: o.leaving, watch: o.watch, reports: o.reports}
	o.queued, o.head, o.dirty = scheduler.Message{}, 0, false
	o.watch, o.reports = fleetv1.Watch_WATCH_UNCHANGED, nil
	clear(o.demands)
	clear(o.parts)
	clear(o.sums)
	clear(o.limits)
	clear(o.news)
	clear(o.usage)
	clear(o.loads)
	return b, true
}
