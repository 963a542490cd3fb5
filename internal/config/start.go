package config

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/event"
)

// readArchive reads the archive, which is applied later. It reduces the load on
// the table when many daemons start at the same time, and allows a daemon to
// start while the table is unavailable.
func (w *Watcher) readArchive(ctx context.Context) {
	if w.config.Objects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	a, err := readArchive(ctx, w.config.Objects)
	if err != nil {
		event.ArchiveUnreadable.Log(w.config.Logger, "error", err)
		return
	}
	if a.Revision > 0 {
		w.archive = &a
	}
}

// applyArchive applies the archive. It is called either once the head row was
// read, so that the changes that the archive lacks follow immediately, or when
// ArchiveGrace has expired. If it were called earlier, a restarted daemon would
// serve documents that are up to ten minutes old although a peer or the table
// could provide the current ones.
func (w *Watcher) applyArchive() {
	if w.archive == nil {
		return
	}
	if _, err := w.config.Store.ApplyNewer(w.archive.Entries); err != nil {
		event.ConfigInvalid.Log(w.config.Logger, "error", err)
	}
}

// fallBackToArchive applies the archive if the table could not be read within
// ArchiveGrace.
func (w *Watcher) fallBackToArchive() {
	elapsed := w.config.Clock.Now().Sub(w.started)
	if w.archive == nil || elapsed < w.config.ArchiveGrace {
		return
	}
	if w.config.Store.Head() == 0 {
		w.applyArchive()
		w.config.Store.advanceHead(w.archive.Revision)
		event.ArchiveInForce.Log(w.config.Logger, "revision", w.archive.Revision)
	}
	w.archive = nil
}

// readTimeout returns the timeout of a table read, which is limited to
// ArchiveGrace until the archive is applied or discarded.
func (w *Watcher) readTimeout() time.Duration {
	if w.archive != nil {
		return min(w.config.Timeout, w.config.ArchiveGrace)
	}
	return w.config.Timeout
}
