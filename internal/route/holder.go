package route

import "sync/atomic"

// Holder holds the active table. Current takes no lock.
type Holder struct {
	table atomic.Pointer[Table]
}

// Current returns the active table, or nil before the first update.
func (h *Holder) Current() *Table { return h.table.Load() }

// UpdateIfNewer makes t the active table if its version is higher than the current one, and
// reports whether it did.
//
// A slow response of the store, or a second reader, may deliver an older document after a
// newer one. Without the check, keys and routes that were removed would work again for a
// while.
func (h *Holder) UpdateIfNewer(t *Table) bool {
	for {
		current := h.table.Load()
		if current != nil && t.Version <= current.Version {
			return false
		}
		if h.table.CompareAndSwap(current, t) {
			return true
		}
	}
}
