package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
)

// linkDelay is how long each message of one daemon takes on its way out and on its way in.
type linkDelay struct{ out, in time.Duration }

func (d linkDelay) roundTrip() time.Duration { return d.out + d.in }

// delayed makes a call whose request and response take the delays of a link. Like messages that
// are under way, neither is taken back when ctx ends, but the caller then no longer waits.
func delayed[T any](ctx context.Context, d linkDelay, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		time.Sleep(d.out)
		value, err := call(ctx)
		time.Sleep(d.in)
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// delayedZone is a zone in which the messages of one daemon are delayed.
type delayedZone struct {
	*zone
	slow  ident.Daemon
	delay linkDelay
	// useful counts the calls of the slow daemon to the store that brought a change, latest is the latest
	// revision of a whole table that it read.
	useful, latest atomic.Int64
}

// delayedPeers is the other daemons as one of a delayedZone reaches them.
type delayedPeers struct {
	zone *delayedZone
	self ident.Daemon
}

// Follow implements relay.Peers.
func (p delayedPeers) Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	d := p.zone.delay
	switch p.zone.slow {
	case p.self:
	case reader:
		d = linkDelay{out: d.in, in: d.out}
	default:
		d = linkDelay{}
	}
	return delayed(ctx, d, func(ctx context.Context) (platform.FeedAnswer, error) { return p.zone.zone.Follow(ctx, reader, q) })
}

// delayedClient is the store as the daemon with the delayed messages reaches it.
type delayedClient struct {
	storeClient
	delay linkDelay
	// useful counts the calls that brought a change, latest is the latest revision of a whole table.
	useful, latest *atomic.Int64
}

type tableAnswer struct {
	rows     []platform.FeedRow
	revision platform.Revision
}

// ReadTable implements platform.Feed.
func (c delayedClient) ReadTable(ctx context.Context, table string) ([]platform.FeedRow, platform.Revision, error) {
	answer, err := delayed(ctx, c.delay, func(ctx context.Context) (a tableAnswer, err error) {
		a.rows, a.revision, err = c.storeClient.ReadTable(ctx, table)
		if number := int64(a.revision.Number()); c.latest.Swap(number) < number {
			c.useful.Add(1)
		}
		return a, err
	})
	return answer.rows, answer.revision, err
}

// Changes implements platform.Feed.
func (c delayedClient) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	answer, err := delayed(ctx, c.delay, func(ctx context.Context) (a tableAnswer, err error) {
		a.rows, a.revision, err = c.storeClient.Changes(ctx, table, after, wait)
		if len(a.rows) > 0 {
			c.useful.Add(1)
		}
		return a, err
	})
	return answer.rows, answer.revision, err
}

func newDelayedZone(ctx context.Context, slow ident.Daemon, delay linkDelay) *delayedZone {
	z := &delayedZone{zone: newUnelectedZone(fiveDaemons...), slow: slow, delay: delay}
	for _, name := range fiveDaemons {
		var store platform.Feed = storeClient{z.store, name}
		if name == slow {
			store = delayedClient{storeClient{z.store, name}, delay, &z.useful, &z.latest}
		}
		z.feeds[name] = relay.New(relay.Config{
			Self: name, Zone: "z", Store: store, Peers: delayedPeers{z, name}, HeartbeatTable: heartbeatTable, Logger: slog.New(slog.DiscardHandler),
		})
	}
	z.elect(fiveDaemons...)
	z.follow(ctx)
	z.followSecondTable(ctx)
	return z
}

// Guards against a daemon that never learns of a change because each of its messages takes longer
// than the time that one call gets, and against one that calls the store over and over again meanwhile.
func TestDaemonWithSteadyDelayAppliesChanges(t *testing.T) {
	const changes, changeInterval = 40, 1700 * time.Millisecond
	for _, roundTrip := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for name, delay := range map[string]linkDelay{
			"both ways": {roundTrip / 2, roundTrip / 2}, "out": {out: roundTrip}, "in": {in: roundTrip},
		} {
			for _, asReader := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reader=%t", roundTrip, name, asReader), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runWithSteadyDelay(t, delay, asReader, changes, changeInterval) })
				})
			}
		}
	}
}

func runWithSteadyDelay(t *testing.T, delay linkDelay, asReader bool, changes int, interval time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	slow := electedReader(fiveDaemons)
	if !asReader {
		slow = fiveDaemons[0]
		if slow == electedReader(fiveDaemons) {
			slow = fiveDaemons[1]
		}
	}
	z := newDelayedZone(ctx, slow, delay)
	time.Sleep(8 * time.Second)
	idleCalls := func() int { return z.store.callCount(slow) - int(z.useful.Load()) }
	before, began := idleCalls(), time.Now()
	limit := delay.roundTrip() + maxChangeDelay
	var mu sync.Mutex // guards worst
	var worst time.Duration
	for i := range changes {
		value := fmt.Sprintf("%03d", i)
		z.store.put("k", value, false)
		put := time.Now()
		go func() {
			for z.subscribers[slow].value("k") < value && ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			worst = max(worst, time.Since(put))
		}()
		time.Sleep(interval)
	}
	time.Sleep(limit)
	mu.Lock()
	latest := worst
	mu.Unlock()
	calls, elapsed := idleCalls()-before, time.Since(began)
	if last := z.subscribers[slow].value("k"); last != fmt.Sprintf("%03d", changes-1) {
		t.Errorf("the last change is not in force after %s: %q", limit, last)
	}
	if latest > limit {
		t.Errorf("a change is in force after %s, want at most %s", latest, limit)
	}
	most := int(elapsed / time.Second)
	if asReader {
		most = int(elapsed / (800 * time.Millisecond)) // a reader's heartbeat calls, each of which waits for 800 ms
	}
	if calls > most {
		t.Errorf("%d calls to the store brought nothing in %s", calls, elapsed)
	}
	t.Logf("in force after %s at most, %d calls to the store brought nothing in %s", latest, calls, elapsed)
	cancel()
	time.Sleep(30 * time.Second) // messages under way arrive
	synctest.Wait()
}
