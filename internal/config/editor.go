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
	// applyAttempts bounds how often a change is tried again because a change
	// of another service went first. Each round some change goes through.
	applyAttempts = 16
	// applyPause is the longest wait before another try.
	applyPause = 100 * time.Millisecond
)

// EditConflict is the error of a change that was based on another revision
// than the present one: another operator's change went first.
type EditConflict struct {
	// Base is the revision that the change was based on.
	Base uint64
	// Present is the record in force; its Revision is zero where the service
	// does not exist.
	Present Record
	// Diff leads from the base to the present document, as a unified diff.
	Diff string
}

// Error implements error.
func (c *EditConflict) Error() string {
	if c.Present.Revision == 0 {
		return fmt.Sprintf("conflict: the change is based on revision %d, but the service does not exist", c.Base)
	}
	if c.Present.Deleted {
		return fmt.Sprintf("conflict: the change is based on revision %d, but %s deleted service %s at revision %d at %s",
			c.Base, c.Present.Author, c.Present.Service, c.Present.Revision, c.Present.At.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("conflict: the change of service %s is based on revision %d, but %s changed it to revision %d at %s",
		c.Present.Service, c.Base, c.Present.Author, c.Present.Revision, c.Present.At.UTC().Format(time.RFC3339))
}

// PresentBase returns the base that a change must name now.
func (c *EditConflict) PresentBase() uint64 { return c.Present.base() }

// ErrNoService is the error of a service or revision that the table does not
// hold.
var ErrNoService = merry.Sentinel("the table holds no such service or revision")

// ModelTaken is the error of a document that names another service's model.
type ModelTaken struct {
	Model string
	Owner ident.Service
}

// Error implements error.
func (m *ModelTaken) Error() string {
	return fmt.Sprintf("model %s belongs to service %s", m.Model, m.Owner)
}

// Editor changes documents in the table. It is safe for concurrent use.
type Editor struct {
	// Table is the platform's table.
	Table platform.Table
	// Author is stored with each change, such as a login name.
	Author string
	// Clock defaults to the real one.
	Clock clock.Clock
}

// Apply checks a document and writes it as the successor of base, the revision
// that the operator has seen; zero means that the service is new or deleted.
// It returns the new revision. The error is a *document.Invalid, *EditConflict,
// *ModelTaken, *platform.Unavailable (nothing was written) or
// *platform.Unknown (see History).
func (e *Editor) Apply(ctx context.Context, text []byte, base uint64, note string) (uint64, error) {
	d, err := document.Parse(text)
	if err != nil {
		return 0, err
	}
	return e.write(ctx, edit{service: d.Service, models: d.Models, text: text, base: base, note: note})
}

// Delete ends a service. Its entry stays in the table as deleted, because a
// daemon or snapshot that still holds the document must see a higher revision.
func (e *Editor) Delete(ctx context.Context, service ident.Service, base uint64, note string) (uint64, error) {
	return e.write(ctx, edit{service: service, deleted: true, base: base, note: note})
}

// edit is one intended change.
type edit struct {
	service ident.Service
	models  []string
	text    []byte
	deleted bool
	base    uint64
	note    string
}

func (e *Editor) timing() clock.Clock {
	if e.Clock == nil {
		return clock.Real
	}
	return e.Clock
}

func (e *Editor) write(ctx context.Context, change edit) (uint64, error) {
	var err error
	for range applyAttempts {
		var revision uint64
		revision, err = e.try(ctx, change)
		var conflict *platform.Conflict
		if !errors.As(err, &conflict) {
			return revision, err
		}
		// Either another service's change went first, or one of this service;
		// the next try reads the table anew and tells them apart.
		pause := rand.N(applyPause)
		select {
		case <-ctx.Done():
			return 0, &platform.Unavailable{Cause: ctx.Err()}
		case <-e.timing().After(pause):
		}
	}
	return 0, merry.Prependf(err, "gave up after %d tries against other changes", applyAttempts)
}

// try writes the change on what the table holds now. A *platform.Conflict
// tells that the table has moved on and nothing was written.
func (e *Editor) try(ctx context.Context, change edit) (uint64, error) {
	now, err := e.read(ctx, change)
	if err != nil {
		return 0, err
	}
	if now.present.base() != change.base {
		return 0, e.conflict(ctx, change, now.present)
	}
	if change.deleted && change.base == 0 {
		return 0, ErrNoService
	}
	tx, revision := now.transaction(change, e.record(change))
	if _, err = e.Table.Commit(ctx, tx); err != nil {
		return 0, settle(err)
	}
	return revision, nil
}

// settle decides a superseded write. The client repeated the commit because an
// answer was lost, and found conditions that do not hold and no row of ours
// among them. Had the first copy taken effect, the history row, which nobody
// changes, would be among them. So nothing was written, and no late copy can
// take effect either, because the head's revision never comes back.
func settle(err error) error {
	var superseded *platform.Superseded
	if !errors.As(err, &superseded) {
		return err
	}
	return &platform.Conflict{Rows: superseded.Rows}
}

func (e *Editor) record(change edit) Record {
	return Record{
		Service: change.service,
		Deleted: change.deleted,
		Author:  e.Author,
		Note:    change.note,
		At:      e.timing().Now().UTC(),
		Text:    string(change.text),
	}
}

// conflict describes the change that went first. A text equal to the present
// one is no conflict for people, but it is still refused: the operator has to
// see that someone else acted.
func (e *Editor) conflict(ctx context.Context, change edit, present Record) error {
	c := &EditConflict{Base: change.base, Present: present}
	base, err := e.At(ctx, change.service, change.base)
	if err != nil {
		base = Record{Text: string(change.text)}
	}
	c.Diff = Diff(base, present)
	return c
}

// tableState is what one change depends on.
type tableState struct {
	head    head
	recent  recent
	present Record
	// rows are the table's rows by key; absent rows have revision zero.
	rows map[string]platform.Row
	// dropped are the models that the present document has and the new one
	// has not.
	dropped []string
}

// base is the revision that an edit on top of the record must name: a deleted
// service is created anew with zero, as if it had never been.
func (r Record) base() uint64 {
	if r.Deleted {
		return 0
	}
	return r.Revision
}

func (e *Editor) read(ctx context.Context, change edit) (tableState, error) {
	state := tableState{rows: map[string]platform.Row{}}
	keys := []string{headKey, recentKey, serviceKey(change.service)}
	for _, model := range change.models {
		keys = append(keys, modelKey(model))
	}
	if err := e.readRows(ctx, state.rows, keys); err != nil {
		return state, err
	}
	var err error
	if state.head, err = decodeIfPresent[head](state.rows[headKey]); err != nil {
		return state, err
	}
	if state.recent, err = decodeIfPresent[recent](state.rows[recentKey]); err != nil {
		return state, err
	}
	if state.present, err = decodeIfPresent[Record](state.rows[serviceKey(change.service)]); err != nil {
		return state, err
	}
	if err := state.checkModels(change); err != nil {
		return state, err
	}
	return state, e.readDropped(ctx, &state, change)
}

func (e *Editor) readRows(ctx context.Context, into map[string]platform.Row, keys []string) error {
	rows, err := e.Table.Get(ctx, keys...)
	for _, row := range rows {
		into[row.Key] = row
	}
	return err
}

func decodeIfPresent[T any](row platform.Row) (T, error) {
	if row.Revision == 0 {
		var none T
		return none, nil
	}
	return decode[T](row)
}

func (t tableState) checkModels(change edit) error {
	for _, model := range change.models {
		row := t.rows[modelKey(model)]
		if owner := ident.Service(row.Value); row.Revision != 0 && owner != change.service {
			return &ModelTaken{Model: model, Owner: owner}
		}
	}
	return nil
}

func (e *Editor) readDropped(ctx context.Context, state *tableState, change edit) error {
	if state.present.Text == "" {
		return nil
	}
	old, err := document.Parse([]byte(state.present.Text))
	if err != nil {
		return nil // Written by another release; its model rows stay.
	}
	kept := map[string]bool{}
	for _, model := range change.models {
		kept[model] = true
	}
	var keys []string
	for _, model := range old.Models {
		if !kept[model] {
			state.dropped = append(state.dropped, model)
			keys = append(keys, modelKey(model))
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return e.readRows(ctx, state.rows, keys)
}

// transaction builds the change. Its conditions cover every row that it
// writes, so that it can take effect once only and a repeat is safe.
func (t tableState) transaction(change edit, record Record) (platform.Transaction, uint64) {
	next := t.head.next(change.service, t.present.Revision)
	record.Revision, record.Previous = next.Revision, t.present.Revision
	history, ttl := record.historyRow(t.present)
	record.Chain = history.Chain
	w := txBuilder{rows: t.rows, tx: platform.Transaction{Operation: platform.NewOperation()}}
	w.put(headKey, encode(next), 0)
	w.put(recentKey, encode(t.recent.next(change.service, next.Revision)), 0)
	w.put(serviceKey(change.service), encode(record), 0)
	w.put(historyKey(change.service, next.Revision), encode(history), ttl)
	for _, model := range change.models {
		if !bytes.Equal(t.rows[modelKey(model)].Value, []byte(change.service)) {
			w.put(modelKey(model), []byte(change.service), 0)
		}
	}
	for _, model := range t.dropped {
		w.remove(modelKey(model))
	}
	return w.tx, next.Revision
}

type txBuilder struct {
	rows map[string]platform.Row
	tx   platform.Transaction
}

func (w *txBuilder) require(key string) {
	w.tx.Conditions = append(w.tx.Conditions, platform.Condition{Key: key, Revision: w.rows[key].Revision})
}

func (w *txBuilder) put(key string, value []byte, ttl time.Duration) {
	w.require(key)
	w.tx.Puts = append(w.tx.Puts, platform.Put{Key: key, Value: value, TTL: ttl})
}

func (w *txBuilder) remove(key string) {
	w.require(key)
	w.tx.Deletes = append(w.tx.Deletes, key)
}
