package route

import "sync/atomic"

// Holder keeps the table in force. Traffic reads it without a lock.
type Holder struct {
	table atomic.Pointer[Table]
}

// Current returns the table in force, nil before the first one.
func (h *Holder) Current() *Table { return h.table.Load() }

// Offer puts a table in force if its version is higher than the present one,
// and tells whether it did.
//
// It guards against going back: a slow answer of the store, or a second reader,
// may bring an older document after a newer one, and a key or a route that was
// taken away would work again for a while.
func (h *Holder) Offer(t *Table) bool {
	for {
		present := h.table.Load()
		if present != nil && t.Version <= present.Version {
			return false
		}
		if h.table.CompareAndSwap(present, t) {
			return true
		}
	}
}
