package lease

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

const (
	// DefaultTerm is about ten times the duration of a slow write to the table,
	// and short compared to the minutes that loading weights takes.
	DefaultTerm = 20 * time.Second
	// recordTTL is when the row of a removed target expires. It is far longer
	// than any term plus its longest order, so that a row that is still needed
	// never expires.
	recordTTL = 24 * time.Hour
)

// ErrStaleDocument is returned for a claim whose document is older than the one
// that the lease was last taken for.
var ErrStaleDocument = errors.New("the lease was taken for a newer document")

// HeldError is returned for a lease that another daemon may hold.
type HeldError struct {
	Holder ident.Daemon
	// RetryAfter is the minimum time to wait before the next attempt.
	RetryAfter time.Duration
}

// Error implements error.
func (h *HeldError) Error() string { return "the lease may be held by " + string(h.Holder) }

// Lease is one daemon's view of the lease of a target. It must be used by one
// goroutine only.
type Lease struct {
	table platform.Table
	clock clock.Clock
	term  time.Duration
	key   string
	state State
}

// New returns the lease of a target. A term of zero or less means DefaultTerm.
func New(table platform.Table, c clock.Clock, service ident.Service, target ident.Target, term time.Duration) *Lease {
	if term <= 0 {
		term = DefaultTerm
	}
	key := "lease/" + url.PathEscape(string(service)) + "/" + url.PathEscape(string(target))
	return &Lease{table: table, clock: c, term: term, key: key}
}

// Acquire acquires or renews the lease. On success the fencing token is higher
// than any before. The error is a *HeldError, ErrStaleDocument or an error of
// the table.
func (l *Lease) Acquire(ctx context.Context, c Claim) error {
	if !l.Valid() {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	now := l.clock.Now()
	switch verdict, availableAt := l.state.Evaluate(c, now); verdict {
	case StaleDocument:
		return ErrStaleDocument
	case Unavailable:
		return &HeldError{Holder: l.state.row.Holder, RetryAfter: availableAt.Sub(now)}
	}
	return l.write(ctx, c, c.record(l.term), now)
}

func (l *Lease) read(ctx context.Context) error {
	rows, err := l.table.Get(ctx, l.key)
	if err != nil {
		return err
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	return l.observe(row)
}

func (l *Lease) observe(row platform.Row) error {
	r, err := decode(row)
	if err != nil {
		return err
	}
	l.state.Observe(r, l.clock.Now())
	return nil
}

// write replaces the observed row. If the response to a write is lost, the
// state stays as it is: if the write took effect, the next read shows the row.
func (l *Lease) write(ctx context.Context, c Claim, r Record, sent time.Time) error {
	revision, err := l.table.Commit(ctx, platform.Transaction{
		Operation:  platform.NewOperationID(),
		Conditions: []platform.Condition{{Key: l.key, Revision: l.state.row.Revision}},
		Puts:       []platform.Put{{Key: l.key, Value: r.encode(), TTL: recordTTL}},
	})
	var conflict *platform.Conflict
	if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
		if err := l.observe(conflict.Rows[0]); err != nil {
			return err
		}
		return &HeldError{Holder: l.state.row.Holder}
	}
	if err != nil {
		return err
	}
	l.state.Committed(c, r, revision, sent)
	return nil
}

// Valid reports whether an order may be sent now. It must be called immediately
// before each order.
func (l *Lease) Valid() bool { return l.state.Valid(l.clock.Now()) }

// FencingToken returns the fencing token for an order.
func (l *Lease) FencingToken() uint64 { return l.state.FencingToken() }

// OrderSent records that an order is being sent now and may be in flight for at
// most longest.
func (l *Lease) OrderSent(longest time.Duration) { l.state.OrderSent(l.clock.Now(), longest) }

// OrdersAnswered records that the target has answered every order.
func (l *Lease) OrdersAnswered() { l.state.OrdersAnswered() }

// Release releases the lease, so that the next holder need not wait for the end
// of the term. It does nothing if the lease is not held. If it fails, the lease
// expires at the end of its term.
func (l *Lease) Release(ctx context.Context) error {
	if !l.state.held {
		return nil
	}
	now := l.clock.Now()
	return l.write(ctx, Claim{}, l.state.Release(now), now)
}
