package fleet

import (
	"sync"

	fleetv1 "github.com/savorystall/savorystall/api/fleet/v1"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// outbox holds the messages to be sent on a link. For demand, served totals,
// aggregates, limits and held grants, a newer value replaces the queued one. Of
// health updates only repetitions are dropped. Grants, releases and preemptions
// are all kept, in order; grants and releases are limited in number.
type outbox struct {
	mu             sync.Mutex
	limit          int
	queued         scheduler.Message
	demandIndex    map[pair]int
	servedIndex    map[pair]int
	aggregateIndex map[pair]int
	limitIndex     map[pair]int
	healthIndex    map[pair]int
	usageIndex     map[pair]int
	loadIndex      map[pair]int
	head           uint64
	leaving        bool
	watch          fleetv1.Watch
	reports        []membership.Report
	dirty          bool
	closed         bool

	// ready is signaled when something is queued, urgent when it must not wait
	// for further messages.
	ready, urgent chan struct{}
}

func newOutbox(limit int) *outbox {
	return &outbox{
		limit:       limit,
		demandIndex: map[pair]int{}, servedIndex: map[pair]int{}, aggregateIndex: map[pair]int{},
		limitIndex: map[pair]int{}, healthIndex: map[pair]int{}, usageIndex: map[pair]int{}, loadIndex: map[pair]int{},
		ready: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// enqueue queues a message without blocking. It returns false if the queue is
// full: the link must then be reset, because a grant or release would be lost.
func (o *outbox) enqueue(m *scheduler.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return true
	}
	if reliableRows(&o.queued)+reliableRows(m) > o.limit {
		o.closed = true
		return false
	}
	o.merge(m)
	o.signal(m.Origins.Urgent() || !m.Poison.Empty() || len(m.Grants)+len(m.PreemptGrants)+len(m.Bookings.Reservations)+len(m.Bookings.Replies)+len(m.Bookings.Ready) > 0)
	return true
}

// reliableRows counts the rows of a message that must not be lost and count
// against the limit.
func reliableRows(m *scheduler.Message) int {
	b := &m.Bookings
	return len(m.Grants) + len(m.Releases) + len(b.Reservations) + len(b.Replies) + len(b.FirstBytes) + len(b.Releases) + len(b.Ready)
}

func (o *outbox) merge(m *scheduler.Message) {
	q := &o.queued
	for _, d := range m.Demand {
		q.Demand = upsert(q.Demand, o.demandIndex, pair{d.Service, string(d.Workspace)}, d)
	}
	for _, p := range m.ServedTotals {
		q.ServedTotals = upsert(q.ServedTotals, o.servedIndex, pair{p.Service, string(p.Workspace)}, p)
	}
	for _, p := range m.Aggregates {
		q.Aggregates = upsert(q.Aggregates, o.aggregateIndex, pair{p.Service, string(p.Workspace)}, p)
	}
	for _, l := range m.Limits {
		q.Limits = upsert(q.Limits, o.limitIndex, pair{l.Service, string(l.Workspace)}, l)
	}
	for _, n := range m.HealthUpdates {
		o.addHealthUpdate(n)
	}
	q.Grants = append(q.Grants, m.Grants...)
	q.Releases = append(q.Releases, m.Releases...)
	q.PreemptGrants = append(q.PreemptGrants, m.PreemptGrants...)
	o.mergeBookings(&m.Bookings)
	o.mergeOrigins(&m.Origins)
	o.mergePoison(&m.Poison)
	if m.HeldGrantsValid {
		q.HeldGrants, q.HeldGrantsSeen, q.HeldGrantsValid = m.HeldGrants, m.HeldGrantsSeen, true
	}
}

// addHealthUpdate queues a health update and preserves the order of different
// updates of a target: if "leaving" is followed by "failed", both must arrive,
// or the target would receive new requests again.
func (o *outbox) addHealthUpdate(n scheduler.TargetHealthUpdate) {
	key := pair{n.Service, string(n.Target)}
	if i, ok := o.healthIndex[key]; ok && o.queued.HealthUpdates[i] == n {
		return
	}
	o.healthIndex[key] = len(o.queued.HealthUpdates)
	o.queued.HealthUpdates = append(o.queued.HealthUpdates, n)
}

func upsert[T any](rows []T, index map[pair]int, key pair, row T) []T {
	if i, ok := index[key]; ok {
		rows[i] = row
		return rows
	}
	index[key] = len(rows)
	return append(rows, row)
}

// setHead queues a change of the configuration revision. It is sent with the
// next frame, at the latest with the next heartbeat: every daemon announces
// each change to all others, and each of them also reads the table itself every
// second. A separate frame for each announcement would exceed the entire
// traffic budget of a large fleet.
func (o *outbox) setHead(head uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head = head
	o.dirty = true
}

// queueInitialState queues the state that a peer needs first on a new link.
func (o *outbox) queueInitialState(head uint64, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head, o.leaving = head, leaving
	o.signal(true)
}

// setLeaving queues the announcement of a graceful shutdown.
func (o *outbox) setLeaving() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	o.signal(true)
}

// setWatch queues whether this daemon watches the peer. It is sent promptly
// because a probe of the peer waits for the response.
func (o *outbox) setWatch(w fleetv1.Watch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.watch = w
	o.signal(false)
}

// addReports queues reports of daemons that are not heard from. Reports beyond
// the limit are dropped, which only delays detection: other daemons report the
// same.
func (o *outbox) addReports(reports []membership.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.reports)+len(reports) <= o.limit {
		o.reports = append(o.reports, reports...)
		o.signal(false)
	}
}

// requestFrame requests that a frame is sent promptly, even if nothing is
// queued.
func (o *outbox) requestFrame() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.signal(false)
}

func (o *outbox) signal(urgent bool) {
	o.dirty = true
	trySignal(o.ready)
	if urgent {
		trySignal(o.urgent)
	}
}

func trySignal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// batch is the content of an outbox that one frame carries.
type batch struct {
	message scheduler.Message
	head    uint64
	leaving bool
	watch   fleetv1.Watch
	reports []membership.Report
}

// take empties the outbox; ok is false if nothing is queued.
func (o *outbox) take() (b batch, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.dirty {
		return b, false
	}
	b = batch{message: o.queued, head: o.head, leaving: o.leaving, watch: o.watch, reports: o.reports}
	o.queued, o.head, o.dirty = scheduler.Message{}, 0, false
	o.watch, o.reports = fleetv1.Watch_WATCH_UNCHANGED, nil
	clear(o.demandIndex)
	clear(o.servedIndex)
	clear(o.aggregateIndex)
	clear(o.limitIndex)
	clear(o.healthIndex)
	clear(o.usageIndex)
	clear(o.loadIndex)
	return b, true
}
