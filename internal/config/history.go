package config

import (
	"context"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// scanPage is how many rows one scan asks for.
const scanPage = 100

// Get returns the present record of a service; its Deleted may be set. The
// error is ErrNoService where the service never existed.
func (e *Editor) Get(ctx context.Context, service ident.Service) (Record, error) {
	return e.getRecord(ctx, serviceKey(service))
}

// At returns a service's record at a revision. Revisions older than 30 days
// are gone (ErrNoService).
func (e *Editor) At(ctx context.Context, service ident.Service, revision uint64) (Record, error) {
	record, err := e.getRecord(ctx, historyKey(service, revision))
	if err != nil || record.Delta == nil {
		return record, err
	}
	return e.unfold(ctx, record)
}

// unfold applies the deltas from the last whole text to a record.
func (e *Editor) unfold(ctx context.Context, record Record) (Record, error) {
	text := ""
	after := historyKey(record.Service, record.Chain.Whole-1)
	for {
		rows, err := e.Table.Scan(ctx, historyPrefix+string(record.Service)+"/", after, scanPage)
		if err != nil {
			return Record{}, err
		}
		for _, row := range rows {
			step, err := decode[Record](row)
			if err != nil {
				return Record{}, err
			}
			if text, err = step.textAfter(text); err != nil {
				return Record{}, err
			}
			if step.Revision == record.Revision {
				record.Text, record.Delta = text, nil
				return record, nil
			}
		}
		if len(rows) == 0 {
			return Record{}, merry.Prependf(ErrNoService, "service %s at revision %d: the history has a gap", record.Service, record.Revision)
		}
		after = rows[len(rows)-1].Key
	}
}

// textAfter returns the text of a history row, given the text before it.
func (r Record) textAfter(before string) (string, error) {
	if r.Delta == nil {
		return r.Text, nil
	}
	text, err := r.Delta.apply(before)
	return text, merry.Prependf(err, "service %s at revision %d", r.Service, r.Revision)
}

func (e *Editor) getRecord(ctx context.Context, key string) (Record, error) {
	rows, err := e.Table.Get(ctx, key)
	if err != nil {
		return Record{}, err
	}
	if len(rows) == 0 {
		return Record{}, ErrNoService
	}
	return decode[Record](rows[0])
}

// List returns the present record of every service by name, deleted ones
// included.
func (e *Editor) List(ctx context.Context) ([]Record, error) {
	return scanRecords(ctx, e.Table, servicePrefix)
}

// History returns the kept records of a service, the oldest first. Most hold a
// Delta in place of their Text; At returns the text.
func (e *Editor) History(ctx context.Context, service ident.Service) ([]Record, error) {
	return scanRecords(ctx, e.Table, historyPrefix+string(service)+"/")
}

// Rollback writes the text of an earlier revision as a new revision. The note
// follows the fixed one.
func (e *Editor) Rollback(ctx context.Context, service ident.Service, to, base uint64, note string) (uint64, error) {
	old, err := e.At(ctx, service, to)
	if err != nil {
		return 0, err
	}
	fixed := fmt.Sprintf("rollback to revision %d", to)
	if note != "" {
		fixed += ": " + note
	}
	if old.Deleted {
		return e.Delete(ctx, service, base, fixed)
	}
	return e.Apply(ctx, []byte(old.Text), base, fixed)
}

func scanRecords(ctx context.Context, table platform.Table, prefix string) ([]Record, error) {
	var records []Record
	after := ""
	for {
		rows, err := table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			record, err := decode[Record](row)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
		if len(rows) < scanPage {
			return records, nil
		}
		after = rows[len(rows)-1].Key
	}
}
