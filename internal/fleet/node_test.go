package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/test/faultlink"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testHeartbeat = 50 * time.Millisecond
	// waitTimeout is far longer than any step takes; it expires only if a test
	// fails.
	waitTimeout = 30 * time.Second
)

// recorder is a fleet.Handler that records its calls.
type recorder struct {
	mu         sync.Mutex
	peers      map[ident.Daemon]scheduler.Peer
	linkUps    map[ident.Daemon]int
	linkLosses map[ident.Daemon]int
	messages   []scheduler.Message
	heads      map[ident.Daemon]uint64
	entries    []fleet.Entry
	queries    []fleet.ClaimQuery
	answer     fleet.ClaimAnswer
	// onFollow handles calls of Follow; nil means that all of them fail.
	onFollow func(q platform.FeedQuery) (platform.FeedAnswer, error)
}

func newRecorder() *recorder {
	return &recorder{linkUps: map[ident.Daemon]int{}, linkLosses: map[ident.Daemon]int{}, heads: map[ident.Daemon]uint64{}}
}

func (r *recorder) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *recorder) Follow(_ context.Context, q platform.FeedQuery) (platform.FeedAnswer, error) {
	if r.onFollow == nil {
		return platform.FeedAnswer{}, platform.ErrReaderNotCurrent
	}
	return r.onFollow(q)
}

func (r *recorder) Unreachable([]membership.Unreachable) {}

func (r *recorder) Peers(peers []scheduler.Peer) {
	r.withLock(func() {
		r.peers = map[ident.Daemon]scheduler.Peer{}
		for _, p := range peers {
			r.peers[p.ID] = p
		}
	})
}
func (r *recorder) LinkUp(id ident.Daemon)   { r.withLock(func() { r.linkUps[id]++ }) }
func (r *recorder) LinkLost(id ident.Daemon) { r.withLock(func() { r.linkLosses[id]++ }) }
func (r *recorder) Receive(_ ident.Daemon, m scheduler.Message) {
	r.withLock(func() { r.messages = append(r.messages, m) })
}
func (r *recorder) Head(id ident.Daemon, head uint64) { r.withLock(func() { r.heads[id] = head }) }
func (r *recorder) Entries(uint64) []fleet.Entry      { return r.entries }
func (r *recorder) Claim(q fleet.ClaimQuery) fleet.ClaimAnswer {
	r.withLock(func() { r.queries = append(r.queries, q) })
	return r.answer
}

func (r *recorder) eventually(t *testing.T, what string, cond func(*recorder) bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		r.mu.Lock()
		ok := cond(r)
		r.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func startNode(t *testing.T, cfg fleet.Config) (*fleet.Node, *recorder) {
	t.Helper()
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = testHeartbeat
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = 1
	}
	cfg.Zone, cfg.Logger = "hall-a", discardLogger()
	if cfg.Listen == "" {
		cfg.Listen = faultlink.FreeAddress(t) // some tests later start another node at this address
	}
	r := newRecorder()
	n, err := fleet.New(cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stopNode(t, n) })
	return n, r
}

func stopNode(t *testing.T, n *fleet.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		t.Error("stop:", err)
	}
}

func vm(id ident.Daemon, address string) platform.VM {
	return platform.VM{Name: string(id), Zone: "hall-a", Address: address, Role: "daemon", State: platform.VMLive}
}

func linked(id ident.Daemon) func(*recorder) bool {
	return func(r *recorder) bool { return r.linkUps[id] > r.linkLosses[id] && r.peers[id].ID == id }
}

func TestMessagesArriveWholeAndInOrder(t *testing.T) {
	is := is.New(t)
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, rb := startNode(t, fleet.Config{Self: "b", Incarnation: 7})
	a.SetVMs([]platform.VM{vm("a", a.Address()), vm("b", b.Address())})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))

	const count = 300
	for i := range uint64(count) {
		b.Send("a", scheduler.Message{
			Grants:        []scheduler.Grant{{ID: i + 1, Service: "lm-pool", Workspace: "club-nord", Target: ident.Target(fmt.Sprint("e", i%12))}},
			Releases:      []scheduler.Release{{Grant: i, Result: scheduler.Result{Served: 12.5, Elapsed: time.Second, FirstByte: time.Millisecond}}},
			Demand:        []scheduler.Demand{{Service: "lm-pool", Workspace: "club-nord", Waiting: uint32(i), SeenGrant: i}},
			PreemptGrants: []uint64{i},
		})
	}
	var grants []scheduler.Grant
	var releases []scheduler.Release
	var preempts []uint64
	var demand scheduler.Demand
	ra.eventually(t, "all grants", func(r *recorder) bool {
		grants, releases, preempts = nil, nil, nil
		for _, m := range r.messages {
			if m.Incarnation != 7 {
				return false
			}
			grants, releases = append(grants, m.Grants...), append(releases, m.Releases...)
			preempts = append(preempts, m.PreemptGrants...)
			demand = m.Demand[len(m.Demand)-1]
		}
		return len(grants) == count
	})
	for i := range uint64(count) {
		is.Equal(grants[i].ID, i+1)
		is.Equal(grants[i].Target, ident.Target(fmt.Sprint("e", i%12)))
		is.Equal(releases[i].Grant, i)
		is.Equal(preempts[i], i)
	}
	is.Equal(releases[0].Result, scheduler.Result{Served: 12.5, Elapsed: time.Second, FirstByte: time.Millisecond})
	is.Equal(demand.Waiting, uint32(count-1)) // the newest demand replaces older ones
	is.True(a.Traffic().StreamReceived > a.Traffic().PayloadReceived)
}

// A new daemon is missing from the VM lists of its peers, because the list is
// delayed. Its name is greater than that of its peer, which would normally
// dial. Without dialing itself it would stay isolated until the list is
// updated.
func TestUnlistedDaemonDialsItsPeers(t *testing.T) {
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, rb := startNode(t, fleet.Config{Self: "b"})
	b.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))
}

func TestLeavingHeadEntriesAndClaims(t *testing.T) {
	is := is.New(t)
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, rb := startNode(t, fleet.Config{Self: "b"})
	b.SetHead(41)
	a.SetVMs([]platform.VM{vm("b", b.Address())})
	ra.eventually(t, "head", func(r *recorder) bool { return r.heads["b"] == 41 })
	b.SetHead(42)
	ra.eventually(t, "new head", func(r *recorder) bool { return r.heads["b"] == 42 })
	b.AnnounceLeaving()
	ra.eventually(t, "leaving", func(r *recorder) bool { return r.peers["b"].Leaving })

	rb.entries = []fleet.Entry{{Service: "lm-pool", Revision: 42, Text: []byte("x")}, {Service: "old", Revision: 40, Deleted: true}}
	rb.answer = fleet.ClaimAnswer{State: fleet.ClaimFinished, Outcome: []byte("done")}
	entries, err := a.Entries(t.Context(), "b", 0)
	is.NoErr(err)
	is.Equal(entries, rb.entries)
	q := fleet.ClaimQuery{Service: "lm-pool", Workspace: "w", Key: "k", Attempt: "t", Incarnation: 1}
	answer, err := a.AskClaim(t.Context(), "b", q)
	is.NoErr(err)
	is.Equal(answer, rb.answer)
	is.Equal(rb.queries, []fleet.ClaimQuery{q})
	answer, err = a.AskClaim(t.Context(), "nobody", q)
	is.True(err != nil)
	is.Equal(answer.State, fleet.ClaimUnknown)
}

// A daemon restarts without state under its old name and address. Its peer must
// treat the new incarnation as a new daemon and discard the state of the old
// one.
func TestRestartedDaemonIsTreatedAsNew(t *testing.T) {
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, _ := startNode(t, fleet.Config{Self: "b"})
	address := b.Address()
	a.SetVMs([]platform.VM{vm("b", address)})
	ra.eventually(t, "link to b", linked("b"))
	stopNode(t, b)
	_, rb := startNode(t, fleet.Config{Self: "b", Incarnation: 2, Listen: address})
	ra.eventually(t, "new incarnation", func(r *recorder) bool { return r.peers["b"].Incarnation == 2 })
	rb.eventually(t, "link to a", linked("a"))
}

// A daemon reads the platform's store through a peer. Rows must arrive
// unchanged, and lost history must be distinguishable from a peer that cannot
// serve the request: only lost history requires reading the whole table.
func TestFollowReadsRowsFromAPeer(t *testing.T) {
	is := is.New(t)
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, rb := startNode(t, fleet.Config{Self: "b"})
	want := platform.FeedAnswer{Revision: platform.NewRevision(2, 9), Age: 700 * time.Millisecond, Rows: []platform.FeedRow{
		{Key: "k", Value: []byte("v"), Revision: platform.NewRevision(2, 7)}, {Key: "gone", Revision: platform.NewRevision(2, 9), Deleted: true},
	}}
	rb.onFollow = func(q platform.FeedQuery) (platform.FeedAnswer, error) {
		if q != (platform.FeedQuery{Table: "t", After: platform.NewRevision(1, 5), Wait: time.Second}) {
			return platform.FeedAnswer{}, platform.ErrHistoryLost
		}
		return want, nil
	}
	a.SetVMs([]platform.VM{vm("a", a.Address()), vm("b", b.Address())})
	ra.eventually(t, "link to b", linked("b"))
	got, err := a.Follow(t.Context(), "b", platform.FeedQuery{Table: "t", After: platform.NewRevision(1, 5), Wait: time.Second})
	is.NoErr(err)
	is.Equal(got.Revision, want.Revision)
	is.Equal(got.Age, want.Age)
	is.Equal(len(got.Rows), 2)
	is.Equal(string(got.Rows[0].Value), "v")
	is.Equal(got.Rows[0].Revision, want.Rows[0].Revision)
	is.Equal(got.Rows[1].Key, "gone")
	is.True(got.Rows[1].Deleted)
	_, err = a.Follow(t.Context(), "b", platform.FeedQuery{Table: "t", FullTable: true})
	is.True(errors.Is(err, platform.ErrHistoryLost))
	_, err = b.Follow(t.Context(), "a", platform.FeedQuery{Table: "t"})
	is.True(err != nil)
	is.True(!errors.Is(err, platform.ErrHistoryLost))
}
