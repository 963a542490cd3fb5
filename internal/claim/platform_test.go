package claim_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/resultcode"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

// directQuerier queries the other claimers without a network.
type directQuerier struct {
	mu       sync.Mutex
	claimers map[string]*claim.Claimer
}

func (d *directQuerier) QueryClaim(_ context.Context, daemon ident.Daemon, incarnation uint64, key claim.Key, token ident.Attempt) (claim.Status, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.claimers[string(daemon)].AnswerQuery(daemon, incarnation, key, token), nil
}

// newClaimer starts a claimer that uses the platform's HTTP binding.
func (d *directQuerier) newClaimer(t *testing.T, url, name string, wait time.Duration) *claim.Claimer {
	client := platform.NewClient(platform.ClientConfig{URL: url, AttemptTimeout: 200 * time.Millisecond, Logger: slog.New(slog.DiscardHandler)})
	c := claim.New(claim.Config{Daemon: ident.Daemon(name), Incarnation: 1, ClaimTimeout: wait, WritesPerSecond: 1000}, client, d, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done; client.Close() })
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claimers[name] = c
	return c
}

func startPlatform(t *testing.T) (*platformstandin.Server, string) {
	server := platformstandin.New(platformstandin.Config{})
	listener := httptest.NewServer(server)
	t.Cleanup(func() { listener.Close(); server.WaitForDelayedWrites() })
	return server, listener.URL
}

func TestClaimsOverLossyPlatform(t *testing.T) {
	// 40 callers claim concurrently while the table applies their writes but the
	// responses are lost, and then again through another daemon. Each key must be
	// granted once, and no caller may be refused because of the table.
	is := is.New(t)
	server, url := startPlatform(t)
	d := &directQuerier{claimers: map[string]*claim.Claimer{}}
	a, b := d.newClaimer(t, url, "a", 20*time.Second), d.newClaimer(t, url, "b", 20*time.Second)
	const keys = 40
	var granted [keys]int
	for _, c := range []*claim.Claimer{a, b} {
		server.SetFaults(platformstandin.Table, platformstandin.Faults{LostResponses: 3})
		var callers sync.WaitGroup
		for i := range keys {
			callers.Go(func() {
				k := claim.Key{Service: "s", Workspace: "w", IdempotencyKey: fmt.Sprint(i)}
				decision, err := c.Claim(context.Background(), k, []byte("digest"), "x")
				if _, ok := decision.(claim.Proceed); ok && err == nil {
					granted[i]++
				} else if r, ok := decision.(claim.Refuse); !ok || r.Failure.Code != resultcode.InProgress {
					t.Errorf("key %d: %v %v", i, decision, err)
				}
			})
		}
		callers.Wait()
	}
	for i := range keys {
		is.Equal(granted[i], 1)
	}
}

func TestClaimsWhilePlatformIsDown(t *testing.T) {
	// The table does not respond for longer than ClaimTimeout. The writes sent to it
	// may then take effect late, and the caller retries through another daemon.
	for name, faults := range map[string]platformstandin.Faults{
		"down":   {Unavailable: true},
		"silent": {NoResponse: true},
		"late":   {LostResponses: -1, LostWriteDelay: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, url := startPlatform(t)
			d := &directQuerier{claimers: map[string]*claim.Claimer{}}
			a, b := d.newClaimer(t, url, "a", 300*time.Millisecond), d.newClaimer(t, url, "b", 20*time.Second)
			server.SetFaults(platformstandin.Table, faults)
			k := claim.Key{Service: "s", Workspace: "w", IdempotencyKey: "k"}
			decision, err := a.Claim(t.Context(), k, []byte("digest"), "x")
			is.NoErr(err)
			is.Equal(decision.(claim.Refuse).Failure.Code, resultcode.StoreUnavailable)
			server.SetFaults(platformstandin.Table, platformstandin.Faults{})
			server.WaitForDelayedWrites()
			decision, err = b.Claim(t.Context(), k, []byte("digest"), "x")
			is.NoErr(err)
			is.NoErr(decision.(claim.Proceed).Hold.Start(time.Now()))
		})
	}
}
