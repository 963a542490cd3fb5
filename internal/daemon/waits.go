package daemon

import (
	"sync/atomic"
	"time"
)

// waits are the mean and the longest of some waits. It is safe for concurrent use.
type waits struct{ sum, count, longest atomic.Int64 }

func (w *waits) note(wait time.Duration) {
	w.sum.Add(int64(wait))
	w.count.Add(1)
	for longest := w.longest.Load(); int64(wait) > longest; longest = w.longest.Load() {
		if w.longest.CompareAndSwap(longest, int64(wait)) {
			return
		}
	}
}

// take returns the mean and the longest of those noted since the last call; zero where there are
// none.
func (w *waits) take() (mean, longest time.Duration) {
	sum, count := w.sum.Swap(0), w.count.Swap(0)
	if count > 0 {
		mean = time.Duration(sum / count)
	}
	return mean, time.Duration(w.longest.Swap(0))
}
