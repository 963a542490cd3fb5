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

// pausingTable and pausingTarget block at the two points between which a lease
// can expire unnoticed, until the test lets them continue.
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
	TargetClient
	pause     func()
	afterSend func(error)
}

func (p pausingTarget) Send(_ context.Context, address string, o Order) error {
	p.pause()
	// The order is sent regardless of its context: the first byte may already
	// have been in the socket's buffer.
	err := p.TargetClient.Send(context.Background(), address, o)
	p.afterSend(err)
	return err
}

const (
	pauseAfterAcquire = "acquired"
	pauseBeforeSend   = "ordering"
)

// childLeaseTerm is long enough for the parent's daemon on a loaded machine.
const childLeaseTerm = 500 * time.Millisecond

// runOldDaemon runs a daemon with document 1 that blocks once at the pause point
// given by the test and prints whether its order was accepted.
func runOldDaemon(lines *process.ParentPipe, args []string) {
	url, address, fenced, pausePoint := args[0], args[1], args[2] == "true", args[3]
	pauseOnce := func() func() {
		done := false
		return func() {
			if done {
				return
			}
			done = true
			lines.Send("%s", pausePoint)
			lines.Receive()
		}
	}()
	noop := func() {}
	client := platform.NewClient(platform.ClientConfig{URL: url, Logger: slog.New(slog.DiscardHandler)})
	var table platform.Table = client
	target := pausingTarget{NewHTTPClient(), noop, func(err error) { lines.Send("ordered %v", err == nil) }}
	if pausePoint == pauseAfterAcquire {
		table = pausingTable{client, pauseOnce}
	} else {
		target.pause = pauseOnce
	}
	r := New(Config{Daemon: "old", Incarnation: 1, LeaseTerm: childLeaseTerm, ReadInterval: 20 * time.Millisecond, Backoff: 5 * time.Millisecond},
		table, client, target, slog.New(slog.DiscardHandler))
	r.SetTargets([]Desired{newProcessDesired(1, address, fenced)})
	select {} // until the test ends
}

func newProcessDesired(document uint64, address string, fenced bool) Desired {
	d := newDesired(document, "of-document-"+strconv.FormatUint(document, 10))
	d.Address, d.Fenced, d.LongestOrder = address, fenced, childLeaseTerm
	return d
}

type processFixture struct {
	*fixture
	engine        *enginestandin.Engine
	address       string
	child         *process.Child
	newReconciler *Reconciler
	desired       Desired
}

// pauseAndTakeOver pauses a daemon at the pause point, lets another daemon with a
// later document bring the engine to its desired state, and resumes the first one.
func pauseAndTakeOver(t *testing.T, fenced bool, pausePoint string) *processFixture {
	f := &processFixture{fixture: newFixture(t, platformstandin.Config{})}
	f.engine = enginestandin.New(enginestandin.Config{Models: []string{"none"}, EnforceFencing: fenced})
	server := httptest.NewServer(f.engine)
	t.Cleanup(func() { server.Close(); f.engine.Close() })
	f.address = server.Listener.Addr().String()
	f.child = process.Start(t, "old-daemon", f.url, f.address, strconv.FormatBool(fenced), pausePoint)
	f.child.Expect(pausePoint)
	f.child.Suspend()
	f.desired = newProcessDesired(2, f.address, fenced)
	f.newReconciler = f.reconciler(t, ident.Daemon("new"), NewHTTPClient())
	f.newReconciler.SetTargets([]Desired{f.desired})
	eventually(t, "the later state", holds(NewHTTPClient(), f.address, f.desired))
	f.child.Resume()
	f.child.Send("go on")
	return f
}

func TestLeaseExpiresWhileProcessIsPaused(t *testing.T) {
	// A daemon is paused (SIGSTOP) right after it acquired the lease. When it
	// resumes, its clock shows that the lease has expired. It must not send the
	// old order at all.
	for name, fenced := range map[string]bool{"fencing enforced": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := pauseAndTakeOver(t, fenced, pauseAfterAcquire)
			// The old daemon reads a state that differs from the one it desires
			// and learns from the lease that its document is outdated.
			for range 20 {
				is.True(holds(NewHTTPClient(), f.address, f.desired)())
				time.Sleep(10 * time.Millisecond)
			}
			for _, o := range f.engine.Orders() {
				is.Equal(o.Models, f.desired.State.Models) // the old daemon sent no order
			}
		})
	}
}

func TestProcessIsPausedBeforeSendingOrder(t *testing.T) {
	// A daemon is paused between the lease check and sending, so that the old
	// order is sent after the newer one. An engine that enforces fencing refuses
	// it; on one that does not, the state is repaired.
	for name, fenced := range map[string]bool{"fencing enforced": true, "fencing ignored": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := pauseAndTakeOver(t, fenced, pauseBeforeSend)
			is.Equal(f.child.Expect("ordered"), strconv.FormatBool(!fenced))
			eventually(t, "the later state again", holds(NewHTTPClient(), f.address, f.desired))
		})
	}
}
