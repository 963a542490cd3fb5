package daemon

import (
	"sync"
	"time"

	store "github.com/savorystall/savorystall/internal/platform"
)

// rewriteRate is how many rows a second the daemons of a fleet write again that the store
// has lost, on average: below the 400 writes that a store takes, with room for others.
const rewriteRate = 240

// rewriteDelay is how long a daemon of a fleet waits before it writes its row again. Random
// is in [0,1).
func rewriteDelay(daemons int, random float64) time.Duration {
	return time.Duration(random * float64(daemons) / rewriteRate * float64(time.Second))
}

// ownRow knows whether the store has lost the row that this daemon alone writes. It is
// safe for concurrent use.
//
// Failure it guards against: the store comes back from a copy that is older than the row,
// or holds the one of a former incarnation, and daemons that start never find this one.
type ownRow struct {
	mu sync.Mutex
	// written is the revision of the last write, zero before it; lostAt the latest one at
	// which the store did not hold what was written.
	written, lostAt store.Revision
	// daemons is how many the store listed before or after it lost the row.
	daemons int
	// lost is signalled when the row has to be written again.
	lost chan struct{}
}

func newOwnRow() *ownRow { return &ownRow{lost: make(chan struct{}, 1)} }

// wrote notes that the store has acknowledged the row.
func (o *ownRow) wrote(at store.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.written = at
	o.signal()
}

// told takes in whether the store holds the row, or one of a later incarnation, at a
// revision, and how many daemons may have lost theirs. What it held before the row was
// written says nothing.
func (o *ownRow) told(holds bool, at store.Revision, daemons int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if holds {
		return
	}
	o.lostAt, o.daemons = store.Later(o.lostAt, at), max(1, daemons)
	o.signal()
}

// signal wakes the writer where the row is lost. The caller holds the lock.
func (o *ownRow) signal() {
	if !o.lostNow() {
		return
	}
	select {
	case o.lost <- struct{}{}:
	default: // the writer looks again anyway
	}
}

// delay is how long to wait before the row is written again. Random is in [0,1).
func (o *ownRow) delay(random float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return rewriteDelay(o.daemons, random)
}

// isLost tells whether the row has to be written again.
func (o *ownRow) isLost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lostNow()
}

// lostNow tells the same. The caller holds the lock.
func (o *ownRow) lostNow() bool {
	return o.written != (store.Revision{}) && o.lostAt != (store.Revision{}) && !o.lostAt.Before(o.written)
}

// revision returns that of the last write.
func (o *ownRow) revision() store.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written
}
