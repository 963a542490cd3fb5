package daemon

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
)

// delayedPings is a link on which each message to another daemon takes a time of its own.
type delayedPings map[ident.Daemon]time.Duration

// fullFor is how long the link of delayedPings is full.
const fullFor = 10 * time.Second

func (d delayedPings) ping(ctx context.Context, to ident.Daemon, began time.Time) error {
	delay := d[to]
	if time.Since(began) > fullFor {
		delay = 0
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runLinkMonitor runs a linkMonitor beside a flood of the given length, and returns it and how many of a
// hundred requests a second it refused in each second.
func runLinkMonitor(t *testing.T, pings delayedPings, flood, after time.Duration) (l *linkMonitor, refused []int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l = newLinkMonitor()
	began := time.Now()
	l.ping = func(ctx context.Context, to ident.Daemon) error { return pings.ping(ctx, to, began) }
	l.conns = newConnTracker(0)
	l.setPeers([]ident.Daemon{"own1", "own2"}, []ident.Daemon{"far1", "far2"})
	go l.run(ctx, slog.New(slog.DiscardHandler))
	for elapsed := time.Duration(0); elapsed < flood+after; elapsed += time.Second {
		count := 0
		for range 100 {
			if elapsed < flood {
				l.conns.received.Add(10 << 10)
				l.conns.opened.Add(1)
				if l.mustRefuse() {
					count++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		refused = append(refused, count)
	}
	return l, refused
}

// Guards against a daemon with a full link that goes on taking all requests, since its processor is idle,
// and against one that refuses them for good.
func TestRequestsAreLimitedWhileTheLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pings := delayedPings{"own1": 2 * time.Second, "own2": 3 * time.Second, "far1": 2 * time.Second, "far2": 2500 * time.Millisecond}
		l, refused := runLinkMonitor(t, pings, fullFor, 0)
		is.True(l.limited() && l.congested.Load())
		is.True(refused[3] >= 40 && refused[9] >= 70)
		l.setPeers(nil, nil) // links to other daemons are down, as none of them answers in time
		is.Equal(len(l.peers), 4)
	})
	synctest.Test(t, func(t *testing.T) {
		l, refused := runLinkMonitor(t, delayedPings{}, fullFor, 0)
		is := is.New(t)
		is.True(!l.limited())
		is.Equal(refused, make([]int, 10))
	})
}

// Guards against a daemon that takes another one's full link, or that of all daemons of its zone, or a
// zone that is cut off, for its own.
func TestFullLinksOfOthersDoNotLimitRequests(t *testing.T) {
	for _, pings := range []delayedPings{
		{"own1": 3 * time.Second},
		{"own1": 3 * time.Second, "own2": 3 * time.Second},
		{"far1": time.Hour, "far2": time.Hour},
		{"own1": 3 * time.Second, "far1": time.Hour, "far2": time.Hour},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, _ := runLinkMonitor(t, pings, fullFor, 0)
			is.New(t).True(!l.limited())
		})
	}
}

// Guards against a limit that outlives the flood.
func TestLimitEndsWithTheFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pings := delayedPings{"own1": 2 * time.Second, "own2": 2 * time.Second, "far1": 2 * time.Second, "far2": 2 * time.Second}
		l, _ := runLinkMonitor(t, pings, fullFor, 20*time.Second)
		is.True(!l.limited() && !l.congested.Load())
	})
}
