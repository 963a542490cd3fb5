package claim

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/test/process"
)

func TestMain(m *testing.M) {
	process.Main(map[string]process.ChildFunc{"claimant": runClaimant})
	goleak.VerifyTestMain(m)
}

// fleet is a set of claimers that share a table and query each other.
type fleet struct {
	mu          sync.Mutex
	claimers    map[ident.Daemon]*Claimer
	unreachable map[ident.Daemon]bool
}

func (f *fleet) QueryClaim(_ context.Context, daemon ident.Daemon, incarnation uint64, key Key, token ident.Attempt) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claimers[daemon]
	if c == nil || f.unreachable[daemon] {
		return Status{}, errors.New("unreachable")
	}
	return c.AnswerQuery(daemon, incarnation, key, token), nil
}

func (f *fleet) addDaemon(t *testing.T, table *fakeTable, cfg Config) *Claimer {
	c := New(cfg, table, f, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimers[cfg.Daemon] = c
	return c
}

func newFleet() *fleet {
	return &fleet{claimers: map[ident.Daemon]*Claimer{}, unreachable: map[ident.Daemon]bool{}}
}

// testConfig returns a config with short delays between retries and a long total
// timeout.
func testConfig(daemon ident.Daemon) Config {
	return Config{
		Daemon: daemon, Incarnation: 1, ClaimTimeout: 20 * time.Second, WritesPerSecond: 1e6,
		Backoff: time.Millisecond, BackoffMax: 5 * time.Millisecond, CommitTimeout: 50 * time.Millisecond,
	}
}

var (
	testKey    = Key{Service: "portal-socios", Workspace: "local-7", IdempotencyKey: "filing-1"}
	testDigest = []byte("digest")
)

func mustClaim(t *testing.T, c *Claimer) Decision {
	t.Helper()
	d, err := c.Claim(t.Context(), testKey, testDigest, ident.NewAttempt())
	is.New(t).NoErr(err)
	return d
}

func mustHold(t *testing.T, c *Claimer) *Hold {
	t.Helper()
	p, ok := mustClaim(t, c).(Proceed)
	is.New(t).True(ok) // the claim is granted
	return p.Hold
}

func mustBeRefused(t *testing.T, c *Claimer) resultcode.Code {
	t.Helper()
	r, ok := mustClaim(t, c).(Refuse)
	is.New(t).True(ok) // the claim is refused
	return r.Failure.Code
}

// claimDuringOutage claims with a short timeout during an outage and expects a
// refusal.
func claimDuringOutage(t *testing.T, c *Claimer) {
	t.Helper()
	c.cfg.ClaimTimeout = 100 * time.Millisecond
	is.New(t).Equal(mustBeRefused(t, c), resultcode.StoreUnavailable)
	c.cfg.ClaimTimeout = 20 * time.Second
}

func flush(t *testing.T, c *Claimer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.New(t).NoErr(c.Flush(ctx))
}

func TestRetryThroughAnotherDaemon(t *testing.T) {
	// A caller's first request hangs, and the caller retries with the same key
	// through another daemon: while the first request is waiting, while it is
	// running, and after it has finished. There must be one run, and the last retry
	// must receive its response.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	h := mustHold(t, a)
	is.Equal(mustBeRefused(t, b), resultcode.InProgress)
	is.NoErr(h.Start(time.Now()))
	is.Equal(mustBeRefused(t, b), resultcode.InProgress)
	is.Equal(mustBeRefused(t, a), resultcode.InProgress)
	is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran, HasResponse: true, StatusCode: 201, Body: []byte("no. 17")}))
	f.unreachable["a"] = true // the stored record is sufficient
	r, ok := mustClaim(t, b).(Replay)
	is.True(ok)
	is.Equal(string(r.Outcome.Body), "no. 17")
}

func TestOversizedResponseIsNotStored(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	cfg := testConfig("a")
	cfg.MaxResponseBytes = 3
	a := f.addDaemon(t, table, cfg)
	h := mustHold(t, a)
	is.NoErr(h.Start(time.Now()))
	is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran, HasResponse: true, Body: []byte("long")}))
	is.Equal(mustBeRefused(t, a), resultcode.AlreadyRan)
}

func TestKeyReusedForAnotherRequest(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	mustHold(t, a)
	for _, c := range []*Claimer{a, b} {
		d, err := c.Claim(t.Context(), testKey, []byte("other"), "x")
		is.NoErr(err)
		is.Equal(d.(Refuse).Failure.Code, resultcode.IdempotencyKeyReused)
	}
}

func TestUnreachableClaimant(t *testing.T) {
	// The first daemon is unreachable, or has restarted while its claim was open.
	// Whether it dispatched the request is unknown, so every daemon, including the
	// restarted one, replies to a retry that the request may have run.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	mustHold(t, a)
	f.unreachable["a"] = true
	is.Equal(mustBeRefused(t, b), resultcode.OutcomeUnknown)
	f.unreachable["a"] = false
	restarted := testConfig("a")
	restarted.Incarnation = 2
	a2 := f.addDaemon(t, table, restarted)
	is.Equal(mustBeRefused(t, b), resultcode.OutcomeUnknown)
	is.Equal(mustBeRefused(t, a2), resultcode.OutcomeUnknown)
}

func TestPausedClaimantAfterRevocation(t *testing.T) {
	// A daemon claims and is then stopped (SIGSTOP) before the first byte for longer
	// than its StartTimeout. When it resumes, a retry through another daemon queries
	// it before its own request continues. Only one of the two may dispatch.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	var mu sync.Mutex
	now := time.Now()
	cfg := testConfig("a")
	cfg.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	a, b := f.addDaemon(t, table, cfg), f.addDaemon(t, table, testConfig("b"))
	h := mustHold(t, a)
	mu.Lock()
	now = now.Add(2 * time.Hour)
	mu.Unlock()
	second := mustHold(t, b)
	err := h.Start(cfg.Now().Add(-2 * time.Hour)) // even with a time read before the pause
	var failure *resultcode.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code.Outcome, resultcode.NotRun)
	is.NoErr(second.Start(time.Now()))
	is.True(second.Start(time.Now()) != nil) // once only
}

func TestAbandonAllowsRetry(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	h := mustHold(t, a)
	is.True(h.Abandon())
	second := mustHold(t, b)
	is.True(h.Start(time.Now()) != nil)
	is.NoErr(second.Start(time.Now()))
	is.True(!second.Abandon()) // a started hold cannot be abandoned
	is.True(second.MarkNotRun())
	is.NoErr(second.Start(time.Now())) // the target did not process it
}

func TestCloseHold(t *testing.T) {
	// The request handler panics because of a bug. If this happens before the first
	// byte, a retry is permitted; after it, a retry is told that the request may have
	// run, rather than forever that it is in progress. Close does not change a hold
	// that was finished.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	mustHold(t, a).Close()
	h := mustHold(t, b)
	is.NoErr(h.Start(time.Now()))
	h.Close()
	is.Equal(mustBeRefused(t, a), resultcode.OutcomeUnknown)
	key2 := testKey
	key2.IdempotencyKey = "filing-2"
	d, err := a.Claim(t.Context(), key2, testDigest, "x")
	is.NoErr(err)
	ran := d.(Proceed).Hold
	is.NoErr(ran.Start(time.Now()))
	table.setDefaultFault(faultDown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(ran.Finish(ctx, Outcome{Result: resultcode.Ran}) != nil) // not recorded yet
	is.True(!ran.Abandon())
	ran.Close()
	table.setDefaultFault(faultNone)
	flush(t, a)
	d, err = b.Claim(t.Context(), key2, testDigest, "x")
	is.NoErr(err)
	is.Equal(d.(Refuse).Failure.Code, resultcode.AlreadyRan)
}

func TestStoreOutage(t *testing.T) {
	// The table is unreachable for longer than ClaimTimeout, and the caller is told
	// that its request was not run. This must remain true if the write takes effect
	// later, and a retry must run through any daemon.
	for name, tableFault := range map[string]fault{
		"down": faultDown, "lost": faultLost, "delayed": faultDelayed, "dropped": faultDropped,
	} {
		for _, retryDaemon := range []ident.Daemon{"a", "b"} {
			t.Run(fmt.Sprintf("%s, repeat through %s", name, retryDaemon), func(t *testing.T) {
				is := is.New(t)
				f, table := newFleet(), newFakeTable()
				f.addDaemon(t, table, testConfig("a"))
				f.addDaemon(t, table, testConfig("b"))
				table.setDefaultFault(tableFault)
				claimDuringOutage(t, f.claimers["a"])
				table.setDefaultFault(faultNone)
				table.applyDelayed()
				is.NoErr(mustHold(t, f.claimers[retryDaemon]).Start(time.Now()))
			})
		}
	}
}

func TestClaimantDiesAfterStoreOutage(t *testing.T) {
	// As in TestStoreOutage, but the daemon that gave up crashes later. It recorded
	// that the request did not run as soon as the table was available again, so a
	// retry runs.
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	table.setDefaultFault(faultDelayed)
	claimDuringOutage(t, a)
	table.setDefaultFault(faultNone)
	table.applyDelayed()
	flush(t, a)
	f.unreachable["a"] = true
	mustHold(t, b)
}

func TestSingleTableFaultIsHidden(t *testing.T) {
	// A single fault of the table is hidden from the caller, both when the claim is
	// written and when its outcome is written.
	for name, tableFault := range map[string]fault{
		"down": faultDown, "lost": faultLost, "delayed": faultDelayed, "dropped": faultDropped,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, table := newFleet(), newFakeTable(tableFault, faultNone, tableFault)
			a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
			h := mustHold(t, a)
			is.NoErr(h.Start(time.Now()))
			is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran}))
			table.applyDelayed()
			f.unreachable["a"] = true
			is.Equal(mustBeRefused(t, b), resultcode.AlreadyRan)
		})
	}
}

func TestOutcomeIsKnownDuringStoreOutage(t *testing.T) {
	// A run finishes while the table is unavailable. Its daemon answers queries and
	// its own callers from memory, and records the outcome once the table is
	// available again.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.addDaemon(t, table, testConfig("a")), f.addDaemon(t, table, testConfig("b"))
	h := mustHold(t, a)
	is.NoErr(h.Start(time.Now()))
	table.setDefaultFault(faultDown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(h.Finish(ctx, Outcome{Result: resultcode.MayHaveRun}) != nil)
	is.Equal(mustBeRefused(t, a), resultcode.OutcomeUnknown)
	table.setDefaultFault(faultNone)
	flush(t, a)
	f.unreachable["a"] = true
	is.Equal(mustBeRefused(t, b), resultcode.OutcomeUnknown)
}

func TestConflictDoesNotFailBatch(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	cfg := testConfig("a")
	cfg.Linger = 20 * time.Millisecond
	a, b := f.addDaemon(t, table, cfg), f.addDaemon(t, table, testConfig("b"))
	mustHold(t, b)
	const callers = 50
	var granted sync.Map
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			k := testKey
			if i > 0 {
				k.IdempotencyKey = fmt.Sprint("filing-", i+1)
			}
			d, err := a.Claim(t.Context(), k, testDigest, "x")
			_, ok := d.(Proceed)
			granted.Store(i, ok && err == nil)
		})
	}
	wg.Wait()
	for i := range callers {
		ok, _ := granted.Load(i)
		is.Equal(ok, i > 0) // only the key of the other daemon is refused
	}
}

func TestRequestWithoutKeyNeedsNoTable(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	table.setDefaultFault(faultDown)
	a := f.addDaemon(t, table, testConfig("a"))
	for range 2 {
		d, err := a.Claim(t.Context(), Key{Service: testKey.Service, Workspace: testKey.Workspace}, testDigest, "x")
		is.NoErr(err)
		h := d.(Proceed).Hold
		is.NoErr(h.Start(time.Now()))
		is.True(h.Start(time.Now()) != nil)
		is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran}))
	}
	is.Equal(table.commits, 0)
	is.Equal(len(a.ledger.entries), 0)
}
