package config

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// fetchRecent reads the changes listed in the row of recent changes: as deltas
// if the preceding revision is active, otherwise as full documents.
func (w *Watcher) fetchRecent(ctx context.Context) error {
	rows, err := w.get(ctx, recentKey)
	if err != nil || len(rows) == 0 {
		return err
	}
	changes, err := decode[recentList](rows[0])
	if err != nil {
		return err
	}
	if err := w.fetchDeltas(ctx, w.missingChanges(changes)); err != nil {
		return err
	}
	return w.fetchDocuments(ctx, w.missingChanges(changes))
}

func (w *Watcher) missingChanges(changes recentList) []changeRef {
	seen := w.config.Store.seenRevisions()
	var missing []changeRef
	for _, c := range changes {
		if c.Revision > seen[c.Service] {
			missing = append(missing, c)
		}
	}
	return missing
}

func (w *Watcher) fetchDeltas(ctx context.Context, missing []changeRef) error {
	var keys []string
	for _, c := range missing {
		keys = append(keys, historyKey(c.Service, c.Revision))
	}
	records, err := w.getRecords(ctx, keys)
	if err != nil {
		return err
	}
	var complete []Record
	for _, r := range records {
		if r.Delta == nil {
			complete = append(complete, r)
			continue
		}
		// A delta can be applied only to the revision it was computed against.
		// If that is not the active one, the full document is read later.
		current, ok := w.config.Store.entry(r.Service)
		if !ok || current.Revision != r.Previous {
			continue
		}
		if text, err := r.Delta.apply(string(current.Text)); err == nil {
			r.Text = text
			complete = append(complete, r)
		}
	}
	w.applyRecords(complete)
	return nil
}

func (w *Watcher) fetchDocuments(ctx context.Context, missing []changeRef) error {
	var keys []string
	for _, c := range missing {
		keys = append(keys, serviceKey(c.Service))
	}
	records, err := w.getRecords(ctx, keys)
	if err != nil {
		return err
	}
	w.applyRecords(records)
	return nil
}

func (w *Watcher) get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return timeoutTable{w.config.Table, w.readTimeout()}.Get(ctx, keys...)
}

// timeoutTable applies a timeout to each read of a table.
type timeoutTable struct {
	platform.Table
	timeout time.Duration
}

// Get implements platform.Table.
func (t timeoutTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Get(ctx, keys...)
}

// Scan implements platform.Table.
func (t timeoutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (w *Watcher) getRecords(ctx context.Context, keys []string) ([]Record, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := w.get(ctx, keys...)
	if err != nil {
		return nil, merry.Prepend(err, "read changed documents")
	}
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		record, err := decode[Record](row)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (w *Watcher) fetchAll(ctx context.Context) error {
	w.metrics.scans.Inc(1)
	records, err := scanRecords(ctx, timeoutTable{w.config.Table, w.readTimeout()}, servicePrefix)
	if err != nil {
		return merry.Prepend(err, "read all documents")
	}
	w.applyRecords(records)
	return nil
}

func (w *Watcher) applyRecords(records []Record) {
	if len(records) == 0 {
		return
	}
	w.metrics.documents.Inc(int64(len(records)))
	before := w.config.Store.Revisions()
	entries := make([]Entry, len(records))
	for i, r := range records {
		entries[i] = r.Entry()
	}
	if _, err := w.config.Store.ApplyNewer(entries); err != nil {
		event.ConfigInvalid.Log(w.config.Logger, "error", err)
	}
	w.logChanges(before, w.config.Store.Revisions())
}

func (w *Watcher) logChanges(before, after map[ident.Service]uint64) {
	for service, revision := range after {
		if revision != before[service] {
			event.ConfigInForce.Log(w.config.Logger, "service", service, "revision", revision)
		}
	}
}
