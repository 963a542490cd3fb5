package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/linkload"
)

const (
	// linkLookInterval is how often the delay of this daemon's own messages is looked at, and
	// linkProbeInterval how often it is measured while callers send much.
	linkLookInterval  = 300 * time.Millisecond
	linkProbeInterval = 600 * time.Millisecond
	// linkProbeTimeout ends a probe that gets no answer.
	linkProbeTimeout = 10 * time.Second
	// minProbedBytes is how many bytes callers have to send in linkProbeInterval before probes are sent.
	minProbedBytes = 64 << 10
	// ownZoneProbes and otherZoneProbes are how many daemons of each kind are probed.
	ownZoneProbes, otherZoneProbes = 2, 2
	// acceptedWeight is the weight of one look in the smoothed rate of new connections.
	acceptedWeight = 0.3
	// limitedBurst is how many requests are taken at once while their rate is limited.
	limitedBurst = 8
)

// linkMonitor measures how long this daemon's own messages take, and limits the requests that it takes
// while the link of the VM is full. It is safe for concurrent use.
type linkMonitor struct {
	// ping sends another daemon a request that has no effect.
	ping  func(ctx context.Context, to ident.Daemon) error
	conns *connTracker
	// schedLatency returns the highest scheduling latency since its last call.
	schedLatency func() time.Duration
	// tokens bounds the requests that are not refused.
	tokens *rate.Limiter
	// limit is the rate of requests that are not refused, in thousandths per second; zero means no limit.
	limit atomic.Int64
	// congested reports that the last look found the link full.
	congested atomic.Bool

	mu      sync.Mutex
	monitor *linkload.Monitor
	limiter linkload.Limiter
	peers   []ident.Daemon
	// openedBefore is the count of connections at the last look, lookedAt, and receivedBefore that of
	// bytes when probes were due last, probedAt. accepted is the smoothed rate of new connections per
	// second.
	openedBefore, receivedBefore int64
	lookedAt, probedAt           time.Time
	accepted                     float64
}

func newLinkMonitor() *linkMonitor {
	return &linkMonitor{monitor: linkload.NewMonitor(), schedLatency: func() time.Duration { return 0 }, tokens: rate.NewLimiter(rate.Inf, limitedBurst)}
}

// setPeers chooses the daemons to probe. It keeps those that are still live, so that connections last.
func (l *linkMonitor) setPeers(own, others []ident.Daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := append(l.choose(own, ownZoneProbes), l.choose(others, otherZoneProbes)...)
	for _, id := range l.peers {
		if len(chosen) < len(l.peers) && !slices.Contains(chosen, id) {
			chosen = append(chosen, id) // while the link is full, no other daemon seems to be live
		}
	}
	l.peers = chosen
}

// choose returns up to n of the given daemons, those that are probed already first. The caller holds
// the lock.
func (l *linkMonitor) choose(from []ident.Daemon, n int) (chosen []ident.Daemon) {
	probed := map[ident.Daemon]bool{}
	for _, id := range l.peers {
		probed[id] = true
	}
	var rest []ident.Daemon
	for _, id := range from {
		if probed[id] && len(chosen) < n {
			chosen = append(chosen, id)
		} else {
			rest = append(rest, id)
		}
	}
	for len(chosen) < n && len(rest) > 0 {
		i := rand.IntN(len(rest))
		chosen, rest = append(chosen, rest[i]), append(rest[:i], rest[i+1:]...)
	}
	return chosen
}

// run looks at the link until ctx ends.
func (l *linkMonitor) run(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(linkLookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, peer := range l.look(time.Now(), log) {
			go l.probe(ctx, peer)
		}
	}
}

// look updates the limit, and returns the daemons that are to be probed now.
func (l *linkMonitor) look(now time.Time, log *slog.Logger) (probe []ident.Daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	received, opened := l.conns.received.Load(), l.conns.opened.Load()
	if !l.lookedAt.IsZero() {
		l.accepted += acceptedWeight * (float64(opened-l.openedBefore)/now.Sub(l.lookedAt).Seconds() - l.accepted)
	}
	l.openedBefore, l.lookedAt = opened, now
	l.monitor.ObserveLatency(l.schedLatency())
	delay := l.monitor.Delay(now)
	l.apply(l.limiter.Observe(now, delay, l.accepted), delay, log)
	if now.Sub(l.probedAt) < linkProbeInterval {
		return nil
	}
	busy := received-l.receivedBefore >= minProbedBytes
	l.receivedBefore, l.probedAt = received, now
	if !busy && !l.limited() {
		return nil
	}
	for _, peer := range l.peers {
		if l.monitor.Sent(now, peer) {
			probe = append(probe, peer)
		}
	}
	return probe
}

// apply puts a limit into force. The caller holds the lock.
func (l *linkMonitor) apply(limit float64, delay time.Duration, log *slog.Logger) {
	l.congested.Store(delay >= linkload.CongestedDelay)
	before := l.limit.Swap(int64(limit * limitScale))
	l.tokens.SetLimit(rate.Limit(limit))
	switch {
	case before == 0 && limit > 0:
		event.LinkFull.Log(log, "delay_ms", delay.Milliseconds(), "accepted", l.accepted, "limit", limit, "callers", l.conns.countOpen())
	case before > 0 && limit == 0:
		event.LinkFree.Log(log, "accepted", l.accepted)
	}
}

// limitScale is the scale of linkMonitor.limit.
const limitScale = 1000

// probe measures the round trip to a daemon.
func (l *linkMonitor) probe(ctx context.Context, peer ident.Daemon) {
	probeCtx, cancel := context.WithTimeout(ctx, linkProbeTimeout)
	defer cancel()
	_ = l.ping(probeCtx, peer) // an error has taken its time as well, and a daemon that is gone is no longer probed
	l.mu.Lock()
	defer l.mu.Unlock()
	l.monitor.ObserveLatency(l.schedLatency())
	l.monitor.Answered(time.Now(), peer)
}

// limited reports whether requests are limited because the link is full, or was lately.
func (l *linkMonitor) limited() bool { return l.limit.Load() > 0 }

// mustRefuse reports whether the next request is one too many for the link.
func (l *linkMonitor) mustRefuse() bool { return l.limited() && !l.tokens.Allow() }
