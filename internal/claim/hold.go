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
	// local tells that the claim has no row.
	local bool
	// record and revision are the row as this daemon last knew it.
	record   Record
	revision uint64
}

// Start permits the first byte. It must be called right before it, with a time
// that carries a monotonic reading. The error is a *resultcode.Failure of an
// outcome NotRun: the claim was given up, or its term has lapsed.
func (h *Hold) Start(now time.Time) error {
	c := h.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ledger.start(h.key, h.token, now) {
		return resultcode.Fail(resultcode.DeadlinePassed, "the claim has lapsed")
	}
	return nil
}

// NotRun notes that the started run did not take place, by the word of the
// connection or of the target's protocol. The hold may Start again. It is false
// where the hold has not started.
func (h *Hold) NotRun() bool {
	c := h.claimer
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.rewind(h.key, h.token)
}

// Finish makes the outcome final and known to askers at once, and waits until
// it is in the table or ctx ends; the write goes on in the second case. An
// answer above the configured size is not kept. The result of a run that was
// started is NotRun only where the target's protocol says so.
func (h *Hold) Finish(ctx context.Context, o Outcome) error {
	c := h.claimer
	o = o.bounded(c.cfg.KeepBytes)
	c.mu.Lock()
	live := c.ledger.finish(h.key, h.token, o)
	c.mu.Unlock()
	if !live {
		return nil
	}
	if h.local {
		c.forget(h)
		return nil
	}
	recorded := make(chan struct{})
	c.recordLater(h, o, func() {
		c.forget(h)
		close(recorded)
	})
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abandon promises never to dispatch. It returns false, and promises nothing,
// where the hold has started or ended. It does not wait for the table.
func (h *Hold) Abandon() bool {
	if !h.claimer.drop(h) {
		return false
	}
	if !h.local {
		h.claimer.recordLater(h, Outcome{Result: resultcode.NotRun}, nil)
	}
	return true
}

// Close ends a hold that was neither finished nor abandoned, and else does
// nothing. Defer it where the hold is obtained.
//
// It guards against a panic on the way of the request: the claim would stay in
// progress for as long as the process lives, and every repeat be told to wait.
func (h *Hold) Close() {
	if h.Abandon() {
		return
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// The write goes on without the wait.
	_ = h.Finish(ended, Outcome{Result: resultcode.MayHaveRun})
}

// recordLater writes the final record, for as long as it takes. Then is called
// once it is settled; it must not block.
func (c *Claimer) recordLater(h *Hold, o Outcome, then func()) {
	record := h.record
	record.Done, record.Outcome = true, o
	w := &write{key: rowKey(h.key), revision: h.revision, value: record.encode(), final: true}
	w.done = func(r writeResult) {
		if r.conflict != nil && c.writeAgain(h, w, *r.conflict) {
			return
		}
		if then != nil {
			then()
		}
		c.settledRecord()
	}
	c.mu.Lock()
	c.unrecorded++
	c.mu.Unlock()
	c.committer.submit(w)
}

// writeAgain submits a final record anew where the row in the way is the open
// row of the same claim, whose write took effect unnoticed.
func (c *Claimer) writeAgain(h *Hold, w *write, row platform.Row) bool {
	o, err := decodeRow(row)
	if err != nil {
		event.ClaimRowBad.Log(c.log, "row", row.Key, "error", err)
		return false
	}
	revision, settled := judgeFinal(o, h.token)
	if settled {
		return false
	}
	c.committer.submit(&write{key: w.key, revision: revision, value: w.value, final: true, done: w.done})
	return true
}

func (c *Claimer) settledRecord() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unrecorded--
	if c.unrecorded == 0 {
		close(c.idle)
		c.idle = make(chan struct{})
	}
}
