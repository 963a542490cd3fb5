package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errGroupFailed is the cause of a call's end where another member has failed.
var errGroupFailed = errors.New("another follower of the store has failed")

// errGroupRestored is the cause where a member has met a newer era of the store.
var errGroupRestored = errors.New("the store has come back from a copy")

// errOlderEra is the error of an answer from before the store's return from a copy.
var errOlderEra = errors.New("the answer is of an older era of the store")

// breach is what ends the calls of all members of a group.
type breach struct {
	ended chan struct{}
	// cause is set before ended is closed.
	cause error
}

func newBreach() *breach { return &breach{ended: make(chan struct{})} }

// FeedGroup joins the followers of one store, so that one of them with a short
// Wait finds for all that the store or the way to it has gone silent; the others
// can wait long, which saves calls. It is safe for concurrent use.
type FeedGroup struct {
	mu     sync.Mutex
	breach *breach
	// era is the highest one that a member was answered from, once told is set.
	era  uint64
	told bool
	// answeredAt is when the last answer of that era came, leftAt when the last one of the
	// era before it did.
	answeredAt, leftAt time.Time
	// away is not nil while the follower that beats finds the store away, and is closed
	// at its return.
	away chan struct{}
	// failedAt is when the last call of any member that failed began.
	failedAt time.Time
}

// NewFeedGroup returns a group without members.
func NewFeedGroup() *FeedGroup { return &FeedGroup{breach: newBreach()} }

// setAway notes whether the store is away.
func (g *FeedGroup) setAway(away bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case away && g.away == nil:
		g.away = make(chan struct{})
	case !away && g.away != nil:
		close(g.away)
		g.away = nil
	}
}

// isAway returns a channel that is closed at the store's return; nil while it is not
// away.
func (g *FeedGroup) isAway() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.away
}

// noteFailure notes when a member's call that failed began.
func (g *FeedGroup) noteFailure(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.After(g.failedAt) {
		g.failedAt = asked
	}
}

// lastFailure returns when the last call of any member that failed began.
func (g *FeedGroup) lastFailure() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failedAt
}

// reach notes the era of an answer. It tells whether the answer is of an older era than
// one that a member has met. The first answer of a newer era ends the calls of all: theirs
// may wait for versions that the store will not come to for long.
func (g *FeedGroup) reach(now time.Time, revision Revision) (older bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.told && revision.era < g.era:
		return true
	case g.told && revision.era > g.era:
		g.leftAt = g.answeredAt
		g.end(errGroupRestored)
	}
	g.era, g.told, g.answeredAt = revision.era, true, now
	return false
}

// isPast tells whether a member has met a newer era than that of a revision.
func (g *FeedGroup) isPast(revision Revision) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.era > revision.era
}

// left returns when the last answer before the store's last return from a copy came.
func (g *FeedGroup) left() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leftAt
}

// fail ends the calls of all members, which then begin anew on other connections.
func (g *FeedGroup) fail() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end(errGroupFailed)
}

// end ends the calls of all members. The caller holds the lock.
func (g *FeedGroup) end(cause error) {
	g.breach.cause = cause
	close(g.breach.ended)
	g.breach = newBreach()
}

// watch returns a context that ends with the group's next breach. It has ended already where
// the group is past the era of a revision: a member that paused has missed its breach.
func (g *FeedGroup) watch(ctx context.Context, revision Revision) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	next := g.breach
	passed := g.era > revision.era
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if passed {
		cancel(errGroupRestored)
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-next.ended:
			cancel(next.cause)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
