package daemon

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/scheduler"
)

const (
	// cachePollInterval is the mean interval between polls of one engine.
	cachePollInterval = time.Second
	// maxCachePolls bounds the polls of a daemon per interval. A poll with a full page
	// takes 0.5 ms of a core including the engine's part (go test -run xxx -bench
	// CacheEvents ./internal/attempt), so these polls take 0.4% of a core. Nine engines per
	// daemon are planned.
	maxCachePolls = 8
	// maxCacheEventRate bounds the number of events a second, of about 60 bytes each. If
	// there are more, the polls become less frequent; the owner then lags behind and
	// reports nothing about the cache.
	maxCacheEventRate = 32
	// cacheRetryDelay is how long an engine without cache events is not polled.
	cacheRetryDelay = time.Minute
)

// cachePoller polls the engines that this daemon owns for the changes of their prefix
// caches. If it owns more than maxCachePolls engines, each is polled less often.
type cachePoller struct {
	store  *config.Store
	loop   *control.Loop
	runner *attempt.Runner
	// nextIndex is the index in the list of engines at which the next batch begins.
	nextIndex int

	mu sync.Mutex
	// backoffUntil holds the engines that are not polled, and until when.
	backoffUntil map[targetKey]time.Time
}

// cacheQuery is a query for the cache events of one engine.
type cacheQuery struct {
	targetKey
	address string
	after   uint64
}

func (p *cachePoller) run(ctx context.Context) {
	p.backoffUntil = map[targetKey]time.Time{}
	for {
		events := p.pollBatch(ctx)
		wait := max(cachePollInterval, time.Duration(events)*time.Second/maxCacheEventRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(withJitter(wait)):
		}
	}
}

// withJitter returns a random duration between half and one and a half times wait, so that
// the daemons do not poll in lockstep.
func withJitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait)
}

// pollBatch polls the engines that are due concurrently, so that one that does not answer
// does not delay the others. It returns the number of events.
func (p *cachePoller) pollBatch(ctx context.Context) int {
	var polls sync.WaitGroup
	var events atomic.Int64
	for _, query := range p.due() {
		polls.Go(func() { events.Add(int64(p.pollEngine(ctx, query))) })
	}
	polls.Wait()
	return int(events.Load())
}

func (p *cachePoller) due() []cacheQuery {
	var all []cacheQuery
	now := time.Now()
	p.dropExpiredBackoffs(now)
	p.loop.Inspect(func(c *scheduler.Core) {
		owned := c.OwnedTargets()
		for _, s := range p.store.Snapshot().Services() {
			if s.Document.Kind != document.Model {
				continue
			}
			for _, t := range s.Document.Targets {
				key := targetKey{s.Document.Service, t.Name}
				if owned[key.service][key.target] && !p.isBackedOff(key) {
					all = append(all, cacheQuery{key, t.Address, c.CacheCursor(key.service, key.target)})
				}
			}
		}
	})
	if len(all) <= maxCachePolls {
		return all
	}
	var batch []cacheQuery
	for i := range maxCachePolls {
		batch = append(batch, all[(p.nextIndex+i)%len(all)])
	}
	p.nextIndex = (p.nextIndex + maxCachePolls) % len(all)
	return batch
}

func (p *cachePoller) pollEngine(ctx context.Context, query cacheQuery) (events int) {
	page, err := p.runner.CacheEvents(ctx, query.address, query.after)
	switch {
	case errors.Is(err, attempt.ErrCacheEventsUnsupported):
		p.mu.Lock()
		p.backoffUntil[query.targetKey] = time.Now().Add(cacheRetryDelay)
		p.mu.Unlock()
	case err == nil:
		p.loop.ApplyCachePage(query.service, query.target, page)
	}
	// After other errors the engine is polled again in its turn: monitoring the target's
	// health is the task of the prober.
	return len(page.Events)
}

// dropExpiredBackoffs removes the engines whose backoff is over.
func (p *cachePoller) dropExpiredBackoffs(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.backoffUntil, func(_ targetKey, until time.Time) bool { return !now.Before(until) })
}

func (p *cachePoller) isBackedOff(key targetKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.backoffUntil[key]
	return found
}
