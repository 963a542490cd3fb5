package config

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// takeRecent takes the listed changes, as deltas where the document before
// each is in force here, else as whole documents.
func (w *Watcher) takeRecent(ctx context.Context) error {
	rows, err := w.get(ctx, recentKey)
	if err != nil || len(rows) == 0 {
		return err
	}
	listed, err := decode[recent](rows[0])
	if err != nil {
		return err
	}
	if err := w.takeDeltas(ctx, w.missing(listed)); err != nil {
		return err
	}
	return w.takeWhole(ctx, w.missing(listed))
}

func (w *Watcher) missing(listed recent) []change {
	seen := w.config.Store.seen()
	var missing []change
	for _, c := range listed {
		if c.Revision > seen[c.Service] {
			missing = append(missing, c)
		}
	}
	return missing
}

func (w *Watcher) takeDeltas(ctx context.Context, missing []change) error {
	var keys []string
	for _, c := range missing {
		keys = append(keys, historyKey(c.Service, c.Revision))
	}
	records, err := w.getRecords(ctx, keys)
	if err != nil {
		return err
	}
	var whole []Record
	for _, r := range records {
		if r.Delta == nil {
			whole = append(whole, r)
			continue
		}
		// A delta to another revision than the one in force is no use; then
		// the whole document is read.
		present, ok := w.config.Store.entry(r.Service)
		if !ok || present.Revision != r.Previous {
			continue
		}
		if text, err := r.Delta.apply(string(present.Text)); err == nil {
			r.Text = text
			whole = append(whole, r)
		}
	}
	w.offer(whole)
	return nil
}

func (w *Watcher) takeWhole(ctx context.Context, missing []change) error {
	var keys []string
	for _, c := range missing {
		keys = append(keys, serviceKey(c.Service))
	}
	records, err := w.getRecords(ctx, keys)
	if err != nil {
		return err
	}
	w.offer(records)
	return nil
}

func (w *Watcher) get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	return boundedTable{w.config.Table, w.readTimeout()}.Get(ctx, keys...)
}

// boundedTable bounds each read of a table.
type boundedTable struct {
	platform.Table
	timeout time.Duration
}

// Get implements platform.Table.
func (b boundedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Table.Get(ctx, keys...)
}

// Scan implements platform.Table.
func (b boundedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Table.Scan(ctx, prefix, after, limit)
}

func (w *Watcher) getRecords(ctx context.Context, keys []string) ([]Record, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := w.get(ctx, keys...)
	if err != nil {
		return nil, merry.Prepend(err, "changed documents")
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

func (w *Watcher) takeAll(ctx context.Context) error {
	w.metrics.scans.Inc(1)
	records, err := scanRecords(ctx, boundedTable{w.config.Table, w.readTimeout()}, servicePrefix)
	if err != nil {
		return merry.Prepend(err, "all documents")
	}
	w.offer(records)
	return nil
}

func (w *Watcher) offer(records []Record) {
	if len(records) == 0 {
		return
	}
	w.metrics.documents.Inc(int64(len(records)))
	before := w.config.Store.Revisions()
	entries := make([]Entry, len(records))
	for i, r := range records {
		entries[i] = r.Entry()
	}
	if _, err := w.config.Store.OfferAll(entries); err != nil {
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
