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
)

// One daemon hangs: it keeps its connections but reads nothing more. The others
// must not wait for it, nor collect messages for it without bound, nor lose a
// grant without being told.
func TestDaemonThatHangsHoldsUpNobody(t *testing.T) {
	is := is.New(t)
	a, ra := start(t, fleet.Config{Self: "a", QueueLimit: 100})
	b, rb := start(t, fleet.Config{Self: "b"})
	hung := newHangingHandler()
	c, err := fleet.New(fleet.Config{
		Self: "c", Incarnation: 1, Zone: "hall-a", Listen: "127.0.0.1:0", Heartbeat: beat, Logger: quiet(),
	}, hung)
	is.NoErr(err)
	is.NoErr(c.Start(t.Context()))
	t.Cleanup(func() { stop(t, c) })
	t.Cleanup(hung.release)
	a.SetVMs([]platform.VM{vm("b", b.Address()), vm("c", c.Address())})
	ra.eventually(t, "link to b", linked("b"))
	ra.eventually(t, "link to c", linked("c"))
	rb.eventually(t, "link to a", linked("a"))

	name := strings.Repeat("x", 200)
	sent := uint64(0)
	ra.eventually(t, "the link to c is reset", func(r *recorder) bool {
		for range 1000 {
			sent++
			g := scheduler.Grant{ID: sent, Service: "s", Workspace: ident.Workspace(fmt.Sprint(name, sent)), Target: "t"}
			a.Send("c", scheduler.Message{Grants: []scheduler.Grant{g}})
		}
		return r.losts["c"] > 0
	})
	a.Send("b", scheduler.Message{Grants: []scheduler.Grant{{ID: 1, Service: "s", Workspace: "w", Target: "t"}}})
	rb.eventually(t, "the grant at b", func(r *recorder) bool { return len(r.messages) > 0 })
	ra.locked(func() { is.Equal(ra.losts["b"], 0) })
}

// hangingHandler blocks the node's control goroutine at the first message.
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

// A zone is cut off and comes back. During the cut each side must go on by
// itself, with the members it can reach; afterwards all must be linked again,
// each link asking for the full state.
func TestZoneIsCutOffAndRejoins(t *testing.T) {
	is := is.New(t)
	ids := []ident.Daemon{"a1", "a2", "b1", "b2"}
	nodes, recorders := map[ident.Daemon]*fleet.Node{}, map[ident.Daemon]*recorder{}
	for _, id := range ids {
		nodes[id], recorders[id] = start(t, fleet.Config{Self: id})
	}
	var between []*faultlink.Link
	for _, from := range ids {
		var list []platform.VM
		for _, to := range ids {
			address := nodes[to].Address()
			if from[0] != to[0] {
				link := faultlink.New(t, address)
				between = append(between, link)
				address = link.Address
			}
			list = append(list, vm(to, address))
		}
		nodes[from].SetVMs(list)
	}
	awaitPeers := func(what string, want int) {
		for _, id := range ids {
			recorders[id].eventually(t, fmt.Sprint(what, " at ", id), func(r *recorder) bool {
				return len(r.peers) == want && len(r.ups) >= want
			})
		}
	}
	awaitPeers("all members", 3)
	for range 2 { // twice in a row
		before := map[ident.Daemon]int{}
		for _, id := range ids {
			before[id] = recorders[id].totalUps()
		}
		for _, link := range between {
			link.Cut()
		}
		awaitPeers("own side only", 1)
		for _, link := range between {
			is.NoErr(link.Restore())
		}
		awaitPeers("all members again", 3)
		for _, id := range ids {
			is.True(recorders[id].totalUps() >= before[id]+2) // the full state is asked for
		}
	}
}

func (r *recorder) totalUps() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, n := range r.ups {
		sum += n
	}
	return sum
}

// A daemon's address passes to another daemon. Who dials the old one must not
// take the new one for it.
func TestAddressThatPassedToAnotherDaemon(t *testing.T) {
	a, ra := start(t, fleet.Config{Self: "a"})
	c, rc := start(t, fleet.Config{Self: "c"})
	a.SetVMs([]platform.VM{vm("b", c.Address())})
	time.Sleep(5 * beat) // several dials; none may succeed
	for _, r := range []*recorder{ra, rc} {
		r.locked(func() {
			if len(r.ups) != 0 {
				t.Errorf("linked: %v", r.ups)
			}
		})
	}
	a.SetVMs([]platform.VM{vm("b", c.Address()), vm("c", c.Address())})
	ra.eventually(t, "link to c", linked("c"))
}

// A daemon is restarted under its name on a VM whose clock is behind, so that
// its incarnation is lower than the one its peers know. They refuse it for
// good; it must not stay alone in silence.
func TestOutdatedDaemonTellsItsOperator(t *testing.T) {
	is := is.New(t)
	a, ra := start(t, fleet.Config{Self: "a"})
	b, _ := start(t, fleet.Config{Self: "b", Incarnation: 5})
	address := b.Address()
	b.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to b", linked("b"))
	stop(t, b)
	ra.eventually(t, "loss of b", func(r *recorder) bool { return r.losts["b"] == 1 })

	log := &lockedBuffer{}
	late := newRecorder()
	n, err := fleet.New(fleet.Config{
		Self: "b", Incarnation: 4, Zone: "hall-a", Listen: address, Heartbeat: beat,
		Logger: slog.New(slog.NewTextHandler(log, nil)),
	}, late)
	is.NoErr(err)
	is.NoErr(n.Start(t.Context()))
	t.Cleanup(func() { stop(t, n) })
	n.SetVMs([]platform.VM{vm("a", a.Address())})
	late.eventually(t, "event 607", func(*recorder) bool { return strings.Contains(log.String(), "event=607") })
	ra.locked(func() { is.Equal(ra.ups["b"], 1) })
}

// A second daemon is started under the name of one that runs. The elder loses its
// links and grants the slots of all targets by itself: the fleet over-admits, and
// the members look right at all others. These have to name the elder's address.
func TestTwoDaemonsOfOneNameAreTold(t *testing.T) {
	log := &lockedBuffer{}
	ra := newRecorder()
	a, err := fleet.New(fleet.Config{
		Self: "a", Incarnation: 1, Zone: "hall-a", Listen: "127.0.0.1:0", Heartbeat: beat,
		Logger: slog.New(slog.NewTextHandler(log, nil)),
	}, ra)
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(a.Start(t.Context()))
	t.Cleanup(func() { stop(t, a) })
	elder, _ := start(t, fleet.Config{Self: "b", Incarnation: 5})
	elder.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to the elder", linked("b"))
	later, rl := start(t, fleet.Config{Self: "b", Incarnation: 6})
	later.SetVMs([]platform.VM{vm("a", a.Address())})
	rl.eventually(t, "link of the later one", linked("a"))
	told := "event=609 peer=b refused=" + elder.Address() + " kept=" + later.Address()
	ra.eventually(t, "event 609", func(*recorder) bool { return strings.Contains(log.String(), told) })
	ra.eventually(t, "a further refusal", func(*recorder) bool { return strings.Contains(log.String(), "event=604") })
	is.Equal(strings.Count(log.String(), "event=609"), 1)
}

// lockedBuffer takes log lines from many goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
