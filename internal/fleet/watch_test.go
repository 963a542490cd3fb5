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

// slowHeartbeat makes an unwatched link send a frame every 24 s and be probed
// after 72 s. The latter is longer than waitTimeout, so a failure that is
// detected earlier was reported by the daemons that watch the victim.
const slowHeartbeat = 200 * time.Millisecond

// A VM of a large fleet loses power: its connections stay open but carry no
// data. Daemons that do not watch it must consider it dead as well; otherwise
// its slots stay occupied and its targets have no owner. No other daemon may be
// considered dead.
func TestSilentFailureReachesDaemonsThatDoNotWatch(t *testing.T) {
	is := is.New(t)
	ids := []ident.Daemon{"a", "b", "c", "d", "e", "f", "g", "h"}
	var vms []platform.VM
	nodes, recorders := map[ident.Daemon]*fleet.Node{}, map[ident.Daemon]*recorder{}
	for _, id := range ids {
		nodes[id], recorders[id] = startNode(t, fleet.Config{Self: id, Heartbeat: slowHeartbeat, WatchAll: 1})
		vms = append(vms, vm(id, nodes[id].Address()))
	}
	victim, _ := startNode(t, fleet.Config{Self: "z", Heartbeat: slowHeartbeat, WatchAll: 1})
	proxy := faultlink.New(t, victim.Address())
	vms = append(vms, vm("z", proxy.Address))
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
	proxy.StallOpenConnections()
	stopNode(t, victim)
	for _, id := range ids {
		recorders[id].eventually(t, "removal of z at "+string(id), func(r *recorder) bool { return r.peers["z"].ID == "" })
		recorders[id].withLock(func() { is.Equal(len(recorders[id].peers), len(ids)-1) })
	}
}

// A middlebox loses track of an unwatched link. Requests whose demand is sent
// over it would wait for grants that never arrive. The sender must detect this
// within a few heartbeats instead of at the next probe of unwatched links.
func TestSilentUnwatchedLinkIsDetectedBySending(t *testing.T) {
	const shortHeartbeat = 100 * time.Millisecond // unwatched links are probed after 36 s, longer than waitTimeout
	a, ra := startNode(t, fleet.Config{Self: "a", Heartbeat: shortHeartbeat, WatchAll: 1})
	peerList, proxied := []platform.VM{vm("a", "")}, []platform.VM{}
	proxies, peers := map[ident.Daemon]*faultlink.Link{}, []*fleet.Node{}
	for _, id := range []ident.Daemon{"b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		n, _ := startNode(t, fleet.Config{Self: id, Heartbeat: shortHeartbeat, WatchAll: 1})
		proxies[id] = faultlink.New(t, n.Address())
		peers = append(peers, n)
		peerList, proxied = append(peerList, vm(id, "")), append(proxied, vm(id, proxies[id].Address))
	}
	for _, n := range peers {
		n.SetVMs(peerList) // without addresses: they select whom to watch among all, but have links to a only
	}
	a.SetVMs(proxied)
	for id := range proxies {
		ra.eventually(t, "link to "+string(id), linked(id))
	}
	time.Sleep(5 * shortHeartbeat) // until links that are not watched have stopped frequent heartbeats
	for id, proxy := range proxies {
		before := ra.linkUpCount(id)
		proxy.StallOpenConnections()
		ra.eventually(t, "new link to "+string(id), func(r *recorder) bool {
			a.Send(id, scheduler.Message{Demand: []scheduler.Demand{{Service: "s", Workspace: "w", Waiting: 1}}})
			return r.linkUps[id] > before
		})
	}
}
