package control

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
)

// Began reports that the first event of a stream, or the first one after it was taken up again,
// has been received from a target of this origin.
func (b *BookingLoop) Began(key origin.Key, o origin.Origin) {
	b.post(func(now time.Time) { b.origins.Began(now, key, o) })
}

// FindOrigin waits until the origin of a stream of the route is found, or the search for it has
// ended. If ctx or the loop ends first, nothing is known.
func (b *BookingLoop) FindOrigin(ctx context.Context, id ident.Request, key origin.Key, route string) origin.Finding {
	result := make(chan origin.Finding, 1)
	nothing := func() origin.Finding { return origin.Finding{} }
	ok := b.post(func(now time.Time) {
		b.finders[id] = result
		b.origins.Find(now, id, key, route)
	})
	if !ok {
		return nothing()
	}
	return awaitResult(ctx, &b.mailbox, result, nothing, func() origin.Finding {
		b.post(func(time.Time) { delete(b.finders, id) })
		return nothing()
	})
}

// ObserveOrigins replaces the view of what new streams can begin at.
func (b *BookingLoop) ObserveOrigins(v origin.View) {
	b.post(func(now time.Time) { b.origins.Observe(now, v) })
}

// ConfirmOrigins reports that the store has confirmed the view as of the given time.
func (b *BookingLoop) ConfirmOrigins(at time.Time) {
	b.post(func(now time.Time) { b.origins.Confirm(now, at) })
}

// RecallOrigins adds the versions that the fleet has had in use, as read from the store.
func (b *BookingLoop) RecallOrigins(past map[ident.Service][]ident.Version) {
	b.post(func(now time.Time) { b.origins.Recall(now, past) })
}

// Versions returns the versions of each service at which streams may have begun that can still
// be taken up; nil if the loop has ended.
func (b *BookingLoop) Versions() (versions map[ident.Service][]ident.Version) {
	b.postAndWait(func(now time.Time) { versions = b.origins.Versions(now) })
	return versions
}

// ReceiveOrigins handles a message from another daemon.
func (b *BookingLoop) ReceiveOrigins(from ident.Daemon, m origin.Message) {
	b.post(func(now time.Time) { b.origins.Receive(now, from, m) })
}

func (b *BookingLoop) applyOriginEffects() {
	for _, effect := range b.origins.TakeEffects() {
		switch e := effect.(type) {
		case origin.Found:
			b.finders.deliver(e.Request, e.Finding)
		case origin.Send:
			b.actions.SendOriginMessage(e.To, e.Message)
		}
	}
}
