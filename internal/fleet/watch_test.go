package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/test/faultlink"
)

// slowBeat makes a resting link speak every 24 s and be looked at after 72 s,
// which is beyond bound: what is found sooner was found by the watchers.
const slowBeat = 200 * time.Millisecond

// A VM of a large fleet loses its power: no connection ends, all go silent. Most
// daemons don't watch it; all the same each has to take it for gone, or its
// slots stay taken and its targets without an owner. Nobody else may be lost.
func TestSilentDeathIsKnownToDaemonsThatDoNotWatch(t *testing.T) {
	is := is.New(t)
	ids := []ident.Daemon{"a", "b", "c", "d", "e", "f", "g", "h"}
	var vms []platform.VM
	nodes, recorders := map[ident.Daemon]*fleet.Node{}, map[ident.Daemon]*recorder{}
	for _, id := range ids {
		nodes[id], recorders[id] = start(t, fleet.Config{Self: id, Heartbeat: slowBeat, WatchAll: 1})
		vms = append(vms, vm(id, nodes[id].Address()))
	}
	victim, _ := start(t, fleet.Config{Self: "z", Heartbeat: slowBeat, WatchAll: 1})
	way := faultlink.New(t, victim.Address())
	vms = append(vms, vm("z", way.Address))
	for _, id := range ids {
		nodes[id].SetVMs(vms)
	}
	for _, id := range ids {
		for _, v := range vms {
			if other := ident.Daemon(v.Name); other != id {
				recorders[id].eventually(t, "link to "+v.Name, linked(other))
			}
		}
	}
	way.SilenceOpen()
	stop(t, victim)
	for _, id := range ids {
		recorders[id].eventually(t, "death at "+string(id), func(r *recorder) bool { return r.peers["z"].ID == "" })
		recorders[id].locked(func() { is.Equal(len(recorders[id].peers), len(ids)-1) })
	}
}

// Something on the path to one daemon loses track of a link that rests. Requests
// whose demand goes over it would wait for grants that never come; whoever sent it
// has to find out within heartbeats, not when the rest ends.
func TestSilentLinkAtRestIsFoundByWhatIsSent(t *testing.T) {
	const quickBeat = 100 * time.Millisecond // a rest ends after 36 s, beyond bound
	a, ra := start(t, fleet.Config{Self: "a", Heartbeat: quickBeat, WatchAll: 1})
	known, seen := []platform.VM{vm("a", "")}, []platform.VM{}
	ways, peers := map[ident.Daemon]*faultlink.Link{}, []*fleet.Node{}
	for _, id := range []ident.Daemon{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		n, _ := start(t, fleet.Config{Self: id, Heartbeat: quickBeat, WatchAll: 1})
		ways[id] = faultlink.New(t, n.Address())
		peers = append(peers, n)
		known, seen = append(known, vm(id, "")), append(seen, vm(id, ways[id].Address))
	}
	for _, n := range peers {
		n.SetVMs(known) // without addresses: they choose among all and link to a alone
	}
	a.SetVMs(seen)
	for id := range ways {
		ra.eventually(t, "link to "+string(id), linked(id))
	}
	time.Sleep(5 * quickBeat) // links that nobody watches come to rest
	for id, way := range ways {
		before := ra.count(id)
		way.SilenceOpen()
		ra.eventually(t, "new link to "+string(id), func(r *recorder) bool {
			a.Send(id, scheduler.Message{Demand: []scheduler.Demand{{Service: "s", Workspace: "w", Waiting: 1}}})
			return r.ups[id] > before
		})
	}
}
