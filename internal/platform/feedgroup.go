package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errGroupFailed is the cancellation cause of a call if another member failed.
var errGroupFailed = errors.New("another follower of the store has failed")

// errGroupRestored is the cancellation cause of a call if a member has observed a newer
// era of the store.
var errGroupRestored = errors.New("the store was restored from a backup")

// errOlderEra is returned for an answer from before the store was restored from a backup.
var errOlderEra = errors.New("the answer is of an older era of the store")

// interrupt ends the calls of all members of a group.
type interrupt struct {
	done chan struct{}
	// cause is set before done is closed.
	cause error
}

func newInterrupt() *interrupt { return &interrupt{done: make(chan struct{})} }

// FeedGroup connects the followers of one store, so that one of them with a short
// Wait detects for all that the store or the network path to it no longer
// responds; the others can use a long Wait, which saves calls. It is safe for
// concurrent use.
type FeedGroup struct {
	mu        sync.Mutex
	interrupt *interrupt
	// era is the newest era of an answer to any member; it is valid if eraKnown is set.
	era      uint64
	eraKnown bool
	// lastAnswerAt is when the last answer of that era arrived, previousEraLastAnswerAt when
	// the last answer of the era before it did.
	lastAnswerAt, previousEraLastAnswerAt time.Time
	// reachableAgain is not nil while the heartbeat follower cannot reach the store, and is
	// closed when it can again.
	reachableAgain chan struct{}
	// failedCallStart is the start of the last failed call of any member.
	failedCallStart time.Time
}

// NewFeedGroup returns a group without members.
func NewFeedGroup() *FeedGroup { return &FeedGroup{interrupt: newInterrupt()} }

// setUnreachable records whether the store is unreachable.
func (g *FeedGroup) setUnreachable(unreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case unreachable && g.reachableAgain == nil:
		g.reachableAgain = make(chan struct{})
	case !unreachable && g.reachableAgain != nil:
		close(g.reachableAgain)
		g.reachableAgain = nil
	}
}

// whenReachable returns a channel that is closed when the store is reachable again, or
// nil if it is not unreachable.
func (g *FeedGroup) whenReachable() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reachableAgain
}

// recordFailure records the start of a failed call of a member.
func (g *FeedGroup) recordFailure(startedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if startedAt.After(g.failedCallStart) {
		g.failedCallStart = startedAt
	}
}

// lastFailureStart returns the start of the last failed call of any member.
func (g *FeedGroup) lastFailureStart() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failedCallStart
}

// observeRevision records the era of an answer. It reports whether the answer is of an
// older era than one that a member has observed. The first answer of a newer era
// interrupts the calls of all members, since they may wait for revisions that the restored
// store will not reach for a long time.
func (g *FeedGroup) observeRevision(now time.Time, revision Revision) (older bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.eraKnown && revision.era < g.era:
		return true
	case g.eraKnown && revision.era > g.era:
		g.previousEraLastAnswerAt = g.lastAnswerAt
		g.interruptLocked(errGroupRestored)
	}
	g.era, g.eraKnown, g.lastAnswerAt = revision.era, true, now
	return false
}

// hasNewerEra reports whether a member has observed a newer era than that of a revision.
func (g *FeedGroup) hasNewerEra(revision Revision) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.era > revision.era
}

// previousEraEnd returns when the last answer before the latest restore of the store
// arrived.
func (g *FeedGroup) previousEraEnd() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.previousEraLastAnswerAt
}

// interruptCalls ends the calls of all members, which then retry on other connections.
func (g *FeedGroup) interruptCalls() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.interruptLocked(errGroupFailed)
}

// interruptLocked ends the calls of all members. The caller holds the lock.
func (g *FeedGroup) interruptLocked(cause error) {
	g.interrupt.cause = cause
	close(g.interrupt.done)
	g.interrupt = newInterrupt()
}

// withInterrupt returns a context that is canceled by the group's next interrupt. If the
// group has observed a newer era than that of a revision, it is canceled at once: a member
// that was not in a call has missed the interrupt.
func (g *FeedGroup) withInterrupt(ctx context.Context, revision Revision) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	next := g.interrupt
	newerEra := g.era > revision.era
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if newerEra {
		cancel(errGroupRestored)
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-next.done:
			cancel(next.cause)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
