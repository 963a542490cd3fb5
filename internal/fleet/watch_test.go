package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
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
