package order

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
	"github.com/savorystall/savorystall/test/process"
)

// pausingTable and pausingTarget wait for the test at the two moments between
// which a lease can lapse unnoticed.
type pausingTable struct {
	platform.Table
	pause func()
}

func (p pausingTable) Commit(ctx context.Context, tx platform.Transaction) (uint64, error) {
	revision, err := p.Table.Commit(ctx, tx)
	p.pause()
	return revision, err
}

type pausingTarget struct {
	Orderer
	pause func()
	after func(error)
}

func (p pausingTarget) Give(_ context.Context, address string, o Order) error {
	p.pause()
	// The order leaves whatever its context says: a byte may have been in the
	// socket's buffer already.
	err := p.Orderer.Give(context.Background(), address, o)
	p.after(err)
	return err
}

const (
	pauseAfterAcquire = "acquired"
	pauseBeforeOrder  = "ordering"
)

// processTerm is long enough for the parent's daemon on a busy machine.
const processTerm = 500 * time.Millisecond

// partOldDaemon is a daemon with document 1 that stops once at the moment that
// the test names, and says what became of its order.
func partOldDaemon(l *process.Lines, args []string) {
	url, address, fenced, moment := args[0], args[1], args[2] == "true", args[3]
	once := func() func() {
		done := false
		return func() {
			if done {
				return
			}
			done = true
			l.Say("%s", moment)
			l.Hear()
		}
	}()
	never := func() {}
	client := platform.NewClient(platform.ClientConfig{URL: url, Logger: slog.New(slog.DiscardHandler)})
	var table platform.Table = client
	target := pausingTarget{NewHTTP(), never, func(err error) { l.Say("ordered %v", err == nil) }}
	if moment == pauseAfterAcquire {
		table = pausingTable{client, once}
	} else {
		target.pause = once
	}
	r := New(Config{Daemon: "old", Incarnation: 1, Term: processTerm, ReadBack: 20 * time.Millisecond, Backoff: 5 * time.Millisecond},
		table, client, target, slog.New(slog.DiscardHandler))
	r.Set([]Wanted{processWanted(1, address, fenced)})
	select {} // until the test ends
}

func processWanted(document uint64, address string, fenced bool) Wanted {
	w := wanted(document, "of-document-"+strconv.FormatUint(document, 10))
	w.Address, w.Fenced, w.LongestOrder = address, fenced, processTerm
	return w
}

type processBench struct {
	*bench
	engine  *enginestandin.Engine
	address string
	child   *process.Child
	second  *Reconciler
	want    Wanted
}

// stopAndTakeOver stops a daemon at the moment and lets another daemon with a
// later document order the engine.
func stopAndTakeOver(t *testing.T, fenced bool, moment string) *processBench {
	b := &processBench{bench: newBench(t, platformstandin.Config{})}
	b.engine = enginestandin.New(enginestandin.Config{Models: []string{"none"}, EnforceFencing: fenced})
	server := httptest.NewServer(b.engine)
	t.Cleanup(func() { server.Close(); b.engine.Close() })
	b.address = server.Listener.Addr().String()
	b.child = process.Start(t, "old-daemon", b.url, b.address, strconv.FormatBool(fenced), moment)
	b.child.Expect(moment)
	b.child.Stop()
	b.want = processWanted(2, b.address, fenced)
	b.second = b.reconciler(t, ident.Daemon("new"), NewHTTP())
	b.second.Set([]Wanted{b.want})
	eventually(t, "the later state", holds(NewHTTP(), b.address, b.want))
	b.child.Continue()
	b.child.Tell("go on")
	return b
}

func TestLeaseLapsesWhileProcessIsStopped(t *testing.T) {
	// A daemon is stopped (SIGSTOP) right after it took the lease, and its clock
	// shows the lapse when it goes on. It must not send the old order at all.
	for name, fenced := range map[string]bool{"fencing enforced": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := stopAndTakeOver(t, fenced, pauseAfterAcquire)
			// The old daemon reads back, finds a state that is not its own, and
			// learns from the lease that its document is behind.
			for range 20 {
				is.True(holds(NewHTTP(), b.address, b.want)())
				time.Sleep(10 * time.Millisecond)
			}
			for _, o := range b.engine.Orders() {
				is.Equal(o.Models, b.want.State.Models) // no order of the old daemon
			}
		})
	}
}

func TestProcessIsStoppedBeforeFirstByteOfOrder(t *testing.T) {
	// A daemon is stopped between the question to its clock and the order, so
	// that the old order goes out after the newer one. An engine that enforces
	// fencing refuses it; for one that does not the state is repaired.
	for name, fenced := range map[string]bool{"fencing enforced": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := stopAndTakeOver(t, fenced, pauseBeforeOrder)
			is.Equal(b.child.Expect("ordered"), strconv.FormatBool(!fenced))
			eventually(t, "the later state again", holds(NewHTTP(), b.address, b.want))
		})
	}
}
