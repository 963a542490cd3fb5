package daemon

import (
	"sync"
	"time"

	store "github.com/savorystall/savorystall/internal/platform"
)

// rewriteSpread is within which time daemons write their rows again that the store has
// lost: 360 of them make 240 writes a second, of the 400 that a store takes.
const rewriteSpread = 1500 * time.Millisecond

// rewriteDelay is how long a daemon waits before it writes its row again. Random is in [0,1).
func rewriteDelay(random float64) time.Duration {
	return time.Duration(random * float64(rewriteSpread))
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
	// lost is signalled when the row has to be written again.
	lost chan struct{}
}

func newOwnRow() *ownRow { return &ownRow{lost: make(chan struct{}, 1)} }

// wrote notes that the store has acknowledged the row.
func (o *ownRow) wrote(at store.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.written = at
}

// told takes in whether the store holds the row, or one of a later incarnation, at a
// revision. What it held before the row was written says nothing.
func (o *ownRow) told(holds bool, at store.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if holds || o.written == (store.Revision{}) || at.Before(o.written) {
		return
	}
	o.lostAt = store.Later(o.lostAt, at)
	select {
	case o.lost <- struct{}{}:
	default: // the writer looks again anyway
	}
}

// isLost tells whether the row has to be written again.
func (o *ownRow) isLost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lostAt != (store.Revision{}) && !o.lostAt.Before(o.written)
}

// revision returns that of the last write.
func (o *ownRow) revision() store.Revision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written
}
