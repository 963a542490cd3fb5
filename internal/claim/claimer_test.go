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
	process.Main(map[string]process.Part{"claimant": partClaimant})
	goleak.VerifyTestMain(m)
}

// fleet is several claimers on one table that ask each other.
type fleet struct {
	mu       sync.Mutex
	claimers map[ident.Daemon]*Claimer
	cut      map[ident.Daemon]bool
}

func (f *fleet) Ask(_ context.Context, d ident.Daemon, incarnation uint64, k Key, a ident.Attempt) (Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claimers[d]
	if c == nil || f.cut[d] {
		return Answer{}, errors.New("unreachable")
	}
	return c.Answer(d, incarnation, k, a), nil
}

func (f *fleet) add(t *testing.T, table *fakeTable, cfg Config) *Claimer {
	c := New(cfg, table, f, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimers[cfg.Daemon] = c
	return c
}

func newFleet() *fleet {
	return &fleet{claimers: map[ident.Daemon]*Claimer{}, cut: map[ident.Daemon]bool{}}
}

// quick is a config with short waits between tries and a generous one in all.
func quick(d ident.Daemon) Config {
	return Config{
		Daemon: d, Incarnation: 1, Wait: 20 * time.Second, WritesPerSecond: 1e6,
		Backoff: time.Millisecond, BackoffMax: 5 * time.Millisecond, CommitTimeout: 50 * time.Millisecond,
	}
}

var (
	key    = Key{Service: "portal-socios", Workspace: "local-7", Idempotency: "filing-1"}
	digest = []byte("digest")
)

func claim(t *testing.T, c *Claimer) Decision {
	t.Helper()
	d, err := c.Claim(t.Context(), key, digest, ident.NewAttempt())
	is.New(t).NoErr(err)
	return d
}

func hold(t *testing.T, c *Claimer) *Hold {
	t.Helper()
	p, ok := claim(t, c).(Proceed)
	is.New(t).True(ok) // the claim is granted
	return p.Hold
}

func refusal(t *testing.T, c *Claimer) resultcode.Code {
	t.Helper()
	r, ok := claim(t, c).(Refuse)
	is.New(t).True(ok) // the claim is refused
	return r.Failure.Code
}

// refusedByOutage claims during an outage, with a short wait.
func refusedByOutage(t *testing.T, c *Claimer) {
	t.Helper()
	c.cfg.Wait = 100 * time.Millisecond
	is.New(t).Equal(refusal(t, c), resultcode.StoreUnavailable)
	c.cfg.Wait = 20 * time.Second
}

func flush(t *testing.T, c *Claimer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.New(t).NoErr(c.Flush(ctx))
}

func TestRepeatThroughAnotherDaemon(t *testing.T) {
	// A caller's first try hangs, and it repeats with the same key through
	// another daemon: first while the first try waits, then while it runs, then
	// after it ended. It must see one run and, at the end, that run's answer.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	h := hold(t, a)
	is.Equal(refusal(t, b), resultcode.InProgress)
	is.NoErr(h.Start(time.Now()))
	is.Equal(refusal(t, b), resultcode.InProgress)
	is.Equal(refusal(t, a), resultcode.InProgress)
	is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran, Kept: true, Status: 201, Body: []byte("no. 17")}))
	f.cut["a"] = true // the record alone is enough
	r, ok := claim(t, b).(Replay)
	is.True(ok)
	is.Equal(string(r.Outcome.Body), "no. 17")
}

func TestAnswerThatIsTooLargeIsNotKept(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	cfg := quick("a")
	cfg.KeepBytes = 3
	a := f.add(t, table, cfg)
	h := hold(t, a)
	is.NoErr(h.Start(time.Now()))
	is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran, Kept: true, Body: []byte("long")}))
	is.Equal(refusal(t, a), resultcode.AlreadyRan)
}

func TestKeyOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	hold(t, a)
	for _, c := range []*Claimer{a, b} {
		d, err := c.Claim(t.Context(), key, []byte("other"), "x")
		is.NoErr(err)
		is.Equal(d.(Refuse).Failure.Code, resultcode.KeyReused)
	}
}

func TestClaimantCannotBeAsked(t *testing.T) {
	// The first daemon is cut off or has restarted while its claim was open.
	// Whether it dispatched cannot be known, so the repeat is told "may have
	// run" by every daemon, the restarted one included.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	hold(t, a)
	f.cut["a"] = true
	is.Equal(refusal(t, b), resultcode.OutcomeUnknown)
	f.cut["a"] = false
	restarted := quick("a")
	restarted.Incarnation = 2
	a2 := f.add(t, table, restarted)
	is.Equal(refusal(t, b), resultcode.OutcomeUnknown)
	is.Equal(refusal(t, a2), resultcode.OutcomeUnknown)
}

func TestPausedClaimantAfterPromise(t *testing.T) {
	// A daemon claims, and is stopped (SIGSTOP) before the first byte for longer
	// than the claim's term. Once it goes on, a repeat elsewhere asks it before
	// its own request gets to run on. Only one of the two may dispatch.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	var mu sync.Mutex
	now := time.Now()
	cfg := quick("a")
	cfg.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	a, b := f.add(t, table, cfg), f.add(t, table, quick("b"))
	h := hold(t, a)
	mu.Lock()
	now = now.Add(2 * time.Hour)
	mu.Unlock()
	second := hold(t, b)
	err := h.Start(cfg.Now().Add(-2 * time.Hour)) // even with a time read before the pause
	var failure *resultcode.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code.Outcome, resultcode.NotRun)
	is.NoErr(second.Start(time.Now()))
	is.True(second.Start(time.Now()) != nil) // once only
}

func TestAbandonLetsTheRepeatRun(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	h := hold(t, a)
	is.True(h.Abandon())
	second := hold(t, b)
	is.True(h.Start(time.Now()) != nil)
	is.NoErr(second.Start(time.Now()))
	is.True(!second.Abandon()) // a started hold cannot promise
	is.True(second.NotRun())
	is.NoErr(second.Start(time.Now())) // the target did not process it
}

func TestHoldIsClosed(t *testing.T) {
	// A defect makes the handler panic. Before the first byte the repeat is let
	// through; after it the repeat is told "may have run", and not for ever that
	// the request is in progress. A hold that was finished stays so.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	hold(t, a).Close()
	h := hold(t, b)
	is.NoErr(h.Start(time.Now()))
	h.Close()
	is.Equal(refusal(t, a), resultcode.OutcomeUnknown)
	key2 := key
	key2.Idempotency = "filing-2"
	d, err := a.Claim(t.Context(), key2, digest, "x")
	is.NoErr(err)
	ran := d.(Proceed).Hold
	is.NoErr(ran.Start(time.Now()))
	table.set(faultDown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(ran.Finish(ctx, Outcome{Result: resultcode.Ran}) != nil) // not yet recorded
	is.True(!ran.Abandon())
	ran.Close()
	table.set(faultNone)
	flush(t, a)
	d, err = b.Claim(t.Context(), key2, digest, "x")
	is.NoErr(err)
	is.Equal(d.(Refuse).Failure.Code, resultcode.AlreadyRan)
}

func TestStoreOut(t *testing.T) {
	// The table is out of reach for longer than the wait. The caller is told
	// that its request was not run. That stays true when the write takes effect
	// afterwards, and the caller's repeat runs through any daemon.
	for name, failing := range map[string]fault{
		"down": faultDown, "lost": faultLost, "delayed": faultDelayed, "dropped": faultDropped,
	} {
		for _, through := range []ident.Daemon{"a", "b"} {
			t.Run(fmt.Sprintf("%s, repeat through %s", name, through), func(t *testing.T) {
				is := is.New(t)
				f, table := newFleet(), newFakeTable()
				f.add(t, table, quick("a"))
				f.add(t, table, quick("b"))
				table.set(failing)
				refusedByOutage(t, f.claimers["a"])
				table.set(faultNone)
				table.release()
				is.NoErr(hold(t, f.claimers[through]).Start(time.Now()))
			})
		}
	}
}

func TestClaimantDiesAfterStoreOutage(t *testing.T) {
	// As above, but the daemon that gave up dies later. It recorded that the
	// request did not run as soon as the table was back, so the repeat runs.
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	table.set(faultDelayed)
	refusedByOutage(t, a)
	table.set(faultNone)
	table.release()
	flush(t, a)
	f.cut["a"] = true
	hold(t, b)
}

func TestLostAnswers(t *testing.T) {
	// Single faults of the table are not seen by the caller: neither when the
	// claim is written nor when its outcome is.
	for name, failing := range map[string]fault{
		"down": faultDown, "lost": faultLost, "delayed": faultDelayed, "dropped": faultDropped,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, table := newFleet(), newFakeTable(failing, faultNone, failing)
			a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
			h := hold(t, a)
			is.NoErr(h.Start(time.Now()))
			is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran}))
			table.release()
			f.cut["a"] = true
			is.Equal(refusal(t, b), resultcode.AlreadyRan)
		})
	}
}

func TestOutcomeIsKnownWhileStoreIsOut(t *testing.T) {
	// A run ends while the table is out. Its daemon answers askers and its own
	// callers from memory, and records the outcome when the table is back.
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	a, b := f.add(t, table, quick("a")), f.add(t, table, quick("b"))
	h := hold(t, a)
	is.NoErr(h.Start(time.Now()))
	table.set(faultDown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(h.Finish(ctx, Outcome{Result: resultcode.MayHaveRun}) != nil)
	is.Equal(refusal(t, a), resultcode.OutcomeUnknown)
	table.set(faultNone)
	flush(t, a)
	f.cut["a"] = true
	is.Equal(refusal(t, b), resultcode.OutcomeUnknown)
}

func TestConflictDoesNotFailTheOthers(t *testing.T) {
	is := is.New(t)
	f, table := newFleet(), newFakeTable()
	cfg := quick("a")
	cfg.Linger = 20 * time.Millisecond
	a, b := f.add(t, table, cfg), f.add(t, table, quick("b"))
	hold(t, b)
	const callers = 50
	var granted sync.Map
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			k := key
			if i > 0 {
				k.Idempotency = fmt.Sprint("filing-", i+1)
			}
			d, err := a.Claim(t.Context(), k, digest, "x")
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
	table.set(faultDown)
	a := f.add(t, table, quick("a"))
	for range 2 {
		d, err := a.Claim(t.Context(), Key{Service: key.Service, Workspace: key.Workspace}, digest, "x")
		is.NoErr(err)
		h := d.(Proceed).Hold
		is.NoErr(h.Start(time.Now()))
		is.True(h.Start(time.Now()) != nil)
		is.NoErr(h.Finish(t.Context(), Outcome{Result: resultcode.Ran}))
	}
	is.Equal(table.commits, 0)
	is.Equal(len(a.ledger.entries), 0)
}
