package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

const (
	// maxApplyAttempts limits how often a change is attempted when concurrent
	// changes of other services conflict with it. In each round at least one of
	// the competing changes succeeds.
	maxApplyAttempts = 16
	// maxRetryDelay is the maximum delay before another attempt.
	maxRetryDelay = 100 * time.Millisecond
)

// EditConflict reports that a change was based on a revision other than the
// current one, because another operator changed the service in the meantime.
type EditConflict struct {
	// Base is the revision that the change was based on.
	Base uint64
	// Current is the current record; its Revision is zero if the service does
	// not exist.
	Current Record
	// Diff is a unified diff from the base to the current document.
	Diff string
}

// Error implements error.
func (c *EditConflict) Error() string {
	if c.Current.Revision == 0 {
		return fmt.Sprintf("conflict: the change is based on revision %d, but the service does not exist", c.Base)
	}
	if c.Current.Deleted {
		return fmt.Sprintf("conflict: the change is based on revision %d, but %s deleted service %s at revision %d at %s",
			c.Base, c.Current.Author, c.Current.Service, c.Current.Revision, c.Current.At.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("conflict: the change of service %s is based on revision %d, but %s changed it to revision %d at %s",
		c.Current.Service, c.Base, c.Current.Author, c.Current.Revision, c.Current.At.UTC().Format(time.RFC3339))
}

// CurrentBase returns the base that a new change must specify.
func (c *EditConflict) CurrentBase() uint64 { return c.Current.base() }

// ErrNotFound reports that the table does not contain the service or revision.
var ErrNotFound = merry.Sentinel("the table holds no such service or revision")

// ModelConflict reports that a document names a model that another service
// owns.
type ModelConflict struct {
	Model string
	Owner ident.Service
}

// Error implements error.
func (m *ModelConflict) Error() string {
	return fmt.Sprintf("model %s belongs to service %s", m.Model, m.Owner)
}

// Editor changes documents in the table. It is safe for concurrent use.
type Editor struct {
	// Table is the platform's table.
	Table platform.Table
	// Author is stored with each change, for example a login name.
	Author string
	// Clock defaults to clock.Real.
	Clock clock.Clock
}

// Apply validates a document and writes it as the successor of base, the
// revision that the operator has read; zero means that the service is new or
// deleted. It returns the new revision. The error is a *document.Invalid,
// *EditConflict, *ModelConflict, *platform.Unavailable (nothing was written) or
// *platform.UnknownOutcome (the change may have been written; History shows
// whether it was).
func (e *Editor) Apply(ctx context.Context, text []byte, base uint64, note string) (uint64, error) {
	d, err := document.Parse(text)
	if err != nil {
		return 0, err
	}
	return e.write(ctx, edit{service: d.Service, models: d.Models, text: text, base: base, note: note})
}

// Delete removes a service. Its row stays in the table as a tombstone, because
// a daemon or archive that still holds the document must see a higher revision.
func (e *Editor) Delete(ctx context.Context, service ident.Service, base uint64, note string) (uint64, error) {
	return e.write(ctx, edit{service: service, deleted: true, base: base, note: note})
}

// edit is a requested change.
type edit struct {
	service ident.Service
	models  []string
	text    []byte
	deleted bool
	base    uint64
	note    string
}

func (e *Editor) clockOrDefault() clock.Clock {
	if e.Clock == nil {
		return clock.Real
	}
	return e.Clock
}

func (e *Editor) write(ctx context.Context, change edit) (uint64, error) {
	var err error
	for range maxApplyAttempts {
		var revision uint64
		revision, err = e.tryWrite(ctx, change)
		var conflict *platform.Conflict
		if !errors.As(err, &conflict) {
			return revision, err
		}
		// Another change, of this service or of a different one, was committed
		// first. The next attempt rereads the table and distinguishes the two.
		delay := rand.N(maxRetryDelay)
		select {
		case <-ctx.Done():
			return 0, &platform.Unavailable{Cause: ctx.Err()}
		case <-e.clockOrDefault().After(delay):
		}
	}
	return 0, merry.Prependf(err, "gave up after %d tries against other changes", maxApplyAttempts)
}

// tryWrite attempts to write the change on top of the current state of the
// table. A *platform.Conflict means that the table has changed since it was
// read and that nothing was written.
func (e *Editor) tryWrite(ctx context.Context, change edit) (uint64, error) {
	state, err := e.readState(ctx, change)
	if err != nil {
		return 0, err
	}
	if state.current.base() != change.base {
		return 0, e.newConflict(ctx, change, state.current)
	}
	if change.deleted && change.base == 0 {
		return 0, ErrNotFound
	}
	tx, revision := state.transaction(change, e.newRecord(change))
	if _, err = e.Table.Commit(ctx, tx); err != nil {
		return 0, resolveSuperseded(err)
	}
	return revision, nil
}

// resolveSuperseded converts a superseded write to a conflict. The client
// retried the commit because a response was lost; conditions of the retry
// failed, and none of the conflicting rows came from this commit. If the first
// request had been executed, its history row, which is never modified, would be
// among the conflicting rows. So nothing was written, and a delayed copy of the
// request cannot be executed either, because the head row never returns to the
// revision that its condition names.
func resolveSuperseded(err error) error {
	var superseded *platform.Superseded
	if !errors.As(err, &superseded) {
		return err
	}
	return &platform.Conflict{Rows: superseded.Rows}
}

func (e *Editor) newRecord(change edit) Record {
	return Record{
		Service: change.service,
		Deleted: change.deleted,
		Author:  e.Author,
		Note:    change.note,
		At:      e.clockOrDefault().Now().UTC(),
		Text:    string(change.text),
	}
}

// newConflict describes the change that was committed first. An edit with the
// same text as the current document is rejected as well, because the operator
// has to know that someone else made a change.
func (e *Editor) newConflict(ctx context.Context, change edit, current Record) error {
	c := &EditConflict{Base: change.base, Current: current}
	base, err := e.GetRevision(ctx, change.service, change.base)
	if err != nil {
		base = Record{Text: string(change.text)}
	}
	c.Diff = Diff(base, current)
	return c
}

// editState is the part of the table that a change depends on.
type editState struct {
	head    headRow
	recent  recentList
	current Record
	// rows maps keys to rows; the revision of a missing row is zero.
	rows map[string]platform.Row
	// removedModels lists the models of the current document that the new one
	// does not contain.
	removedModels []string
}

// base returns the revision that an edit of the record must be based on. It is
// zero for a deleted service, which is created again as if it were new.
func (r Record) base() uint64 {
	if r.Deleted {
		return 0
	}
	return r.Revision
}

func (e *Editor) readState(ctx context.Context, change edit) (editState, error) {
	state := editState{rows: map[string]platform.Row{}}
	keys := []string{headKey, recentKey, serviceKey(change.service)}
	for _, model := range change.models {
		keys = append(keys, modelKey(model))
	}
	if err := e.readRows(ctx, state.rows, keys); err != nil {
		return state, err
	}
	var err error
	if state.head, err = decodeIfPresent[headRow](state.rows[headKey]); err != nil {
		return state, err
	}
	if state.recent, err = decodeIfPresent[recentList](state.rows[recentKey]); err != nil {
		return state, err
	}
	if state.current, err = decodeIfPresent[Record](state.rows[serviceKey(change.service)]); err != nil {
		return state, err
	}
	if err := state.checkModelOwners(change); err != nil {
		return state, err
	}
	return state, e.readRemovedModels(ctx, &state, change)
}

func (e *Editor) readRows(ctx context.Context, dst map[string]platform.Row, keys []string) error {
	rows, err := e.Table.Get(ctx, keys...)
	for _, row := range rows {
		dst[row.Key] = row
	}
	return err
}

func decodeIfPresent[T any](row platform.Row) (T, error) {
	if row.Revision == 0 {
		var zero T
		return zero, nil
	}
	return decode[T](row)
}

func (s editState) checkModelOwners(change edit) error {
	for _, model := range change.models {
		row := s.rows[modelKey(model)]
		if owner := ident.Service(row.Value); row.Revision != 0 && owner != change.service {
			return &ModelConflict{Model: model, Owner: owner}
		}
	}
	return nil
}

func (e *Editor) readRemovedModels(ctx context.Context, state *editState, change edit) error {
	if state.current.Text == "" {
		return nil
	}
	previous, err := document.Parse([]byte(state.current.Text))
	if err != nil {
		return nil // Written by another release; keep its model rows.
	}
	retained := map[string]bool{}
	for _, model := range change.models {
		retained[model] = true
	}
	var keys []string
	for _, model := range previous.Models {
		if !retained[model] {
			state.removedModels = append(state.removedModels, model)
			keys = append(keys, modelKey(model))
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return e.readRows(ctx, state.rows, keys)
}

// transaction builds the transaction of a change and returns it with the new
// revision. Its conditions cover every row that it writes, so that it can be
// committed only once and is safe to retry.
func (s editState) transaction(change edit, record Record) (platform.Transaction, uint64) {
	next := s.head.next(change.service, s.current.Revision)
	record.Revision, record.Previous = next.Revision, s.current.Revision
	history, ttl := record.historyRow(s.current)
	record.Chain = history.Chain
	b := txBuilder{rows: s.rows, tx: platform.Transaction{Operation: platform.NewOperationID()}}
	b.put(headKey, encode(next), 0)
	b.put(recentKey, encode(s.recent.next(change.service, next.Revision)), 0)
	b.put(serviceKey(change.service), encode(record), 0)
	b.put(historyKey(change.service, next.Revision), encode(history), ttl)
	for _, model := range change.models {
		if !bytes.Equal(s.rows[modelKey(model)].Value, []byte(change.service)) {
			b.put(modelKey(model), []byte(change.service), 0)
		}
	}
	for _, model := range s.removedModels {
		b.remove(modelKey(model))
	}
	return b.tx, next.Revision
}

type txBuilder struct {
	rows map[string]platform.Row
	tx   platform.Transaction
}

func (b *txBuilder) requireUnchanged(key string) {
	b.tx.Conditions = append(b.tx.Conditions, platform.Condition{Key: key, Revision: b.rows[key].Revision})
}

func (b *txBuilder) put(key string, value []byte, ttl time.Duration) {
	b.requireUnchanged(key)
	b.tx.Puts = append(b.tx.Puts, platform.Put{Key: key, Value: value, TTL: ttl})
}

func (b *txBuilder) remove(key string) {
	b.requireUnchanged(key)
	b.tx.Deletes = append(b.tx.Deletes, key)
}
