package config

import (
	"context"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// scanPageSize is the number of rows requested by one scan.
const scanPageSize = 100

// Get returns the current record of a service, which may be marked as deleted.
// The error is ErrNotFound if the service never existed.
func (e *Editor) Get(ctx context.Context, service ident.Service) (Record, error) {
	return e.getRecord(ctx, serviceKey(service))
}

// GetRevision returns the record of a service at a revision. Revisions older
// than 30 days have expired (ErrNotFound).
func (e *Editor) GetRevision(ctx context.Context, service ident.Service, revision uint64) (Record, error) {
	record, err := e.getRecord(ctx, historyKey(service, revision))
	if err != nil || record.Delta == nil {
		return record, err
	}
	return e.reconstruct(ctx, record)
}

// reconstruct fills in the text of a record by applying the deltas from the
// preceding full text up to that record.
func (e *Editor) reconstruct(ctx context.Context, record Record) (Record, error) {
	text := ""
	after := historyKey(record.Service, record.Chain.FullRevision-1)
	for {
		rows, err := e.Table.Scan(ctx, historyPrefix+string(record.Service)+"/", after, scanPageSize)
		if err != nil {
			return Record{}, err
		}
		for _, row := range rows {
			rowRecord, err := decode[Record](row)
			if err != nil {
				return Record{}, err
			}
			if text, err = rowRecord.applyTo(text); err != nil {
				return Record{}, err
			}
			if rowRecord.Revision == record.Revision {
				record.Text, record.Delta = text, nil
				return record, nil
			}
		}
		if len(rows) == 0 {
			return Record{}, merry.Prependf(ErrNotFound, "service %s at revision %d: the history has a gap", record.Service, record.Revision)
		}
		after = rows[len(rows)-1].Key
	}
}

// applyTo returns the text of a history row, given the text of the row before
// it.
func (r Record) applyTo(previous string) (string, error) {
	if r.Delta == nil {
		return r.Text, nil
	}
	text, err := r.Delta.apply(previous)
	return text, merry.Prependf(err, "service %s at revision %d", r.Service, r.Revision)
}

func (e *Editor) getRecord(ctx context.Context, key string) (Record, error) {
	rows, err := e.Table.Get(ctx, key)
	if err != nil {
		return Record{}, err
	}
	if len(rows) == 0 {
		return Record{}, ErrNotFound
	}
	return decode[Record](rows[0])
}

// List returns the current record of every service, sorted by name and
// including deleted services.
func (e *Editor) List(ctx context.Context) ([]Record, error) {
	return scanRecords(ctx, e.Table, servicePrefix)
}

// History returns the retained records of a service, oldest first. Most hold a
// Delta instead of Text; use GetRevision to get the text.
func (e *Editor) History(ctx context.Context, service ident.Service) ([]Record, error) {
	return scanRecords(ctx, e.Table, historyPrefix+string(service)+"/")
}

// Rollback writes the text of an earlier revision as a new revision. The note
// is appended to a standard one that names the earlier revision.
func (e *Editor) Rollback(ctx context.Context, service ident.Service, to, base uint64, note string) (uint64, error) {
	earlier, err := e.GetRevision(ctx, service, to)
	if err != nil {
		return 0, err
	}
	fullNote := fmt.Sprintf("rollback to revision %d", to)
	if note != "" {
		fullNote += ": " + note
	}
	if earlier.Deleted {
		return e.Delete(ctx, service, base, fullNote)
	}
	return e.Apply(ctx, []byte(earlier.Text), base, fullNote)
}

func scanRecords(ctx context.Context, table platform.Table, prefix string) ([]Record, error) {
	var records []Record
	after := ""
	for {
		rows, err := table.Scan(ctx, prefix, after, scanPageSize)
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
		if len(rows) < scanPageSize {
			return records, nil
		}
		after = rows[len(rows)-1].Key
	}
}
