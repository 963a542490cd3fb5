package config

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/event"
)

// readArchive gets the archive ready. It spares the table when many daemons
// start at once, and serves a daemon that starts while the table is out.
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

// useArchive puts the archive in force. It is called with the table's head at
// hand, so that what the archive lacks follows at once, or when the grace is
// over. Earlier, a restarted daemon would serve documents of ten minutes ago
// though a peer or the table could have told it the present ones.
func (w *Watcher) useArchive() {
	if w.archive == nil {
		return
	}
	if _, err := w.config.Store.OfferAll(w.archive.Entries); err != nil {
		event.ConfigInvalid.Log(w.config.Logger, "error", err)
	}
}

// fallBack puts the archive in force while the table cannot be read.
func (w *Watcher) fallBack() {
	waited := w.config.Clock.Now().Sub(w.started)
	if w.archive == nil || waited < w.config.ArchiveGrace {
		return
	}
	if w.config.Store.Head() == 0 {
		w.useArchive()
		w.config.Store.raiseHead(w.archive.Revision)
		event.ArchiveInForce.Log(w.config.Logger, "revision", w.archive.Revision)
	}
	w.archive = nil
}

// readTimeout is shorter while the archive waits for the table's answer.
func (w *Watcher) readTimeout() time.Duration {
	if w.archive != nil {
		return min(w.config.Timeout, w.config.ArchiveGrace)
	}
	return w.config.Timeout
}
