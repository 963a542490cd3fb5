package control

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
)

// PoisonTable returns the table that requests are compared with. It takes no lock.
func (b *BookingLoop) PoisonTable() *poison.Table { return b.poisonTable.Load() }

// RecentlyCompleted returns where to record each request that has run to its end, with its parts.
func (b *BookingLoop) RecentlyCompleted() *poison.Recent { return b.recent }

// Crashed reports that a target ended with a request of this daemon in progress.
func (b *BookingLoop) Crashed(run poison.Run) {
	b.post(func(now time.Time) { b.poison.Crashed(now, run) })
}

// Completed reports that a watched request, or one with a watched part, has run to its end.
func (b *BookingLoop) Completed(f poison.Fingerprint) {
	b.post(func(now time.Time) { b.poison.Completed(now, f) })
}

// ReleaseHold ends a hold for the whole fleet, given its key. It reports whether there was one.
func (b *BookingLoop) ReleaseHold(key poison.Fingerprint) (held bool) {
	b.postAndWait(func(now time.Time) { held = b.poison.Release(now, key) })
	return held
}

// RecallHolds begins the holds that the store has.
func (b *BookingLoop) RecallHolds(holds []poison.Hold) {
	b.postAndWait(func(now time.Time) { b.poison.Recall(now, holds) })
}

// ReceivePoison handles a message from another daemon.
func (b *BookingLoop) ReceivePoison(_ ident.Daemon, m poison.Message) {
	b.post(func(now time.Time) { b.poison.Receive(now, m) })
}

func (b *BookingLoop) applyPoisonEffects() {
	for _, effect := range b.poison.TakeEffects() {
		switch e := effect.(type) {
		case poison.Send:
			b.actions.SendPoisonMessage(e.To, e.Message)
		case poison.TableChanged:
			b.poisonTable.Store(e.Table)
		default:
			b.actions.PoisonEffect(effect)
		}
	}
}
