package order

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/lease"
)

const (
	// stuckAfter is how many tries in a row must have failed until the target is
	// reported: one or two are lost with a connection.
	stuckAfter = 3
	// stuckAgain is how many further tries lie between two reports. With the
	// longest backoff that is some five minutes.
	stuckAgain = 20
)

// worker keeps one target in its wanted state.
type worker struct {
	*Reconciler
	lease *lease.Lease
	stop  context.CancelFunc
	// changed wakes the worker for a new wanted state.
	changed chan struct{}

	mu     sync.Mutex
	latest Wanted

	// The following belong to the worker's goroutine.

	// fetched are the weights that the store has made ready since the target
	// was last as wanted.
	fetched map[string]bool
	// fails counts failed passes in a row, orders the orders since the target
	// was last as wanted.
	fails, orders int
}

func (k *worker) want(w Wanted) {
	k.mu.Lock()
	same := reflect.DeepEqual(k.latest, w)
	k.latest = w
	k.mu.Unlock()
	if same {
		return
	}
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *worker) wanted() Wanted {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest
}

func (k *worker) run(ctx context.Context) {
	defer k.giveUp(ctx)
	for ctx.Err() == nil {
		wait := k.pass(ctx, k.wanted())
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-k.changed:
		case <-k.cfg.Clock.After(wait):
		}
	}
}

// pass reads the target's state back, makes one step towards the wanted one,
// and returns how long to wait before the next pass.
func (k *worker) pass(ctx context.Context, w Wanted) time.Duration {
	present, err := k.read(ctx, w)
	if err != nil {
		return k.failed(w, "the target's state cannot be read", err)
	}
	if w.satisfiedBy(present.State) {
		return k.satisfied(ctx)
	}
	if err := k.fetch(ctx, w.weights(present.State)); err != nil {
		return k.failed(w, "weights cannot be fetched", err)
	}
	if k.wanted().Document != w.Document {
		// Weights take minutes; the document may have changed meanwhile.
		return 0
	}
	if wait, ok := k.acquire(ctx, w); !ok {
		return wait
	}
	return k.give(ctx, w)
}

func (k *worker) read(ctx context.Context, w Wanted) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.ReadTimeout)
	defer cancel()
	return k.orderer.Read(ctx, w.Address)
}

// satisfied gives the lease up: nothing is to be ordered.
func (k *worker) satisfied(ctx context.Context) time.Duration {
	k.fails, k.orders, k.fetched = 0, 0, nil
	k.giveUp(ctx)
	return k.jitter(2 * k.cfg.ReadBack)
}

// giveUp releases the lease, also where ctx has ended.
func (k *worker) giveUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := k.lease.Release(ctx); err != nil {
		event.LeaseNotReleased.Log(k.log, "target", k.wanted().Target, "error", err)
	}
}

func (k *worker) fetch(ctx context.Context, names []string) error {
	for _, name := range names {
		if k.fetched[name] {
			continue
		}
		if err := k.weights.fetch(ctx, name); err != nil {
			return err
		}
		if k.fetched == nil {
			k.fetched = make(map[string]bool)
		}
		k.fetched[name] = true
	}
	return nil
}

// acquire takes or renews the lease, so that the next order has a number that
// no earlier one had.
func (k *worker) acquire(ctx context.Context, w Wanted) (wait time.Duration, ok bool) {
	err := k.lease.Acquire(ctx, lease.Claim{
		Holder: k.cfg.Daemon, Incarnation: k.cfg.Incarnation,
		Fenced: w.Fenced, LongestOrder: w.LongestOrder, Document: w.Document,
	})
	var held *lease.HeldError
	switch {
	case err == nil:
		return 0, true
	case errors.As(err, &held):
		event.LeaseHeld.Log(k.log, "target", w.Target, "holder", held.Holder, "wait", held.RetryAfter)
		return max(held.RetryAfter, k.jitter(k.cfg.Backoff)), false
	case errors.Is(err, lease.ErrStaleDocument):
		event.OrderBehind.Log(k.log, "target", w.Target, "document", w.Document)
		return k.jitter(2 * k.cfg.ReadBack), false
	}
	return k.failed(w, "the lease cannot be written", err), false
}

// give sends the order, if the lease is still valid at this moment.
//
// The check stands right before the order, since this process may have been
// stopped for any time since it acquired the lease: its successor has given
// other orders meanwhile, and this one would undo them.
func (k *worker) give(ctx context.Context, w Wanted) time.Duration {
	o := Order{Fencing: k.lease.FencingToken(), State: w.State}
	ctx, cancel := context.WithTimeout(ctx, w.LongestOrder)
	defer cancel()
	if !k.lease.Valid() {
		return k.jitter(k.cfg.Backoff)
	}
	k.lease.OrderSent(w.LongestOrder)
	k.orders++
	err := k.orderer.Give(ctx, w.Address, o)
	var refused *Refused
	switch {
	case err == nil:
		k.lease.OrdersAnswered()
		event.OrderGiven.Log(k.log, "target", w.Target, "fencing", o.Fencing, "document", w.Document)
		return k.given(w)
	case errors.As(err, &refused):
		k.lease.OrdersAnswered()
		event.OrderRefused.Log(k.log, "target", w.Target, "fencing", o.Fencing, "present", refused.Present.Fencing)
		return k.failed(w, "the target refuses the fencing number", err)
	}
	return k.failed(w, "the order has no answer", err)
}

// given reads back at once after the first order. A target that keeps taking
// orders without effect is asked ever more seldom.
func (k *worker) given(w Wanted) time.Duration {
	if k.orders < stuckAfter {
		k.fails = 0
		return 0
	}
	return k.failed(w, "orders have no effect", nil)
}

func (k *worker) failed(w Wanted, what string, err error) time.Duration {
	k.fails++
	if k.fails%stuckAgain == stuckAfter {
		event.TargetTakesNoOrders.Log(k.log, "service", w.Service, "target", w.Target, "cause", what, "error", err)
	}
	return k.jitter(min(2*k.cfg.Backoff<<min(k.fails-1, 16), k.cfg.BackoffMax))
}

// jitter spreads waits evenly between nothing and limit.
func (k *worker) jitter(limit time.Duration) time.Duration {
	return time.Duration(k.cfg.Random()*float64(limit)) + 1
}
