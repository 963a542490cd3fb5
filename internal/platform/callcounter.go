package platform

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// CallKind is what a call to the store is made for.
type CallKind string

// Kinds of calls to the store.
const (
	// CallRead reads a table, CallFollow waits for changes of one, and CallWrite writes or
	// deletes a row.
	CallRead   CallKind = "read"
	CallFollow CallKind = "follow"
	CallWrite  CallKind = "write"
)

// Call identifies the calls that are counted together.
type Call struct {
	Table string
	Kind  CallKind
	// Failed reports that the store did not answer or refused. A call that its caller has
	// canceled has not failed, nor has one whose answer is that the history is lost.
	Failed bool
}

// CallCounter makes calls to a store and counts them. It is safe for concurrent use.
type CallCounter struct {
	feed Feed
	rows RowWriter
	// onCall is called after each call; it may be nil.
	onCall func(Call)

	mu     sync.Mutex
	counts map[Call]int
}

var (
	_ Feed      = (*CallCounter)(nil)
	_ RowWriter = (*CallCounter)(nil)
)

// NewCallCounter returns a CallCounter for the calls of a store. onCall is called after each
// call; it may be nil.
func NewCallCounter(feed Feed, rows RowWriter, onCall func(Call)) *CallCounter {
	return &CallCounter{feed: feed, rows: rows, onCall: onCall, counts: map[Call]int{}}
}

// TakeCounts returns the number of calls since the last TakeCounts.
func (c *CallCounter) TakeCounts() map[Call]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := maps.Clone(c.counts)
	clear(c.counts)
	return counts
}

func (c *CallCounter) count(ctx context.Context, kind CallKind, table string, err error) {
	canceled := errors.Is(ctx.Err(), context.Canceled)
	call := Call{Table: table, Kind: kind, Failed: err != nil && !canceled && !errors.Is(err, ErrHistoryLost)}
	if c.onCall != nil {
		c.onCall(call)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[call]++
}

// ReadTable implements Feed.
func (c *CallCounter) ReadTable(ctx context.Context, table string) ([]FeedRow, Revision, error) {
	rows, revision, err := c.feed.ReadTable(ctx, table)
	c.count(ctx, CallRead, table, err)
	return rows, revision, err
}

// Changes implements Feed.
func (c *CallCounter) Changes(ctx context.Context, table string, after Revision, wait time.Duration) ([]FeedRow, Revision, error) {
	rows, revision, err := c.feed.Changes(ctx, table, after, wait)
	c.count(ctx, CallFollow, table, err)
	return rows, revision, err
}

// PutRow implements RowWriter.
func (c *CallCounter) PutRow(ctx context.Context, table, key string, value []byte) (Revision, error) {
	revision, err := c.rows.PutRow(ctx, table, key, value)
	c.count(ctx, CallWrite, table, err)
	return revision, err
}

// DeleteRow implements RowWriter.
func (c *CallCounter) DeleteRow(ctx context.Context, table, key string) error {
	err := c.rows.DeleteRow(ctx, table, key)
	c.count(ctx, CallWrite, table, err)
	return err
}
