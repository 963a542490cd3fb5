package integration_test

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	"github.com/savorystall/savorystall/test/faultlink"
)

// front is the platform as one daemon sees it: it can be out of that daemon's
// reach alone, and its VM list leads to each peer over a link of the pair's own.
type front struct {
	f   *fleet
	url string
	cut atomic.Bool
	// peers are the links from this daemon to the others; nil to itself.
	peers []*faultlink.Link
}

// withFronts puts a front before each daemon.
func withFronts(f *fleet) {
	for range daemonCount {
		f.fronts = append(f.fronts, &front{f: f, peers: make([]*faultlink.Link, daemonCount)})
	}
}

func (f *fleet) startFronts(listeners []string) {
	for i, fr := range f.fronts {
		for j, listen := range listeners {
			if i != j {
				fr.peers[j] = faultlink.New(f.t, listen)
			}
		}
		fr.url = "http://" + f.serve(fr, func() {})
	}
}

// ServeHTTP implements http.Handler.
func (fr *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if fr.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != wire.PathVMs {
		fr.f.platform.ServeHTTP(w, r)
		return
	}
	list := append([]wire.VM(nil), fr.f.vms...)
	for i := range list {
		if list[i].Role != platform.RoleDaemon {
			continue
		}
		for j, link := range fr.peers {
			if link != nil && list[i].Name == daemonName(j) {
				list[i].Address = link.Address
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.VMs{VMs: list})
}

// between calls do for each link between the two sides of a split.
func (f *fleet) between(inside func(daemon int) bool, do func(*faultlink.Link)) {
	for i, fr := range f.fronts {
		for j, link := range fr.peers {
			if link != nil && inside(i) != inside(j) {
				do(link)
			}
		}
	}
}

// inZone tells whether a daemon is in the zone of the given index.
func inZone(zone int) func(int) bool {
	return func(daemon int) bool { return zoneOf(daemon) == zones[zone] }
}
