package fleet_test

import (
	"testing"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/certs/certstest"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// A process on the network of the fleet connects without a certificate, with
// one of another authority, or with one that the same authority issued for
// another purpose. If accepted, it could hand out grants and settle claims.
func TestUntrustedCertificatesAreRejected(t *testing.T) {
	fleetCA, otherCA := certstest.NewAuthority(t), certstest.NewAuthority(t)
	a, ra := startNode(t, fleet.Config{Self: "a", Identity: fleetCA.Identity(t, certs.FleetName)})
	untrusted := map[ident.Daemon]*certs.Identity{
		"0-none":    nil,
		"1-foreign": otherCA.Identity(t, certs.FleetName),
		"2-purpose": fleetCA.Identity(t, "www.example.org"),
	}
	for id, identity := range untrusted {
		n, r := startNode(t, fleet.Config{Self: id, Identity: identity})
		n.SetVMs([]platform.VM{vm("a", a.Address())})
		defer r.withLock(func() {
			if len(r.linkUps) != 0 {
				t.Errorf("%s got a link", id)
			}
		})
	}
	b, rb := startNode(t, fleet.Config{Self: "b", Identity: fleetCA.Identity(t, certs.FleetName)})
	b.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))
	// The untrusted daemons have dialed before b, which waits for its grace
	// period before it dials.
	ra.withLock(func() {
		if len(ra.linkUps) != 1 {
			t.Errorf("links: %v", ra.linkUps)
		}
	})
}
