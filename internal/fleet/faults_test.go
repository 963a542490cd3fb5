package fleet_test

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/test/faultlink"
	"github.com/savorystall/savorystall/test/logbuffer"
)

// A hung daemon keeps its connections open but reads nothing. The other daemons
// must not block on it, queue messages for it without limit, or lose a grant
// without being notified.
func TestHungPeerDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	a, ra := startNode(t, fleet.Config{Self: "a", QueueLimit: 100})
	b, rb := startNode(t, fleet.Config{Self: "b"})
	hung := newHangingHandler()
	c, err := fleet.New(fleet.Config{
		Self: "c", Incarnation: 1, Zone: "hall-a", Listen: "127.0.0.1:0", Heartbeat: testHeartbeat, Logger: discardLogger(),
	}, hung)
	is.NoErr(err)
	is.NoErr(c.Start(t.Context()))
	t.Cleanup(func() { stopNode(t, c) })
	t.Cleanup(hung.release)
	a.SetVMs([]platform.VM{vm("b", b.Address()), vm("c", c.Address())})
	ra.eventually(t, "link to b", linked("b"))
	ra.eventually(t, "link to c", linked("c"))
	rb.eventually(t, "link to a", linked("a"))

	name := strings.Repeat("x", 200)
	sent := uint64(0)
	ra.eventually(t, "reset of the link to c", func(r *recorder) bool {
		for range 1000 {
			sent++
			g := scheduler.Grant{ID: sent, Service: "s", Workspace: ident.Workspace(fmt.Sprint(name, sent)), Target: "t"}
			a.Send("c", scheduler.Message{Grants: []scheduler.Grant{g}})
		}
		return r.linkLosses["c"] > 0
	})
	a.Send("b", scheduler.Message{Grants: []scheduler.Grant{{ID: 1, Service: "s", Workspace: "w", Target: "t"}}})
	rb.eventually(t, "grant at b", func(r *recorder) bool { return len(r.messages) > 0 })
	ra.withLock(func() { is.Equal(ra.linkLosses["b"], 0) })
}

// hangingHandler blocks the node's control goroutine at the first message until
// release is called.
type hangingHandler struct {
	*recorder
	wait chan struct{}
	once sync.Once
}

func newHangingHandler() *hangingHandler {
	return &hangingHandler{recorder: newRecorder(), wait: make(chan struct{})}
}

func (h *hangingHandler) release() { h.once.Do(func() { close(h.wait) }) }

func (h *hangingHandler) Receive(ident.Daemon, scheduler.Message) { <-h.wait }

// A zone is partitioned and rejoins. During the partition each side must
// continue with the members it can reach; afterwards all links must be
// established again, each with a request for the full state.
func TestPartitionedZoneRejoins(t *testing.T) {
	is := is.New(t)
	ids := []ident.Daemon{"a1", "a2", "b1", "b2"}
	nodes, recorders := map[ident.Daemon]*fleet.Node{}, map[ident.Daemon]*recorder{}
	for _, id := range ids {
		nodes[id], recorders[id] = startNode(t, fleet.Config{Self: id})
	}
	var crossZone []*faultlink.Link
	for _, from := range ids {
		var list []platform.VM
		for _, to := range ids {
			address := nodes[to].Address()
			if from[0] != to[0] {
				link := faultlink.New(t, address)
				crossZone = append(crossZone, link)
				address = link.Address
			}
			list = append(list, vm(to, address))
		}
		nodes[from].SetVMs(list)
	}
	awaitPeers := func(what string, want int) {
		for _, id := range ids {
			recorders[id].eventually(t, fmt.Sprint(what, " at ", id), func(r *recorder) bool {
				return len(r.peers) == want && len(r.linkUps) >= want
			})
		}
	}
	awaitPeers("all members", 3)
	for range 2 { // repeated, to start from a recovered state as well
		before := map[ident.Daemon]int{}
		for _, id := range ids {
			before[id] = recorders[id].totalLinkUps()
		}
		for _, link := range crossZone {
			link.Cut()
		}
		awaitPeers("peers of the own side only", 1)
		for _, link := range crossZone {
			is.NoErr(link.Restore())
		}
		awaitPeers("all members after the partition", 3)
		for _, id := range ids {
			is.True(recorders[id].totalLinkUps() >= before[id]+2) // LinkUp requests the full state
		}
	}
}

func (r *recorder) totalLinkUps() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, n := range r.linkUps {
		sum += n
	}
	return sum
}

// The address of a daemon is reused by another one. A peer that dials the
// address must not mistake the new daemon for the old one.
func TestAddressReusedByAnotherDaemon(t *testing.T) {
	a, ra := startNode(t, fleet.Config{Self: "a"})
	c, rc := startNode(t, fleet.Config{Self: "c"})
	a.SetVMs([]platform.VM{vm("b", c.Address())})
	time.Sleep(5 * testHeartbeat) // time for several dials, none of which may succeed
	for _, r := range []*recorder{ra, rc} {
		r.withLock(func() {
			if len(r.linkUps) != 0 {
				t.Errorf("linked: %v", r.linkUps)
			}
		})
	}
	a.SetVMs([]platform.VM{vm("b", c.Address()), vm("c", c.Address())})
	ra.eventually(t, "link to c", linked("c"))
}

// A daemon is restarted under its name on a VM whose clock is behind, so that
// its incarnation is lower than the one known to its peers. They refuse it
// permanently; the daemon must log that instead of staying isolated without any
// indication.
func TestOutdatedIncarnationIsLogged(t *testing.T) {
	is := is.New(t)
	a, ra := startNode(t, fleet.Config{Self: "a"})
	b, _ := startNode(t, fleet.Config{Self: "b", Incarnation: 5})
	address := b.Address()
	b.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to b", linked("b"))
	stopNode(t, b)
	ra.eventually(t, "loss of b", func(r *recorder) bool { return r.linkLosses["b"] == 1 })

	log := &logbuffer.Buffer{}
	outdated := newRecorder()
	n, err := fleet.New(fleet.Config{
		Self: "b", Incarnation: 4, Zone: "hall-a", Listen: address, Heartbeat: testHeartbeat,
		Logger: slog.New(slog.NewTextHandler(log, nil)),
	}, outdated)
	is.NoErr(err)
	is.NoErr(n.Start(t.Context()))
	t.Cleanup(func() { stopNode(t, n) })
	n.SetVMs([]platform.VM{vm("a", a.Address())})
	outdated.eventually(t, "event 607", func(*recorder) bool { return strings.Contains(log.String(), "event=607") })
	ra.withLock(func() { is.Equal(ra.linkUps["b"], 1) })
}

// A second daemon is started under the name of a running one. The older one
// loses its links and grants the slots of all targets on its own: the fleet
// admits too many requests, although the members look right to all other
// daemons. These must log the address of the older daemon.
func TestDuplicateDaemonNameIsLogged(t *testing.T) {
	log := &logbuffer.Buffer{}
	ra := newRecorder()
	a, err := fleet.New(fleet.Config{
		Self: "a", Incarnation: 1, Zone: "hall-a", Listen: "127.0.0.1:0", Heartbeat: testHeartbeat,
		Logger: slog.New(slog.NewTextHandler(log, nil)),
	}, ra)
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(a.Start(t.Context()))
	t.Cleanup(func() { stopNode(t, a) })
	older, _ := startNode(t, fleet.Config{Self: "b", Incarnation: 5})
	older.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to the older daemon", linked("b"))
	newer, rl := startNode(t, fleet.Config{Self: "b", Incarnation: 6})
	newer.SetVMs([]platform.VM{vm("a", a.Address())})
	rl.eventually(t, "link of the newer daemon", linked("a"))
	wantLine := "event=609 peer=b refused=" + older.Address() + " kept=" + newer.Address()
	ra.eventually(t, "event 609", func(*recorder) bool { return strings.Contains(log.String(), wantLine) })
	ra.eventually(t, "another refusal", func(*recorder) bool { return strings.Contains(log.String(), "event=604") })
	is.Equal(strings.Count(log.String(), "event=609"), 1)
}
