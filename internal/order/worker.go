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
	// reportAfterFailures is the number of consecutive failures after which the
	// target is reported: a lost connection causes one or two.
	reportAfterFailures = 3
	// reportEveryFailures is the number of further failures between two reports.
	// At the maximum backoff that is about five minutes.
	reportEveryFailures = 20
)

// worker keeps one target in its desired state.
type worker struct {
	*Reconciler
	lease  *lease.Lease
	cancel context.CancelFunc
	// changed wakes the worker when the desired state has changed.
	changed chan struct{}

	mu      sync.Mutex
	desired Desired

	// The following fields are used only by the worker's goroutine.

	// fetchedWeights holds the weights that have been fetched since the target
	// was last in its desired state.
	fetchedWeights map[string]bool
	// failures counts consecutive failed reconciliations, ordersSent the orders
	// sent since the target was last in its desired state.
	failures, ordersSent int
}

func (w *worker) setDesired(d Desired) {
	w.mu.Lock()
	same := reflect.DeepEqual(w.desired, d)
	w.desired = d
	w.mu.Unlock()
	if same {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *worker) currentDesired() Desired {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desired
}

func (w *worker) run(ctx context.Context) {
	defer w.releaseLease(ctx)
	for ctx.Err() == nil {
		wait := w.reconcile(ctx, w.currentDesired())
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.changed:
		case <-w.cfg.Clock.After(wait):
		}
	}
}

// reconcile reads the target's state, makes one step toward the desired state,
// and returns how long to wait before the next reconciliation.
func (w *worker) reconcile(ctx context.Context, d Desired) time.Duration {
	current, err := w.read(ctx, d)
	if err != nil {
		return w.handleFailure(d, "failed to read the target's state", err)
	}
	if d.satisfiedBy(current.State) {
		return w.handleInSync(ctx)
	}
	if err := w.fetchWeights(ctx, d.missingWeights(current.State)); err != nil {
		return w.handleFailure(d, "failed to fetch weights", err)
	}
	if w.currentDesired().DocumentRevision != d.DocumentRevision {
		// Fetching weights takes minutes; the document may have changed since.
		return 0
	}
	if wait, ok := w.acquireLease(ctx, d); !ok {
		return wait
	}
	return w.sendOrder(ctx, d)
}

func (w *worker) read(ctx context.Context, d Desired) (Order, error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.ReadTimeout)
	defer cancel()
	return w.targetClient.Read(ctx, d.Address)
}

// handleInSync releases the lease, since there is nothing to order.
func (w *worker) handleInSync(ctx context.Context) time.Duration {
	w.failures, w.ordersSent, w.fetchedWeights = 0, 0, nil
	w.releaseLease(ctx)
	return w.jitter(2 * w.cfg.ReadInterval)
}

// releaseLease releases the lease, even if ctx has ended.
func (w *worker) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := w.lease.Release(ctx); err != nil {
		event.LeaseNotReleased.Log(w.log, "target", w.currentDesired().Target, "error", err)
	}
}

func (w *worker) fetchWeights(ctx context.Context, names []string) error {
	for _, name := range names {
		if w.fetchedWeights[name] {
			continue
		}
		if err := w.weightFetcher.fetch(ctx, name); err != nil {
			return err
		}
		if w.fetchedWeights == nil {
			w.fetchedWeights = make(map[string]bool)
		}
		w.fetchedWeights[name] = true
	}
	return nil
}

// acquireLease acquires or renews the lease, so that the next order has a fencing
// token that has not been used before.
func (w *worker) acquireLease(ctx context.Context, d Desired) (wait time.Duration, ok bool) {
	err := w.lease.Acquire(ctx, lease.Claim{
		Holder: w.cfg.Daemon, Incarnation: w.cfg.Incarnation,
		Fenced: d.Fenced, LongestOrder: d.LongestOrder, Document: d.DocumentRevision,
	})
	var held *lease.HeldError
	switch {
	case err == nil:
		return 0, true
	case errors.As(err, &held):
		event.LeaseHeld.Log(w.log, "target", d.Target, "holder", held.Holder, "wait", held.RetryAfter)
		return max(held.RetryAfter, w.jitter(w.cfg.Backoff)), false
	case errors.Is(err, lease.ErrStaleDocument):
		event.OrderDocumentOutdated.Log(w.log, "target", d.Target, "document", d.DocumentRevision)
		return w.jitter(2 * w.cfg.ReadInterval), false
	}
	return w.handleFailure(d, "failed to acquire the lease", err), false
}

// sendOrder sends the order if the lease is still valid.
//
// The lease is checked immediately before sending, since this process may have
// been paused for any length of time after acquiring it. Its successor may have
// sent other orders in the meantime, which this one would undo.
func (w *worker) sendOrder(ctx context.Context, d Desired) time.Duration {
	o := Order{Fencing: w.lease.FencingToken(), State: d.State}
	ctx, cancel := context.WithTimeout(ctx, d.LongestOrder)
	defer cancel()
	if !w.lease.Valid() {
		return w.jitter(w.cfg.Backoff)
	}
	w.lease.OrderSent(d.LongestOrder)
	w.ordersSent++
	err := w.targetClient.Send(ctx, d.Address, o)
	var stale *StaleFencingError
	switch {
	case err == nil:
		w.lease.OrdersAnswered()
		event.OrderAccepted.Log(w.log, "target", d.Target, "fencing", o.Fencing, "document", d.DocumentRevision)
		return w.handleSent(d)
	case errors.As(err, &stale):
		w.lease.OrdersAnswered()
		event.OrderRefused.Log(w.log, "target", d.Target, "fencing", o.Fencing, "present", stale.Current.Fencing)
		return w.handleFailure(d, "the target refused the fencing token", err)
	}
	return w.handleFailure(d, "the order was not confirmed", err)
}

// handleSent schedules the read after an accepted order. The first orders are
// followed by a read at once; a target that keeps accepting orders without effect
// is retried with increasing backoff.
func (w *worker) handleSent(d Desired) time.Duration {
	if w.ordersSent < reportAfterFailures {
		w.failures = 0
		return 0
	}
	return w.handleFailure(d, "the target accepts orders but they have no effect", nil)
}

func (w *worker) handleFailure(d Desired, cause string, err error) time.Duration {
	w.failures++
	if w.failures%reportEveryFailures == reportAfterFailures {
		event.TargetTakesNoOrders.Log(w.log, "service", d.Service, "target", d.Target, "cause", cause, "error", err)
	}
	return w.jitter(min(2*w.cfg.Backoff<<min(w.failures-1, 16), w.cfg.BackoffMax))
}

// jitter returns a uniformly distributed delay between zero and limit.
func (w *worker) jitter(limit time.Duration) time.Duration {
	return time.Duration(w.cfg.Random()*float64(limit)) + 1
}
