package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// fakeTable holds one row. If loseResponse is set, the next write takes effect
// and its response is lost.
type fakeTable struct {
	row          platform.Row
	revision     uint64
	loseResponse bool
}

func (t *fakeTable) Commit(_ context.Context, tx platform.Transaction) (uint64, error) {
	if tx.Conditions[0].Revision != t.row.Revision {
		return 0, &platform.Conflict{Rows: []platform.Row{t.row}}
	}
	t.revision++
	t.row = platform.Row{Key: tx.Puts[0].Key, Value: tx.Puts[0].Value, Revision: t.revision, Operation: tx.Operation}
	if t.loseResponse {
		t.loseResponse = false
		return 0, &platform.UnknownOutcome{Cause: errors.New("lost")}
	}
	return t.revision, nil
}

func (t *fakeTable) Get(context.Context, ...string) ([]platform.Row, error) {
	if t.row.Revision == 0 {
		return nil, nil
	}
	return []platform.Row{t.row}, nil
}

func (t *fakeTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

// fakeClock is a clock that changes only in Advance.
type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock { return &fakeClock{now: time.Now()} }

func (c *fakeClock) Now() time.Time                       { return c.now }
func (c *fakeClock) After(time.Duration) <-chan time.Time { return nil }
func (c *fakeClock) Advance(d time.Duration)              { c.now = c.now.Add(d) }

const testLongestOrder = 30 * time.Second

func testClaim(d ident.Daemon) Claim {
	return Claim{Holder: d, Incarnation: 1, LongestOrder: testLongestOrder, Document: 1}
}

func TestPausedHolderSendsNoOrder(t *testing.T) {
	// The holder is paused right after it acquired the lease. Another daemon
	// waits for the term and the longest order and takes over. When the first
	// one resumes, the check of its clock prevents it from sending an order.
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	is.NoErr(a.Acquire(t.Context(), testClaim("a")))
	first := a.FencingToken()
	var held *HeldError
	is.True(errors.As(b.Acquire(t.Context(), testClaim("b")), &held))
	is.Equal(held.Holder, ident.Daemon("a"))
	is.Equal(held.RetryAfter, withDriftMargin(DefaultTerm+testLongestOrder))
	clock.Advance(held.RetryAfter)
	is.NoErr(b.Acquire(t.Context(), testClaim("b")))
	is.True(!a.Valid())
	is.True(b.Valid())
	is.True(b.FencingToken() > first)
	is.True(errors.As(a.Acquire(t.Context(), testClaim("a")), &held)) // a does not take it back
}

func TestClockDriftIsTolerated(t *testing.T) {
	// The holder's clock runs 4% slow and the waiting daemon's 4% fast, so that
	// the holder still sends orders when the other has counted the whole term.
	is := is.New(t)
	start := time.Now()
	var a, b State
	c := Claim{Holder: "a", Incarnation: 1, Fenced: true}
	a.Committed(c, c.record(DefaultTerm), 1, start)
	b.Observe(a.row, start)
	elapsed := time.Duration(float64(DefaultTerm) * 1.04)
	is.True(a.Valid(start.Add(time.Duration(float64(elapsed) * 0.96))))
	verdict, _ := b.Evaluate(Claim{Holder: "b", Incarnation: 1, Fenced: true}, start.Add(time.Duration(float64(elapsed)*1.04)))
	is.Equal(verdict, Unavailable)
}

func TestReleaseAvoidsWaitingForTerm(t *testing.T) {
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	is.NoErr(a.Acquire(t.Context(), testClaim("a")))
	a.OrderSent(testLongestOrder)
	a.OrdersAnswered()
	is.NoErr(a.Release(t.Context()))
	is.True(!a.Valid())
	is.NoErr(b.Acquire(t.Context(), testClaim("b")))
	b.OrderSent(testLongestOrder) // never answered
	is.NoErr(b.Release(t.Context()))
	var held *HeldError
	is.True(errors.As(a.Acquire(t.Context(), testClaim("a")), &held))
	is.Equal(held.RetryAfter, withDriftMargin(testLongestOrder))
}

func TestAcquireWithLostResponse(t *testing.T) {
	// The write takes effect and its response is lost. The daemon must neither
	// send orders under a lease it does not know it holds, nor wait for itself.
	is := is.New(t)
	table := &fakeTable{loseResponse: true}
	a := New(table, newFakeClock(), "s", "t", 0)
	is.True(a.Acquire(t.Context(), testClaim("a")) != nil)
	is.True(!a.Valid())
	is.NoErr(a.Acquire(t.Context(), testClaim("a")))
	is.True(a.Valid())
	is.Equal(a.FencingToken(), uint64(2))
}

func TestStaleDocumentDoesNotTakeOver(t *testing.T) {
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	later := testClaim("a")
	later.Document = 2
	is.NoErr(a.Acquire(t.Context(), later))
	is.NoErr(a.Release(t.Context()))
	is.Equal(b.Acquire(t.Context(), testClaim("b")), ErrStaleDocument)
}

func TestRowOfAnotherHolderEndsLease(t *testing.T) {
	// An operator deletes the row manually and another daemon takes the lease
	// before the term of the first one is over. The first must stop when it
	// sees the new row.
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	is.NoErr(a.Acquire(t.Context(), testClaim("a")))
	table.row = platform.Row{}
	is.NoErr(b.Acquire(t.Context(), testClaim("b")))
	is.True(a.Acquire(t.Context(), testClaim("a")) != nil) // its renewal finds b's row
	is.True(!a.Valid())
}
