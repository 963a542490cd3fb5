package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

// chaos breaks links and targets in turn until ctx ends, and repairs them all.
type chaos struct {
	f       *fleet
	rng     *rand.Rand
	repairs []repair
	// done counts the faults by their name.
	done map[string]int
}

type repair struct {
	at time.Time
	do func()
}

// A fault every 60 ms hits each daemon and each target about once in 2 s. Silent
// links between daemons are found after some heartbeats of 1 s, so that a part of
// the links is down at any time.
const (
	faultEvery = 60 * time.Millisecond
	faultLasts = 300 * time.Millisecond
)

func (c *chaos) run(ctx context.Context) {
	ticker := time.NewTicker(faultEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			c.repair(time.Now().Add(time.Hour))
			return
		case now := <-ticker.C:
			c.repair(now)
			c.inject(n, now.Add(faultLasts))
		}
	}
}

func (c *chaos) repair(now time.Time) {
	left := c.repairs[:0]
	for _, r := range c.repairs {
		if r.at.After(now) {
			left = append(left, r)
			continue
		}
		r.do()
	}
	c.repairs = left
}

// inject causes one fault: the kinds take turns, the place is drawn.
func (c *chaos) inject(n int, until time.Time) {
	link := c.f.links[c.rng.IntN(len(c.f.links))]
	peer := c.f.peers[c.rng.IntN(len(c.f.peers))]
	engine := c.f.engines[c.rng.IntN(len(c.f.engines))]
	plain := c.f.plains[c.rng.IntN(len(c.f.plains))]
	later := func(do func()) { c.repairs = append(c.repairs, repair{until, do}) }
	names := []string{"target cut", "target silent", "target slow", "engine leaving", "peer cut", "peer silent", "engine stream", "service leaving"}
	name := names[n%len(names)]
	c.done[name]++
	switch name {
	case "target cut":
		link.Cut()
		later(func() { c.restore(link.Restore) })
	case "target silent":
		link.StallOpenConnections()
	case "target slow":
		link.SetDelay(time.Duration(5+c.rng.IntN(20)) * time.Millisecond)
		later(func() { link.SetDelay(0) })
	case "engine leaving":
		engine.SetLeaving(true)
		later(func() { engine.SetLeaving(false) })
	case "peer cut":
		peer.Cut()
		later(func() { c.restore(peer.Restore) })
	case "peer silent":
		peer.StallOpenConnections()
	case "engine stream":
		kinds := []enginestandin.FaultKind{enginestandin.FaultDisconnect, enginestandin.FaultEndEarly, enginestandin.FaultSkipToken, enginestandin.FaultReset, enginestandin.FaultLoseStream}
		engine.Inject(enginestandin.Fault{Kind: kinds[c.rng.IntN(len(kinds))], AfterTokens: c.rng.IntN(20)})
	case "service leaving":
		plain.SetLeaving(true)
		later(func() { plain.SetLeaving(false) })
	}
}

func (c *chaos) restore(do func() error) {
	if err := do(); err != nil {
		c.f.t.Error(err)
	}
}

// startChaos returns a function that ends it and waits.
func startChaos(t *testing.T, f *fleet, seed uint64) (end func() map[string]int) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &chaos{f: f, rng: rand.New(rand.NewPCG(seed, seed)), done: map[string]int{}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx)
	}()
	return func() map[string]int {
		cancel()
		<-ended
		t.Log("faults: ", fmt.Sprint(c.done))
		return c.done
	}
}
