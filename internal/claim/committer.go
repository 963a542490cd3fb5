package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/platform"
)

// write is one row of a transaction to come.
type write struct {
	key      string
	revision uint64 // the row's revision before; zero: absent
	value    []byte
	// sent tells that a transaction with the write is in flight, maybe that an
	// earlier one was not settled.
	sent, maybe bool
	// final marks the record of an outcome: nobody waits for it, so claims go
	// first.
	final bool
	// canceled keeps the write out of further transactions.
	canceled bool
	// done gets the result, once, on the committer's goroutine. It must not block.
	done func(writeResult)
}

// writeResult is a row written (Conflict nil) or the row that was in the way.
type writeResult struct {
	revision uint64
	conflict *platform.Row
}

// committer writes many rows in one transaction, one transaction at a time.
//
// The load pattern: 25,000 requests a second in the fleet, any part of them
// unrepeatable, against a table that takes several hundred transactions a
// second. With one transaction a request the table is full at one request in a
// hundred, and every claim behind waits out its caller.
//
// A transaction waits for Linger after the first row, so that a burst shares
// it; while one is in flight the next rows gather. A row in conflict is taken
// out and the others are tried again at once.
type committer struct {
	cfg   Config
	table platform.Table
	pace  *rate.Limiter
	onErr func(error)

	mu sync.Mutex
	// claims have a caller who waits; finals have not.
	claims, finals []*write
	wake           chan struct{}
	// fails counts failed transactions in a row.
	fails int
}

// burst is the transactions that an idle committer may make at once, so that
// light traffic never waits for its share of the budget.
const burst = 4

func newCommitter(cfg Config, table platform.Table, onErr func(error)) *committer {
	return &committer{
		cfg:   cfg,
		table: table,
		pace:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), burst),
		onErr: onErr,
		wake:  make(chan struct{}, 1),
	}
}

func (c *committer) submit(w *write) {
	c.mu.Lock()
	c.push(w)
	c.mu.Unlock()
	c.signal()
}

func (c *committer) push(w *write) {
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

// cancel withdraws a write. It returns whether the write may have taken effect
// or may still do so.
func (c *committer) cancel(w *write) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.canceled = true
	return w.sent || w.maybe
}

// run commits until ctx ends.
func (c *committer) run(ctx context.Context) {
	for {
		if !c.pending() {
			select {
			case <-ctx.Done():
				return
			case <-c.wake:
				continue
			}
		}
		if !sleep(ctx, c.cfg.Linger) || c.pace.Wait(ctx) != nil {
			return
		}
		if batch := c.take(); len(batch) > 0 && !c.commit(ctx, batch) {
			if !sleep(ctx, c.backoff()) {
				return
			}
		}
	}
}

func (c *committer) setPace(n float64) {
	if n > 0 {
		c.pace.SetLimit(rate.Limit(n))
	}
}

func (c *committer) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.claims)+len(c.finals) > 0
}

// finalShare is the part of a transaction, as a divisor, that final records may
// take while claims wait: else a queue of claims that never empties would keep
// every outcome in memory.
const finalShare = 4

// take removes the next transaction's rows from the queues. After a failure it
// is a single row: the table that comes back gets one small probe from each
// daemon, not all that has gathered.
func (c *committer) take() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fails > 0 {
		b := c.newBatch(1)
		c.claims = b.fill(c.claims, 1)
		c.finals = b.fill(c.finals, 1)
		return b.writes
	}
	b := c.newBatch(c.cfg.BatchRows)
	c.claims = b.fill(c.claims, c.cfg.BatchRows-min(len(c.finals), c.cfg.BatchRows/finalShare))
	c.finals = b.fill(c.finals, c.cfg.BatchRows)
	c.claims = b.fill(c.claims, c.cfg.BatchRows)
	return b.writes
}

// batch is a transaction in the making. It never holds the same key twice.
type batch struct {
	writes []*write
	keys   map[string]bool
	space  int
}

func (c *committer) newBatch(rows int) *batch {
	return &batch{keys: make(map[string]bool, rows), space: c.cfg.BatchBytes}
}

// fill moves writes from the queue until the batch has the given rows, and
// returns what is left of the queue.
func (b *batch) fill(queue []*write, rows int) (rest []*write) {
	for i, w := range queue {
		if len(b.writes) >= rows {
			return append(rest, queue[i:]...)
		}
		if w.canceled {
			continue
		}
		if b.keys[w.key] || (len(b.writes) > 0 && len(w.value) > b.space) {
			rest = append(rest, w)
			continue
		}
		b.add(w)
	}
	return rest
}

func (b *batch) add(w *write) {
	b.keys[w.key] = true
	b.space -= len(w.value)
	b.writes = append(b.writes, w)
	w.sent = true
}

// commit tries one transaction. It is false where the table was out of reach.
func (c *committer) commit(ctx context.Context, batch []*write) bool {
	try, cancel := context.WithTimeout(ctx, c.cfg.CommitTimeout)
	defer cancel()
	revision, err := c.table.Commit(try, c.transaction(batch))
	var conflict *platform.Conflict
	switch {
	case err == nil:
		c.fails = 0
		for _, w := range batch {
			w.done(writeResult{revision: revision})
		}
		return true
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		c.fails = 0
		return c.split(batch, conflict)
	}
	c.fails++
	c.onErr(err)
	var unavailable *platform.Unavailable
	c.requeue(batch, errors.As(err, &unavailable))
	return false
}

// split reports the rows in conflict and queues the others again.
func (c *committer) split(batch []*write, conflict *platform.Conflict) bool {
	rows := make(map[string]platform.Row, len(conflict.Rows))
	for _, row := range conflict.Rows {
		rows[row.Key] = row
	}
	var rest []*write
	for _, w := range batch {
		row, hit := rows[w.key]
		if !hit {
			rest = append(rest, w)
			continue
		}
		w.done(writeResult{conflict: &row})
	}
	c.requeue(rest, true)
	return len(rest) < len(batch)
}

// requeue puts writes back in their queues.
//
// An answer may be lost after the write took effect, and an effect may come
// late. The write is then tried again with its condition as before, so that it
// can take effect once only, and the row that is in the way shows the token of
// the claim that wrote it.
func (c *committer) requeue(batch []*write, unwritten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range batch {
		w.sent = false
		w.maybe = w.maybe || !unwritten
		c.push(w)
	}
}

func (c *committer) transaction(batch []*write) platform.Transaction {
	tx := platform.Transaction{Operation: newOperation()}
	for _, w := range batch {
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: w.key, Revision: w.revision})
		tx.Puts = append(tx.Puts, platform.Put{Key: w.key, Value: w.value, TTL: c.cfg.RecordTTL})
	}
	return tx
}

// backoff returns a wait with full jitter, so that the daemons do not come back
// together after an outage.
func (c *committer) backoff() time.Duration {
	limit := 2 * c.cfg.Backoff << min(c.fails-1, 16)
	return time.Duration(c.cfg.Random() * float64(min(limit, c.cfg.BackoffMax)))
}

const operationBytes = 16

func newOperation() string {
	var b [operationBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(b[:])
	return "claim-" + hex.EncodeToString(b[:])
}

// sleep waits; it is false where ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
