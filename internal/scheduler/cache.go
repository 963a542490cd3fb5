package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// Engines publish what their prefix caches hold. The owner of a target polls it;
// the ingress chooses which request goes there. What the owner knows travels with
// its grants, so that it costs no message and reaches those who can use it.

const (
	// summaryEvery is how often an ingress is told of one target. Slots that an
	// ingress uses again for 2 s bring it about as often.
	summaryEvery = time.Second
	// summaryRate bounds the bytes of all summaries, in a second; summaryBurst is
	// what may be sent at once. An eighth of the control budget of 4 KB/s: where
	// grants come faster than that pays for, some go without.
	summaryRate  = 512
	summaryBurst = 2048
	// markBytes is the size of a mark.
	markBytes = 2
)

// summaries is the budget of the summaries sent.
type summaries struct {
	left float64
	at   time.Time
}

func (s *summaries) take(now time.Time, bytes int) bool {
	if s.at.IsZero() {
		s.left = summaryBurst
	} else {
		s.left = min(summaryBurst, s.left+summaryRate*now.Sub(s.at).Seconds())
	}
	s.at = now
	if s.left < float64(bytes) {
		return false
	}
	s.left -= float64(bytes)
	return true
}

// TargetCache takes in the answer of an owned target to a poll for its cache
// events after CacheNext.
func (c *Core) TargetCache(now time.Time, service ident.Service, name ident.Target, page placement.CachePage) {
	if s := c.services[service]; s != nil {
		s.places.CachePage(now, name, page)
	}
}

// CacheNext returns the number after which a target's cache events are to be
// asked for.
func (c *Core) CacheNext(service ident.Service, name ident.Target) uint64 {
	if s := c.services[service]; s != nil {
		return s.places.CacheNext(name)
	}
	return 0
}

// summary returns what goes with a grant of the target to an ingress.
func (c *Core) summary(now time.Time, t *target, ingress ident.Daemon) []uint16 {
	if now.Sub(t.told[ingress]) < summaryEvery {
		return nil
	}
	marks := t.service.places.CacheSummary(now, t.Name)
	if len(marks) == 0 || !c.summaries.take(now, markBytes*len(marks)) {
		return nil
	}
	t.told[ingress] = now
	return marks
}

// takeSummary takes in what came with a grant.
func (c *Core) takeSummary(now time.Time, g Grant) {
	if s := c.services[g.Service]; s != nil && len(g.Cached) > 0 {
		s.places.CacheSaid(now, g.Target, g.Cached)
	}
}

// forgetTold forgets what a daemon that is gone was told.
func (c *Core) forgetTold(id ident.Daemon) {
	for _, s := range c.services {
		for _, t := range s.targets {
			delete(t.told, id)
		}
	}
}
