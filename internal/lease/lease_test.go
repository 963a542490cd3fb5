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

// fakeTable holds one row. When lost is set, the next write takes effect and
// its answer is lost.
type fakeTable struct {
	row      platform.Row
	revision uint64
	lost     bool
}

func (t *fakeTable) Commit(_ context.Context, tx platform.Transaction) (uint64, error) {
	if tx.Conditions[0].Revision != t.row.Revision {
		return 0, &platform.Conflict{Rows: []platform.Row{t.row}}
	}
	t.revision++
	t.row = platform.Row{Key: tx.Puts[0].Key, Value: tx.Puts[0].Value, Revision: t.revision, Operation: tx.Operation}
	if t.lost {
		t.lost = false
		return 0, &platform.Unknown{Cause: errors.New("lost")}
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

// fakeClock stands still until it is advanced.
type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock { return &fakeClock{now: time.Now()} }

func (c *fakeClock) Now() time.Time                       { return c.now }
func (c *fakeClock) After(time.Duration) <-chan time.Time { return nil }
func (c *fakeClock) Advance(d time.Duration)              { c.now = c.now.Add(d) }

const longest = 30 * time.Second

func claimOf(d ident.Daemon) Claim {
	return Claim{Holder: d, Incarnation: 1, LongestOrder: longest, Document: 1}
}

func TestPausedHolderGivesNoOrder(t *testing.T) {
	// The holder is stopped right after it acquired the lease. Another daemon
	// waits the term and the longest order out and takes over. When the first
	// goes on, its clock tells it before the order.
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	is.NoErr(a.Acquire(t.Context(), claimOf("a")))
	first := a.Fencing()
	var held *Held
	is.True(errors.As(b.Acquire(t.Context(), claimOf("b")), &held))
	is.Equal(held.By, ident.Daemon("a"))
	is.Equal(held.For, withDrift(DefaultTerm+longest))
	clock.Advance(held.For)
	is.NoErr(b.Acquire(t.Context(), claimOf("b")))
	is.True(!a.Valid())
	is.True(b.Valid())
	is.True(b.Fencing() > first)
	is.True(errors.As(a.Acquire(t.Context(), claimOf("a")), &held)) // a does not take it back
}

func TestSlowClockOfTheHolder(t *testing.T) {
	// The holder's clock runs 4% slow and the waiting daemon's 4% fast, so the
	// holder still orders when the other has counted the whole term.
	is := is.New(t)
	start := time.Now()
	var a, b State
	c := Claim{Holder: "a", Incarnation: 1, Fenced: true}
	a.Written(c, c.next(DefaultTerm), 1, start)
	b.Observe(a.row, start)
	passed := time.Duration(float64(DefaultTerm) * 1.04)
	is.True(a.Valid(start.Add(time.Duration(float64(passed) * 0.96))))
	verdict, _ := b.Judge(Claim{Holder: "b", Incarnation: 1, Fenced: true}, start.Add(time.Duration(float64(passed)*1.04)))
	is.Equal(verdict, Wait)
}

func TestReleaseSparesTheWait(t *testing.T) {
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	is.NoErr(a.Acquire(t.Context(), claimOf("a")))
	a.Ordered(longest)
	a.Answered()
	is.NoErr(a.Release(t.Context()))
	is.True(!a.Valid())
	is.NoErr(b.Acquire(t.Context(), claimOf("b")))
	b.Ordered(longest) // and no answer comes
	is.NoErr(b.Release(t.Context()))
	var held *Held
	is.True(errors.As(a.Acquire(t.Context(), claimOf("a")), &held))
	is.Equal(held.For, withDrift(longest))
}

func TestLostAnswerOfAcquire(t *testing.T) {
	// The write takes effect and its answer is lost. The daemon must neither
	// order under a lease it does not know of, nor wait for itself.
	is := is.New(t)
	table := &fakeTable{lost: true}
	a := New(table, newFakeClock(), "s", "t", 0)
	is.True(a.Acquire(t.Context(), claimOf("a")) != nil)
	is.True(!a.Valid())
	is.NoErr(a.Acquire(t.Context(), claimOf("a")))
	is.True(a.Valid())
	is.Equal(a.Fencing(), uint64(2))
}

func TestDaemonWithOldDocumentDoesNotTakeOver(t *testing.T) {
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	later := claimOf("a")
	later.Document = 2
	is.NoErr(a.Acquire(t.Context(), later))
	is.NoErr(a.Release(t.Context()))
	is.Equal(b.Acquire(t.Context(), claimOf("b")), ErrBehind)
}

func TestRowOfAnotherEndsTheLease(t *testing.T) {
	// An operator deletes the row by hand and another daemon takes the lease
	// before the first one's term is over. The first must stop when it sees it.
	is := is.New(t)
	table, clock := &fakeTable{}, newFakeClock()
	a, b := New(table, clock, "s", "t", 0), New(table, clock, "s", "t", 0)
	is.NoErr(a.Acquire(t.Context(), claimOf("a")))
	table.row = platform.Row{}
	is.NoErr(b.Acquire(t.Context(), claimOf("b")))
	is.True(a.Acquire(t.Context(), claimOf("a")) != nil) // its renewal finds b's row
	is.True(!a.Valid())
}
