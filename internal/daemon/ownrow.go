package daemon

import (
	"context"
	"sync"
	"time"

	store "github.com/savorystall/savorystall/internal/platform"
)

// maxRewritesPerSecond is the average rate at which the daemons of a fleet together rewrite
// rows that the store has lost. The store accepts 400 writes a second; the rest is left to
// other writers.
const maxRewritesPerSecond = 240

// rewriteDelay returns how long a daemon waits before it rewrites its row, given the number
// of daemons in the fleet. random is in [0,1).
func rewriteDelay(daemons int, random float64) time.Duration {
	return time.Duration(random * float64(daemons) / maxRewritesPerSecond * float64(time.Second))
}

// ownRow tracks whether the store has lost the row that only this daemon writes. It is safe
// for concurrent use.
//
// It guards against the following failure: the store is restored from a backup that is
// older than the row or holds the row of a previous incarnation, and daemons that start
// afterwards never find this one.
type ownRow struct {
	mu sync.Mutex
	// written is the revision of the last write, zero before the first. missingAt is the
	// latest revision at which the store did not hold the row.
	written, missingAt store.Revision
	// daemons is the number of daemons listed before or after the row was lost, whichever
	// is higher.
	daemons int
	// lostSignal is signalled when the row has to be rewritten.
	lostSignal chan struct{}
	// firstWrite is closed when the store has acknowledged the row for the first time.
	firstWrite chan struct{}
}

func newOwnRow() *ownRow {
	return &ownRow{lostSignal: make(chan struct{}, 1), firstWrite: make(chan struct{})}
}

// recordWrite records that the store has acknowledged the row.
func (o *ownRow) recordWrite(at store.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.written == (store.Revision{}) {
		close(o.firstWrite)
	}
	o.written = at
	o.notify()
}

// awaitFirstWrite waits until the row has been written once, ctx ends or timeout has passed.
func (o *ownRow) awaitFirstWrite(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-o.firstWrite:
	case <-timer.C:
	}
}

// observe records whether the store held the row, or that of a later incarnation, at a
// revision, and how many daemons may have lost their rows. Revisions before the last write
// are irrelevant.
func (o *ownRow) observe(holds bool, at store.Revision, daemons int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if holds {
		return
	}
	o.missingAt, o.daemons = store.Later(o.missingAt, at), max(1, daemons)
	o.notify()
}

// notify wakes the writer if the row is lost. The caller holds the lock.
func (o *ownRow) notify() {
	if !o.isLostLocked() {
		return
	}
	select {
	case o.lostSignal <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// rewriteDelay returns how long to wait before the row is rewritten. random is in [0,1).
func (o *ownRow) rewriteDelay(random float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return rewriteDelay(o.daemons, random)
}

// isLost reports whether the row has to be rewritten.
func (o *ownRow) isLost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isLostLocked()
}

// isLostLocked is isLost for callers that hold the lock.
func (o *ownRow) isLostLocked() bool {
	return o.written != (store.Revision{}) && o.missingAt != (store.Revision{}) && !o.missingAt.Before(o.written)
}

// revision returns the revision of the last write.
func (o *ownRow) revision() store.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written
}
