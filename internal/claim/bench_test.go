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
	// tableWrites is the budget of the fleet's table in transactions a second.
	tableWrites  = 300
	tableLatency = 4 * time.Millisecond
	benchTime    = 4 * time.Second
)

// budgetTable makes transactions above the budget wait for their turn.
type budgetTable struct {
	*fakeTable
	pace *rate.Limiter
}

func newBudgetTable() *budgetTable {
	t := &budgetTable{newFakeTable(), rate.NewLimiter(tableWrites, tableWrites/10)}
	t.latency = tableLatency
	return t
}

func (t *budgetTable) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	if err := t.pace.Wait(ctx); err != nil {
		return 0, &platform.Unavailable{Cause: err}
	}
	return t.fakeTable.Commit(ctx, tx)
}

// runner claims, runs and finishes one request; it is false where it was refused.
type runner func(k Key) (claimed time.Duration, ok bool)

// grouped runs requests through claimers that share transactions.
func grouped(b *testing.B, table platform.Table, daemons int, writes float64) runner {
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
		begun := time.Now()
		d, err := claimers[rand.IntN(daemons)].Claim(ctx, k, digest, "x")
		took := time.Since(begun)
		p, ok := d.(Proceed)
		if err != nil || !ok || p.Hold.Start(time.Now()) != nil {
			return took, false
		}
		running.Go(func() { _ = p.Hold.Finish(ctx, Outcome{Result: resultcode.Ran}) })
		return took, true
	}
}

// single runs requests with a transaction for each claim and each outcome.
func single(b *testing.B, table platform.Table) runner {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() { cancel(); running.Wait() })
	return func(k Key) (time.Duration, bool) {
		begun := time.Now()
		wait, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		revision, err := table.Commit(wait, oneRow(rowKey(k), 0))
		took := time.Since(begun)
		if err != nil {
			return took, false
		}
		running.Go(func() { _, _ = table.Commit(ctx, oneRow(rowKey(k), revision)) })
		return took, true
	}
}

func oneRow(key string, revision uint64) platform.Transaction {
	return platform.Transaction{
		Operation:  platform.NewOperation(),
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Puts:       []platform.Put{{Key: key, Value: Record{Digest: digest}.encode()}},
	}
}

// offer sends requests at a steady rate, whatever becomes of them, and reports
// how many were claimed in their time and after which wait.
func offer(b *testing.B, perSecond float64, run runner) {
	var mu sync.Mutex
	var waits []time.Duration
	refused := 0
	var running sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < benchTime; i++ {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		running.Go(func() {
			took, ok := run(Key{Service: "s", Workspace: "w", Idempotency: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			if ok {
				waits = append(waits, took)
				return
			}
			refused++
		})
	}
	running.Wait()
	elapsed := time.Since(begun)
	report(b, waits, refused, elapsed)
}

func report(b *testing.B, waits []time.Duration, refused int, elapsed time.Duration) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(waits))/elapsed.Seconds(), "claims/s")
	b.ReportMetric(float64(refused)*100/float64(refused+len(waits)), "%refused")
	b.ReportMetric(percentile(waits, 0.5), "p50-ms")
	b.ReportMetric(percentile(waits, 0.99), "p99-ms")
}

// BenchmarkSevenDaemons offers a rate of unrepeatable requests to the fleets of
// today, whose seven daemons share the table's budget.
func BenchmarkSevenDaemons(b *testing.B) {
	for _, perSecond := range []float64{50, 140, 300, 1000, 5000} {
		b.Run(fmt.Sprintf("single/%v", perSecond), func(b *testing.B) {
			offer(b, perSecond, single(b, newBudgetTable()))
		})
		b.Run(fmt.Sprintf("grouped/%v", perSecond), func(b *testing.B) {
			offer(b, perSecond, grouped(b, newBudgetTable(), 7, 40))
		})
	}
}

// BenchmarkShareOfLargeFleet offers one daemon of 360 its part of 200 writes a
// second.
func BenchmarkShareOfLargeFleet(b *testing.B) {
	const share = 200.0 / 360
	for _, perSecond := range []float64{0.2, 1, 7, 70} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			offer(b, perSecond, grouped(b, newBudgetTable(), 1, share))
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

// BenchmarkSlowTable offers 100 requests a second to seven daemons while the
// table takes long for each transaction.
func BenchmarkSlowTable(b *testing.B) {
	for _, latency := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		b.Run(latency.String(), func(b *testing.B) {
			table := newBudgetTable()
			table.latency = latency
			offer(b, 100, grouped(b, table, 7, 40))
		})
	}
}
