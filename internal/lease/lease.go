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
	// DefaultTerm is some ten times a slow write of the table, and short beside
	// the minutes that a load of weights takes.
	DefaultTerm = 20 * time.Second
	// recordTTL drops the row of a target that is gone. It is far above any
	// term with its longest order, so that a row that matters is never dropped.
	recordTTL = 24 * time.Hour
)

// ErrBehind is the error of a claim whose document is older than the one that
// the lease was last taken for.
var ErrBehind = errors.New("the lease was taken for a later document")

// Held is the error of a lease that another daemon may hold.
type Held struct {
	By ident.Daemon
	// For is how long to wait at least before another try.
	For time.Duration
}

// Error implements error.
func (h *Held) Error() string { return "the lease may be held by " + string(h.By) }

// Lease is one target's lease as one daemon sees it. It is for use by one
// goroutine.
type Lease struct {
	table platform.Table
	clock clock.Clock
	term  time.Duration
	key   string
	state State
}

// New returns the lease of a target. A term of zero is DefaultTerm.
func New(table platform.Table, c clock.Clock, service ident.Service, target ident.Target, term time.Duration) *Lease {
	if term <= 0 {
		term = DefaultTerm
	}
	key := "lease/" + url.PathEscape(string(service)) + "/" + url.PathEscape(string(target))
	return &Lease{table: table, clock: c, term: term, key: key}
}

// Acquire takes the lease or renews it. On success the fencing number is higher
// than any before. The error is a *Held, ErrBehind or one of the table.
func (l *Lease) Acquire(ctx context.Context, c Claim) error {
	if !l.Valid() {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	now := l.clock.Now()
	switch verdict, end := l.state.Judge(c, now); verdict {
	case Behind:
		return ErrBehind
	case Wait:
		return &Held{By: l.state.row.Holder, For: end.Sub(now)}
	}
	return l.write(ctx, c, c.next(l.term), now)
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

// write replaces the row that was observed. A write whose answer is lost
// changes nothing here: if it took effect, the next read shows the row.
func (l *Lease) write(ctx context.Context, c Claim, r Record, sent time.Time) error {
	revision, err := l.table.Commit(ctx, platform.Transaction{
		Operation:  platform.NewOperation(),
		Conditions: []platform.Condition{{Key: l.key, Revision: l.state.row.Revision}},
		Puts:       []platform.Put{{Key: l.key, Value: r.encode(), TTL: recordTTL}},
	})
	var conflict *platform.Conflict
	if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
		if err := l.observe(conflict.Rows[0]); err != nil {
			return err
		}
		return &Held{By: l.state.row.Holder}
	}
	if err != nil {
		return err
	}
	l.state.Written(c, r, revision, sent)
	return nil
}

// Valid tells whether an order may be given now. Ask right before each order.
func (l *Lease) Valid() bool { return l.state.Valid(l.clock.Now()) }

// Fencing returns the fencing number for an order.
func (l *Lease) Fencing() uint64 { return l.state.Fencing() }

// Ordered notes that an order leaves now and is on its way for at most longest.
func (l *Lease) Ordered(longest time.Duration) { l.state.Ordered(l.clock.Now(), longest) }

// Answered notes that the target has answered every order.
func (l *Lease) Answered() { l.state.Answered() }

// Release gives the lease up, so that the next holder need not wait out the
// term. Without a lease it does nothing. An error leaves the lease to lapse.
func (l *Lease) Release(ctx context.Context) error {
	if !l.state.held {
		return nil
	}
	now := l.clock.Now()
	return l.write(ctx, Claim{}, l.state.Release(now), now)
}
