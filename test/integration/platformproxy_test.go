package integration_test

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/platform/wire"
	"github.com/savorystall/savorystall/test/faultlink"
)

// platformProxy serves the platform API to one daemon. It can be made unreachable
// for that daemon alone, and the VM list that it returns routes the connections
// to each peer over a separate link for that pair of daemons.
type platformProxy struct {
	fleet       *fleet
	url         string
	unreachable atomic.Bool
	// peerLinks are the links from this daemon to each other daemon; the entry of
	// the daemon itself is nil.
	peerLinks []*faultlink.Link
}

// withPlatformProxies puts a platformProxy between each daemon and the platform.
func withPlatformProxies(f *fleet) {
	for range daemonCount {
		f.platformProxies = append(f.platformProxies, &platformProxy{fleet: f, peerLinks: make([]*faultlink.Link, daemonCount)})
	}
}

func (f *fleet) startPlatformProxies(listeners []string) {
	for i, proxy := range f.platformProxies {
		for j, listen := range listeners {
			if i != j {
				proxy.peerLinks[j] = faultlink.New(f.t, listen)
			}
		}
		proxy.url = "http://" + f.serve(proxy, func() {})
	}
}

// ServeHTTP implements http.Handler.
func (p *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.unreachable.Load() {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != wire.PathVMs {
		p.fleet.platform.ServeHTTP(w, r)
		return
	}
	vms := append([]wire.VM(nil), p.fleet.vms...)
	for i := range vms {
		if vms[i].Role != platform.RoleDaemon {
			continue
		}
		for j, link := range p.peerLinks {
			if link != nil && vms[i].Name == daemonName(j) {
				vms[i].Address = link.Address
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wire.VMs{VMs: vms})
}

// forEachLinkBetween calls visit for each link between a daemon inside the set and
// a daemon outside it.
func (f *fleet) forEachLinkBetween(inside func(daemon int) bool, visit func(*faultlink.Link)) {
	for i, proxy := range f.platformProxies {
		for j, link := range proxy.peerLinks {
			if link != nil && inside(i) != inside(j) {
				visit(link)
			}
		}
	}
}

// inZone returns a function that reports whether a daemon is in the zone with the
// given index.
func inZone(zone int) func(int) bool {
	return func(daemon int) bool { return zoneOf(daemon) == zones[zone] }
}
