package claim

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	// tableWritesPerSecond is the transaction budget of the fleet's table.
	tableWritesPerSecond = 300
	tableLatency         = 4 * time.Millisecond
	benchDuration        = 4 * time.Second
)

// rateLimitedTable delays transactions that exceed the budget.
type rateLimitedTable struct {
	*fakeTable
	limiter *rate.Limiter
}

func newRateLimitedTable() *rateLimitedTable {
	t := &rateLimitedTable{newFakeTable(), rate.NewLimiter(tableWritesPerSecond, tableWritesPerSecond/10)}
	t.latency = tableLatency
	return t
}

func (t *rateLimitedTable) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	if err := t.limiter.Wait(ctx); err != nil {
		return 0, &platform.Unavailable{Cause: err}
	}
	return t.fakeTable.Commit(ctx, tx)
}

// claimFunc claims, runs and finishes one request. ok is false if it was refused.
type claimFunc func(k Key) (claimed time.Duration, ok bool)

// batchedClaims runs requests through claimers, which batch their writes.
func batchedClaims(b *testing.B, table platform.Table, daemons int, writes float64) claimFunc {
	var claimers []*Claimer
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range daemons {
		c := New(Config{Daemon: ident.Daemon(fmt.Sprint("d", i)), Incarnation: 1, WritesPerSecond: writes},
			table, nil, slog.New(slog.DiscardHandler))
		claimers = append(claimers, c)
		running.Go(func() { c.Run(ctx) })
	}
	b.Cleanup(func() { cancel(); running.Wait() })
	return func(k Key) (time.Duration, bool) {
		start := time.Now()
		d, err := claimers[rand.IntN(daemons)].Claim(ctx, k, testDigest, "x")
		waited := time.Since(start)
		p, ok := d.(Proceed)
		if err != nil || !ok || p.Hold.Start(time.Now()) != nil {
			return waited, false
		}
		running.Go(func() { _ = p.Hold.Finish(ctx, Outcome{Result: resultcode.Ran}) })
		return waited, true
	}
}

// unbatchedClaims runs requests with one transaction per claim and per outcome.
func unbatchedClaims(b *testing.B, table platform.Table) claimFunc {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() { cancel(); running.Wait() })
	return func(k Key) (time.Duration, bool) {
		start := time.Now()
		claimCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		revision, err := table.Commit(claimCtx, singleRowTransaction(rowKey(k), 0))
		waited := time.Since(start)
		if err != nil {
			return waited, false
		}
		running.Go(func() { _, _ = table.Commit(ctx, singleRowTransaction(rowKey(k), revision)) })
		return waited, true
	}
}

func singleRowTransaction(key string, revision uint64) platform.Transaction {
	return platform.Transaction{
		Operation:  platform.NewOperationID(),
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Puts:       []platform.Put{{Key: key, Value: Record{Digest: testDigest}.encode()}},
	}
}

// generateLoad sends requests at a constant rate, regardless of their results, and
// reports how many were claimed before their timeout and how long they waited.
func generateLoad(b *testing.B, perSecond float64, claim claimFunc) {
	var mu sync.Mutex
	var waits []time.Duration
	refused := 0
	var running sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < benchDuration; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		running.Go(func() {
			waited, ok := claim(Key{Service: "s", Workspace: "w", IdempotencyKey: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			if ok {
				waits = append(waits, waited)
				return
			}
			refused++
		})
	}
	running.Wait()
	elapsed := time.Since(start)
	reportMetrics(b, waits, refused, elapsed)
}

func reportMetrics(b *testing.B, waits []time.Duration, refused int, elapsed time.Duration) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(waits))/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(refused)*100/float64(refused+len(waits)), "%refused")
	b.ReportMetric(percentile(waits, 0.5), "p50-ms")
	b.ReportMetric(percentile(waits, 0.99), "p99-ms")
}

// BenchmarkSevenDaemons sends non-idempotent requests at several rates to a fleet
// of the current size, whose seven daemons share the table's budget.
func BenchmarkSevenDaemons(b *testing.B) {
	for _, perSecond := range []float64{50, 140, 300, 1000, 5000} {
		b.Run(fmt.Sprintf("single/%v", perSecond), func(b *testing.B) {
			generateLoad(b, perSecond, unbatchedClaims(b, newRateLimitedTable()))
		})
		b.Run(fmt.Sprintf("grouped/%v", perSecond), func(b *testing.B) {
			generateLoad(b, perSecond, batchedClaims(b, newRateLimitedTable(), 7, 40))
		})
	}
}

// BenchmarkShareOfLargeFleet sends requests to one daemon of a fleet of 360, which
// share a budget of 200 writes per second.
func BenchmarkShareOfLargeFleet(b *testing.B) {
	const share = 200.0 / 360
	for _, perSecond := range []float64{0.2, 1, 7, 70} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			generateLoad(b, perSecond, batchedClaims(b, newRateLimitedTable(), 1, share))
		})
	}
}

func percentile(waits []time.Duration, p float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return float64(waits[int(p*float64(len(waits)-1))]) / float64(time.Millisecond)
}

// BenchmarkSlowTable sends 100 requests per second to seven daemons while the table
// has a high latency per transaction.
func BenchmarkSlowTable(b *testing.B) {
	for _, latency := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		b.Run(latency.String(), func(b *testing.B) {
			table := newRateLimitedTable()
			table.latency = latency
			generateLoad(b, 100, batchedClaims(b, table, 7, 40))
		})
	}
}
