package claim

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Hold is the permission to run one claimed request once.
type Hold struct {
	claimer *Claimer
	key     Key
	token   ident.Attempt
	// unkeyed reports that the claim has no row.
	unkeyed bool
	// record and revision are the last state of the row known to this daemon.
	record   Record
	revision uint64
}

// Start permits sending the first byte. It must be called immediately before
// that, with a time that has a monotonic clock reading. The error is a
// *resultcode.Failure with the outcome NotRun: the claim was abandoned, or its
// StartTimeout has passed.
func (h *Hold) Start(now time.Time) error {
	c := h.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ledger.start(h.key, h.token, now) {
		return resultcode.Fail(resultcode.DeadlinePassed, "the claim has lapsed")
	}
	return nil
}

// MarkNotRun records that the started run did not take place, as shown by the
// state of the connection or by the target's protocol. Start may then be called
// again. MarkNotRun returns false if the hold has not started.
func (h *Hold) MarkNotRun() bool {
	c := h.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.undoStart(h.key, h.token)
}

// Finish makes the outcome final and immediately visible to queries, and waits
// until it is in the table or ctx ends; in the second case the write continues in
// the background. A response above the configured size is not stored. The result
// of a started run may be NotRun only if the target's protocol says so.
func (h *Hold) Finish(ctx context.Context, o Outcome) error {
	c := h.claimer
	o = o.limitResponse(c.cfg.MaxResponseBytes)
	c.mu.Lock()
	live := c.ledger.finish(h.key, h.token, o)
	c.mu.Unlock()
	if !live {
		return nil
	}
	if h.unkeyed {
		c.removeFinished(h)
		return nil
	}
	settled := make(chan struct{})
	c.writeFinal(h, o, func() {
		c.removeFinished(h)
		close(settled)
	})
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abandon promises never to dispatch. It returns false, and promises nothing, if
// the hold has started or finished. It does not wait for the table.
func (h *Hold) Abandon() bool {
	if !h.claimer.abandon(h) {
		return false
	}
	if !h.unkeyed {
		h.claimer.writeFinal(h, Outcome{Result: resultcode.NotRun}, nil)
	}
	return true
}

// Close ends a hold that was neither finished nor abandoned; otherwise it does
// nothing. Call it with defer where the hold is obtained.
//
// It protects against a panic while the request is handled: without it the claim
// would remain in progress for the lifetime of the process, and every retry would
// be told to wait.
func (h *Hold) Close() {
	if h.Abandon() {
		return
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	// The context is already canceled, so Finish does not wait for the write.
	_ = h.Finish(canceled, Outcome{Result: resultcode.MayHaveRun})
}

// writeFinal queues the final record, which is retried until its outcome is
// settled. onSettled is then called; it must not block.
func (c *Claimer) writeFinal(h *Hold, o Outcome, onSettled func()) {
	record := h.record
	record.Done, record.Outcome = true, o
	w := &pendingWrite{key: rowKey(h.key), revision: h.revision, value: record.encode(), final: true}
	w.onResult = func(r writeResult) {
		if r.conflict != nil && c.retryFinal(h, w, *r.conflict) {
			return
		}
		if onSettled != nil {
			onSettled()
		}
		c.finalSettled()
	}
	c.mu.Lock()
	c.pendingFinals++
	c.mu.Unlock()
	c.committer.submit(w)
}

// retryFinal resubmits a final record if the conflicting row is the open row of
// the same claim, whose write took effect although its response was lost.
func (c *Claimer) retryFinal(h *Hold, w *pendingWrite, row platform.Row) bool {
	observed, err := decodeRow(row)
	if err != nil {
		event.ClaimRowInvalid.Log(c.log, "row", row.Key, "error", err)
		return false
	}
	revision, settled := evaluateFinalConflict(observed, h.token)
	if settled {
		return false
	}
	c.committer.submit(&pendingWrite{key: w.key, revision: revision, value: w.value, final: true, onResult: w.onResult})
	return true
}

func (c *Claimer) finalSettled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingFinals--
	if c.pendingFinals == 0 {
		close(c.idle)
		c.idle = make(chan struct{})
	}
}
