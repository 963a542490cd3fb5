package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/platform"
)

// pendingWrite is a row to be written in a later transaction.
type pendingWrite struct {
	key      string
	revision uint64 // the expected revision of the row; zero: absent
	value    []byte
	// inFlight reports that a transaction with the write is in flight,
	// mayHaveCommitted that the result of an earlier one is unknown.
	inFlight, mayHaveCommitted bool
	// final marks the record of an outcome. No caller waits for it, so claims take
	// precedence.
	final bool
	// canceled excludes the write from further transactions.
	canceled bool
	// onResult is called once with the result, on the committer's goroutine. It
	// must not block.
	onResult func(writeResult)
}

// writeResult is the revision of the written row, or the conflicting row if
// conflict is not nil.
type writeResult struct {
	revision uint64
	conflict *platform.Row
}

// committer batches rows into transactions and runs one transaction at a time.
//
// The load pattern it addresses: 25,000 requests per second in the fleet, any
// fraction of them non-idempotent, against a table that accepts several hundred
// transactions per second. With one transaction per request, the table is
// saturated if one request in a hundred needs a claim, and all further claims
// wait until their callers time out.
//
// A transaction waits for Linger after its first row, so that a burst shares it;
// further rows queue while one is in flight. Rows in conflict are removed from
// the batch and the others are retried immediately.
type committer struct {
	cfg     Config
	table   platform.Table
	limiter *rate.Limiter
	onError func(error)

	mu sync.Mutex
	// A caller waits for each of the claims; none waits for the finals.
	claims, finals []*pendingWrite
	wake           chan struct{}
	// consecutiveFailures counts the failed transactions since the last success.
	consecutiveFailures int
}

// burstTransactions is how many transactions an idle committer may run without
// pacing, so that light traffic never waits for its share of the budget.
const burstTransactions = 4

func newCommitter(cfg Config, table platform.Table, onError func(error)) *committer {
	return &committer{
		cfg:     cfg,
		table:   table,
		limiter: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), burstTransactions),
		onError: onError,
		wake:    make(chan struct{}, 1),
	}
}

func (c *committer) submit(w *pendingWrite) {
	c.mu.Lock()
	c.enqueue(w)
	c.mu.Unlock()
	c.signal()
}

func (c *committer) enqueue(w *pendingWrite) {
	if w.final {
		c.finals = append(c.finals, w)
		return
	}
	c.claims = append(c.claims, w)
}

func (c *committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// cancel withdraws a write. It reports whether the write may have taken effect or
// may still do so.
func (c *committer) cancel(w *pendingWrite) (mayTakeEffect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.canceled = true
	return w.inFlight || w.mayHaveCommitted
}

// run commits queued writes until ctx ends.
func (c *committer) run(ctx context.Context) {
	for {
		if !c.hasPending() {
			select {
			case <-ctx.Done():
				return
			case <-c.wake:
				continue
			}
		}
		if !clock.Sleep(ctx, clock.Real, c.cfg.Linger) || c.limiter.Wait(ctx) != nil {
			return
		}
		if batch := c.nextBatch(); len(batch) > 0 && !c.commit(ctx, batch) {
			if !clock.Sleep(ctx, clock.Real, c.backoff()) {
				return
			}
		}
	}
}

func (c *committer) setRate(perSecond float64) {
	if perSecond > 0 {
		c.limiter.SetLimit(rate.Limit(perSecond))
	}
}

func (c *committer) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.claims)+len(c.finals) > 0
}

// finalShareDivisor determines how much of a transaction is reserved for final
// records while claims are waiting: the maximum number of rows divided by it.
// Without the reserve, a queue of claims that never empties would keep every
// outcome in memory.
const finalShareDivisor = 4

// nextBatch removes the rows of the next transaction from the queues. After a
// failure it takes a single row, so that a recovering table receives one small
// probe from each daemon rather than the whole backlog.
func (c *committer) nextBatch() []*pendingWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.consecutiveFailures > 0 {
		b := c.newBatch(1)
		c.claims = b.fill(c.claims, 1)
		c.finals = b.fill(c.finals, 1)
		return b.writes
	}
	b := c.newBatch(c.cfg.MaxBatchRows)
	c.claims = b.fill(c.claims, c.cfg.MaxBatchRows-min(len(c.finals), c.cfg.MaxBatchRows/finalShareDivisor))
	c.finals = b.fill(c.finals, c.cfg.MaxBatchRows)
	c.claims = b.fill(c.claims, c.cfg.MaxBatchRows)
	return b.writes
}

// batch collects the rows of a transaction. It never contains a key twice.
type batch struct {
	writes         []*pendingWrite
	keys           map[string]bool
	remainingBytes int
}

func (c *committer) newBatch(rows int) *batch {
	return &batch{keys: make(map[string]bool, rows), remainingBytes: c.cfg.MaxBatchBytes}
}

// fill moves writes from the queue into the batch until it has the given number of
// rows, and returns the rest of the queue.
func (b *batch) fill(queue []*pendingWrite, rows int) (rest []*pendingWrite) {
	for i, w := range queue {
		if len(b.writes) >= rows {
			return append(rest, queue[i:]...)
		}
		if w.canceled {
			continue
		}
		if b.keys[w.key] || (len(b.writes) > 0 && len(w.value) > b.remainingBytes) {
			rest = append(rest, w)
			continue
		}
		b.add(w)
	}
	return rest
}

func (b *batch) add(w *pendingWrite) {
	b.keys[w.key] = true
	b.remainingBytes -= len(w.value)
	b.writes = append(b.writes, w)
	w.inFlight = true
}

// commit tries one transaction. It returns false if the transaction failed for a
// reason other than a conflict of some of its rows.
func (c *committer) commit(ctx context.Context, batch []*pendingWrite) bool {
	commitCtx, cancel := context.WithTimeout(ctx, c.cfg.CommitTimeout)
	defer cancel()
	revision, err := c.table.Commit(commitCtx, c.buildTransaction(batch))
	var conflict *platform.Conflict
	switch {
	case err == nil:
		c.consecutiveFailures = 0
		for _, w := range batch {
			w.onResult(writeResult{revision: revision})
		}
		return true
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		c.consecutiveFailures = 0
		return c.handleConflict(batch, conflict)
	}
	c.consecutiveFailures++
	c.onError(err)
	var unavailable *platform.Unavailable
	c.requeue(batch, errors.As(err, &unavailable))
	return false
}

// handleConflict reports the rows in conflict and requeues the others.
func (c *committer) handleConflict(batch []*pendingWrite, conflict *platform.Conflict) bool {
	rows := make(map[string]platform.Row, len(conflict.Rows))
	for _, row := range conflict.Rows {
		rows[row.Key] = row
	}
	var rest []*pendingWrite
	for _, w := range batch {
		row, inConflict := rows[w.key]
		if !inConflict {
			rest = append(rest, w)
			continue
		}
		w.onResult(writeResult{conflict: &row})
	}
	c.requeue(rest, true)
	return len(rest) < len(batch)
}

// requeue puts writes back into their queues.
//
// A response may be lost after the write took effect, and a write may take effect
// late. It is then retried with an unchanged condition, so that it can take effect
// only once; the conflicting row shows the token of the claim that wrote it.
func (c *committer) requeue(batch []*pendingWrite, notCommitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		w.inFlight = false
		w.mayHaveCommitted = w.mayHaveCommitted || !notCommitted
		c.enqueue(w)
	}
}

func (c *committer) buildTransaction(batch []*pendingWrite) platform.Transaction {
	transaction := platform.Transaction{Operation: newOperationID()}
	for _, w := range batch {
		transaction.Conditions = append(transaction.Conditions, platform.Condition{Key: w.key, Revision: w.revision})
		transaction.Puts = append(transaction.Puts, platform.Put{Key: w.key, Value: w.value, TTL: c.cfg.RecordTTL})
	}
	return transaction
}

// backoff returns a delay with full jitter, so that the daemons do not retry
// simultaneously after an outage.
func (c *committer) backoff() time.Duration {
	limit := 2 * c.cfg.Backoff << min(c.consecutiveFailures-1, 16)
	return time.Duration(c.cfg.Random() * float64(min(limit, c.cfg.BackoffMax)))
}

const operationIDBytes = 16

func newOperationID() string {
	var b [operationIDBytes]byte
	// Since Go 1.24, crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return "claim-" + hex.EncodeToString(b[:])
}
