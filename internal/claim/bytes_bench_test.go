package claim_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/lease"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/resultcode"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	c.total.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// newCountingClient returns a client of a stand-in platform and the counter of its
// bytes.
func newCountingClient(b *testing.B) (*platform.Client, *atomic.Int64) {
	server := httptest.NewServer(platformstandin.New(platformstandin.Config{}))
	total := new(atomic.Int64)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, total}, nil
	}
	client := platform.NewClient(platform.ClientConfig{
		URL: server.URL, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}, Logger: slog.New(slog.DiscardHandler),
	})
	b.Cleanup(func() { client.Close(); server.Close() })
	return client, total
}

// BenchmarkBytesOfClaims reports the bytes transferred per claim and its final
// record, including HTTP and excluding TCP and IP headers, for several numbers of
// concurrent claims.
func BenchmarkBytesOfClaims(b *testing.B) {
	for _, inFlight := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(inFlight, " in flight"), func(b *testing.B) {
			is := is.New(b)
			client, total := newCountingClient(b)
			c := claim.New(claim.Config{Daemon: "d1", Incarnation: 1, WritesPerSecond: 1000}, client, nil, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { c.Run(ctx) })
			defer running.Wait()
			defer cancel()
			for n := range b.N {
				var group sync.WaitGroup
				for i := range inFlight {
					group.Go(func() { claimOnce(ctx, is, c, fmt.Sprintf("%s-%d-%d", b.Name(), n, i)) })
				}
				group.Wait()
			}
			b.ReportMetric(float64(total.Load())/float64(b.N*inFlight), "bytes/claim")
		})
	}
}

func claimOnce(ctx context.Context, is *is.I, c *claim.Claimer, name string) {
	k := claim.Key{Service: "portal-socios", Workspace: "caso-despido", IdempotencyKey: name}
	d, err := c.Claim(ctx, k, make([]byte, 32), ident.NewAttempt())
	is.NoErr(err)
	hold := d.(claim.Proceed).Hold
	is.NoErr(hold.Start(time.Now()))
	is.NoErr(hold.Finish(ctx, claim.Outcome{Result: resultcode.Ran, HasResponse: true, StatusCode: 200, Body: make([]byte, 300)}))
}

// BenchmarkBytesOfLease reports the bytes transferred to acquire and release a lease
// around one order.
func BenchmarkBytesOfLease(b *testing.B) {
	is := is.New(b)
	ctx := context.Background()
	client, total := newCountingClient(b)
	for n := range b.N {
		l := lease.New(client, clock.Real, "redactor", ident.Target(fmt.Sprint("engine-", n)), time.Minute)
		is.NoErr(l.Acquire(ctx, lease.Claim{Holder: "d1", Incarnation: 1, Fenced: true, Document: 1}))
		is.NoErr(l.Release(ctx))
	}
	b.ReportMetric(float64(total.Load())/float64(b.N), "bytes/lease")
}
