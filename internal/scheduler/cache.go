package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// Inference engines publish events about the contents of their prefix caches. The
// owner of a target polls these events, but the ingress chooses which request goes
// to the target. The owner therefore sends its knowledge along with grants, which
// costs no extra message and reaches the daemons that can use it.

const (
	// summaryInterval is the minimum interval between summaries of one target to one
	// ingress. Slots that an ingress reuses for 2 s lead to about the same rate.
	summaryInterval = time.Second
	// summaryBytesPerSecond bounds the rate of all summaries, and summaryBurstBytes
	// the bytes that may be sent at once. The rate is an eighth of the control budget
	// of 4 KB/s. If grants are issued faster than that allows, some carry no summary.
	summaryBytesPerSecond = 512
	summaryBurstBytes     = 2048
	// fingerprintBytes is the size of a prefix fingerprint.
	fingerprintBytes = 2
)

// summaryBudget is a token bucket, in bytes, for the summaries sent.
type summaryBudget struct {
	available float64
	updated   time.Time
}

func (s *summaryBudget) take(now time.Time, bytes int) bool {
	if s.updated.IsZero() {
		s.available = summaryBurstBytes
	} else {
		s.available = min(summaryBurstBytes, s.available+summaryBytesPerSecond*now.Sub(s.updated).Seconds())
	}
	s.updated = now
	if s.available < float64(bytes) {
		return false
	}
	s.available -= float64(bytes)
	return true
}

// ApplyCachePage records an owned target's response to a poll for the cache events
// after CacheCursor.
func (c *Core) ApplyCachePage(now time.Time, service ident.Service, name ident.Target, page placement.CachePage) {
	if s := c.services[service]; s != nil {
		s.placement.ApplyCachePage(now, name, page)
	}
}

// CacheCursor returns the sequence number after which a target's cache events are
// to be polled.
func (c *Core) CacheCursor(service ident.Service, name ident.Target) uint64 {
	if s := c.services[service]; s != nil {
		return s.placement.NextCacheSequence(name)
	}
	return 0
}

// cacheSummary returns the cache summary to send with a grant of the target.
func (c *Core) cacheSummary(now time.Time, t *target, ingress ident.Daemon) []uint16 {
	if now.Sub(t.summarySent[ingress]) < summaryInterval {
		return nil
	}
	fingerprints := t.service.placement.CacheSummary(now, t.Name)
	if len(fingerprints) == 0 || !c.summaryBudget.take(now, fingerprintBytes*len(fingerprints)) {
		return nil
	}
	t.summarySent[ingress] = now
	return fingerprints
}

// applySummary records the cache summary that came with a grant.
func (c *Core) applySummary(now time.Time, g Grant) {
	if s := c.services[g.Service]; s != nil && len(g.CachedPrefixes) > 0 {
		s.placement.ApplyCacheSummary(now, g.Target, g.CachedPrefixes)
	}
}

// forgetSummaries discards the times of the summaries sent to a departed daemon.
func (c *Core) forgetSummaries(id ident.Daemon) {
	for _, s := range c.services {
		for _, t := range s.targets {
			delete(t.summarySent, id)
		}
	}
}
