package control

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
)

// PoisonTable returns the table that requests are compared with. It takes no lock.
func (b *BookingLoop) PoisonTable() *poison.Table { return b.poisonTable.Load() }

// RecentlyCompleted returns where to record each request that has run to its end.
func (b *BookingLoop) RecentlyCompleted() *poison.Recent { return b.recent }

// Crashed reports that a target ended with a request of this daemon in progress.
func (b *BookingLoop) Crashed(c poison.Crash) {
	b.post(func(now time.Time) { b.poison.Crashed(now, c) })
}

// Completed reports that a watched request has run to its end.
func (b *BookingLoop) Completed(f poison.Fingerprint) {
	b.post(func(now time.Time) { b.poison.Completed(now, f) })
}

// ReleaseHold ends the hold of a request for the whole fleet. It reports whether it was held.
func (b *BookingLoop) ReleaseHold(f poison.Fingerprint) (held bool) {
	b.postAndWait(func(time.Time) { held = b.poison.Release(f) })
	return held
}

// RecallHolds adds the requests that are held according to the store.
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
