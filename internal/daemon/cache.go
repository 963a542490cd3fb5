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
	// cachePollEvery is the mean interval of the polls of one engine.
	cachePollEvery = time.Second
	// cachePollsMost bounds the polls of a daemon in an interval. A poll with a
	// full page takes 0.5 ms of a core with the engine's part
	// (go test -run xxx -bench CacheEvents ./internal/attempt), so that these take
	// 0.4%. The plan has nine engines a daemon.
	cachePollsMost = 8
	// cacheEventsRate bounds the events a second, of some 60 bytes each. Where
	// more come the polls become rare, and the owner, which is behind then, says
	// nothing of the cache.
	cacheEventsRate = 32
	// cacheRetry is how long an engine without cache events is left alone.
	cacheRetry = time.Minute
)

// cachePoller asks the engines that this daemon owns what has entered and left
// their prefix caches. Where more are owned than cachePollsMost, each is asked
// less often.
type cachePoller struct {
	store  *config.Store
	loop   *control.Loop
	runner *attempt.Runner
	// from is the place in the list of engines where the next round begins.
	from int

	mu sync.Mutex
	// quiet holds the engines that are left alone, until when.
	quiet map[probed]time.Time
}

// cachePoll is one engine to ask.
type cachePoll struct {
	probed
	address string
	after   uint64
}

func (p *cachePoller) run(ctx context.Context) {
	p.quiet = map[probed]time.Time{}
	for {
		events := p.round(ctx)
		wait := max(cachePollEvery, time.Duration(events)*time.Second/cacheEventsRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(jittered(wait)):
		}
	}
}

// jittered spreads a wait over half to one and a half of it, so that the daemons
// do not poll in step.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait)
}

// round asks the engines whose turn it is, at the same time, so that a silent one
// does not hold up the others, and returns how many events there were.
func (p *cachePoller) round(ctx context.Context) int {
	var asked sync.WaitGroup
	var events atomic.Int64
	for _, poll := range p.due() {
		asked.Go(func() { events.Add(int64(p.ask(ctx, poll))) })
	}
	asked.Wait()
	return int(events.Load())
}

func (p *cachePoller) due() []cachePoll {
	var all []cachePoll
	now := time.Now()
	p.wake(now)
	p.loop.Inspect(func(c *scheduler.Core) {
		owned := c.OwnedTargets()
		for _, s := range p.store.Snapshot().Services() {
			if s.Document.Kind != document.Model {
				continue
			}
			for _, t := range s.Document.Targets {
				key := probed{s.Document.Service, t.Name}
				if owned[key.service][key.target] && !p.isQuiet(key) {
					all = append(all, cachePoll{key, t.Address, c.CacheCursor(key.service, key.target)})
				}
			}
		}
	})
	if len(all) <= cachePollsMost {
		return all
	}
	var turn []cachePoll
	for i := range cachePollsMost {
		turn = append(turn, all[(p.from+i)%len(all)])
	}
	p.from = (p.from + cachePollsMost) % len(all)
	return turn
}

func (p *cachePoller) ask(ctx context.Context, poll cachePoll) (events int) {
	page, err := p.runner.CacheEvents(ctx, poll.address, poll.after)
	switch {
	case errors.Is(err, attempt.ErrCacheEventsUnsupported):
		p.mu.Lock()
		p.quiet[poll.probed] = time.Now().Add(cacheRetry)
		p.mu.Unlock()
	case err == nil:
		p.loop.ApplyCachePage(poll.service, poll.target, page)
	}
	// What else failed is asked again in its turn: whether the target is well is
	// the prober's matter.
	return len(page.Events)
}

// wake forgets the engines whose time of quiet is over.
func (p *cachePoller) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.quiet, func(_ probed, until time.Time) bool { return !now.Before(until) })
}

func (p *cachePoller) isQuiet(key probed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, quiet := p.quiet[key]
	return quiet
}
