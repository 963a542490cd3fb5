package daemon

import (
	"sync/atomic"
	"time"
)

// waitStats collects the mean and the maximum of wait times. It is safe for concurrent use.
type waitStats struct{ sum, count, longest atomic.Int64 }

func (w *waitStats) record(wait time.Duration) {
	w.sum.Add(int64(wait))
	w.count.Add(1)
	for longest := w.longest.Load(); int64(wait) > longest; longest = w.longest.Load() {
		if w.longest.CompareAndSwap(longest, int64(wait)) {
			return
		}
	}
}

// collect returns the mean and the maximum of the waits recorded since the previous call,
// or zero if there were none.
func (w *waitStats) collect() (mean, longest time.Duration) {
	sum, count := w.sum.Swap(0), w.count.Swap(0)
	if count > 0 {
		mean = time.Duration(sum / count)
	}
	return mean, time.Duration(w.longest.Swap(0))
}
