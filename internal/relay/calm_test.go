package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
)

// maxChangeDelay is the time within which a change is to be in force at a daemon that is not
// disturbed itself, whatever happens to the others.
const maxChangeDelay = 3 * time.Second

// slowZone is a zone whose daemons can be slow: what they read from the store, and what they
// answer, then comes late.
type slowZone struct {
	*zone
	// rng draws disturbances, delays how long slow daemons take; the latter is guarded by mu.
	rng, delays *rand.Rand
	slow        map[ident.Daemon]time.Duration
}

func (z *slowZone) setSlow(id ident.Daemon, delay time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.slow[id] = delay
}

// turn returns how long a daemon takes to do something that takes it no time if it is not slow.
func (z *slowZone) turn(id ident.Daemon) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.slow[id] == 0 {
		return 0
	}
	return time.Duration(z.delays.Float64() * float64(z.slow[id]))
}

// Follow implements relay.Peers.
func (z *slowZone) Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	type result struct {
		answer platform.FeedAnswer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(z.turn(reader))
		answer, err := z.zone.Follow(ctx, reader, q)
		time.Sleep(z.turn(reader))
		done <- result{answer, err}
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		return platform.FeedAnswer{}, ctx.Err()
	}
}

// slowClient is the store as a daemon reaches it that may be slow.
type slowClient struct {
	storeClient
	zone *slowZone
}

// ReadTable implements platform.Feed.
func (c slowClient) ReadTable(ctx context.Context, table string) ([]platform.FeedRow, platform.Revision, error) {
	rows, revision, err := c.storeClient.ReadTable(ctx, table)
	time.Sleep(c.zone.turn(c.daemon))
	return rows, revision, err
}

// Changes implements platform.Feed.
func (c slowClient) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	rows, revision, err := c.storeClient.Changes(ctx, table, after, wait)
	time.Sleep(c.zone.turn(c.daemon))
	return rows, revision, err
}

func newSlowZone(ctx context.Context, rng *rand.Rand, names ...ident.Daemon) *slowZone {
	z := &slowZone{zone: newUnelectedZone(names...), rng: rng, delays: rand.New(rand.NewPCG(rng.Uint64(), 1)), slow: map[ident.Daemon]time.Duration{}}
	for _, name := range names {
		z.feeds[name] = relay.New(relay.Config{
			Self: name, Zone: "z", Store: slowClient{storeClient{z.store, name}, z}, Peers: z, HeartbeatTable: heartbeatTable, Logger: slog.New(slog.DiscardHandler),
		})
	}
	z.elect(names...)
	z.follow(ctx)
	z.followSecondTable(ctx)
	return z
}

// disturb applies a random disturbance to a daemon.
func (z *slowZone) disturb(id ident.Daemon) {
	switch z.rng.IntN(7) {
	case 0:
		z.freeze(id, true)
	case 1:
		z.store.setFaults(id, false, true)
	case 2:
		z.store.setFaults(id, true, false)
	case 3, 4:
		z.setSlow(id, time.Duration(50+z.rng.IntN(1500))*time.Millisecond)
	default:
		z.freeze(id, false)
		z.store.setFaults(id, false, false)
		z.setSlow(id, 0)
	}
}

// Guards against a daemon that applies a change late because the daemon that reads the store for
// it, or the next one to do so, is frozen, slow or cut off from the store.
func TestUndisturbedDaemonAppliesChangesInTime(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			rng := rand.New(rand.NewPCG(seed, 52))
			z := newSlowZone(ctx, rng, fiveDaemons...)
			calm := fiveDaemons[rng.IntN(len(fiveDaemons))]
			time.Sleep(4 * time.Second)
			for step := range 60 {
				if id := fiveDaemons[rng.IntN(len(fiveDaemons))]; id != calm {
					z.disturb(id)
				}
				if rng.IntN(4) == 0 {
					z.electLive(calm)
				}
				if step%2 == 0 {
					value := fmt.Sprintf("%03d", step)
					put := time.Now()
					z.store.put("k", value, false)
					go func() {
						for z.subscribers[calm].value("k") < value && ctx.Err() == nil && time.Since(put) < 10*time.Second {
							time.Sleep(10 * time.Millisecond)
						}
						late := time.Since(put)
						if ctx.Err() == nil && late > worst {
							worst = late
						}
						if late > maxChangeDelay && ctx.Err() == nil {
							t.Errorf("seed %d: change %s is applied after %s", seed, value, late)
						}
					}()
				}
				time.Sleep(time.Duration(20+rng.IntN(900)) * time.Millisecond)
			}
			cancel()
			time.Sleep(10 * time.Second) // whatever a slow daemon does ends meanwhile
			synctest.Wait()
		})
	}
	t.Logf("latest change after %s", worst)
}

// electLive passes a random list of live daemons, which has the undisturbed one, to each.
func (z *slowZone) electLive(calm ident.Daemon) {
	var live []ident.Daemon
	for _, name := range fiveDaemons {
		if name == calm || z.rng.IntN(5) > 0 {
			live = append(live, name)
		}
	}
	z.elect(live...)
}

// Guards against a change that is applied late because several readers do not answer, each of
// which is elected before the call to the one before has timed out.
func TestReadersThatFailInSeriesDoNotDelayChanges(t *testing.T) {
	const electionDelay, electionInterval = time.Second, 1200 * time.Millisecond
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			live := []ident.Daemon{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}
			z := newZone(ctx, live...)
			time.Sleep(4*time.Second + offset)
			var failed []ident.Daemon
			for range 3 {
				reader := electedReader(live)
				z.freeze(reader, true)
				failed = append(failed, reader)
				live = slices.DeleteFunc(live, func(id ident.Daemon) bool { return id == reader })
			}
			time.Sleep(electionDelay)
			z.store.put("k", "new", false)
			time.Sleep(electionInterval - electionDelay)
			z.elect(append(slices.Clone(live), failed[1:]...)...)
			time.Sleep(electionInterval)
			z.elect(append(slices.Clone(live), failed[2:]...)...)
			time.Sleep(maxChangeDelay - 2*electionInterval + electionDelay)
			z.expectValue(t, "k", "new", failed...)
			cancel()
			synctest.Wait()
		})
	}
}
