package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/platform"
)

// fault determines how a fakeTable handles one transaction.
type fault int

const (
	faultNone    fault = iota
	faultDown          // rejected without effect
	faultLost          // takes effect, but the response is lost
	faultDelayed       // takes effect when applyDelayed is called
	faultDropped       // no effect and no response
)

// fakeTable is an in-memory table. Each transaction consumes the next of faults;
// when none is left, defaultFault applies.
type fakeTable struct {
	mu           sync.Mutex
	rows         map[string]platform.Row
	revision     uint64
	faults       []fault
	defaultFault fault
	latency      time.Duration
	delayed      []platform.Transaction
	commits      int
	rowsWritten  int
}

func newFakeTable(faults ...fault) *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, faults: faults}
}

var errInjected = errors.New("injected")

func (t *fakeTable) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	if !clock.Sleep(ctx, clock.Real, t.latency) {
		return 0, &platform.UnknownOutcome{Cause: ctx.Err()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	switch t.nextFault() {
	case faultDown:
		return 0, &platform.Unavailable{Cause: errInjected}
	case faultLost:
		_, _ = t.apply(tx)
		return 0, &platform.UnknownOutcome{Cause: errInjected}
	case faultDelayed:
		t.delayed = append(t.delayed, tx)
		return 0, &platform.UnknownOutcome{Cause: errInjected}
	case faultDropped:
		return 0, &platform.UnknownOutcome{Cause: errInjected}
	}
	return t.apply(tx)
}

func (t *fakeTable) nextFault() fault {
	if len(t.faults) == 0 {
		return t.defaultFault
	}
	f := t.faults[0]
	t.faults = t.faults[1:]
	return f
}

func (t *fakeTable) apply(tx platform.Transaction) (uint64, error) {
	var conflict platform.Conflict
	for _, c := range tx.Conditions {
		if row := t.rows[c.Key]; row.Revision != c.Revision {
			row.Key = c.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, &conflict
	}
	t.revision++
	for _, p := range tx.Puts {
		t.rowsWritten++
		t.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Revision: t.revision, Operation: tx.Operation}
	}
	return t.revision, nil
}

// applyDelayed applies the delayed transactions.
func (t *fakeTable) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tx := range t.delayed {
		_, _ = t.apply(tx)
	}
	t.delayed = nil
}

func (t *fakeTable) setDefaultFault(always fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.defaultFault = always
}

func (t *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for _, k := range keys {
		if row, ok := t.rows[k]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (t *fakeTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errInjected
}
