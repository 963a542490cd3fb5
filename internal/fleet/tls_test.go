package fleet_test

import (
	"testing"

	"github.com/savorystall/savorystall/internal/certs"
	"github.com/savorystall/savorystall/internal/certs/certstest"
	"github.com/savorystall/savorystall/internal/fleet"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/platform"
)

// Somebody starts a process on the network of the fleet, without a certificate,
// with one of another authority, or with one that the same authority signed for
// another purpose. If it were let in it could hand out grants and settle claims.
func TestStrangersAreKeptOut(t *testing.T) {
	fleetCA, otherCA := certstest.NewAuthority(t), certstest.NewAuthority(t)
	a, ra := start(t, fleet.Config{Self: "a", Identity: fleetCA.Identity(t, certs.FleetName)})
	strangers := map[ident.Daemon]*certs.Identity{
		"0-none":    nil,
		"1-foreign": otherCA.Identity(t, certs.FleetName),
		"2-purpose": fleetCA.Identity(t, "www.example.org"),
	}
	for id, identity := range strangers {
		n, r := start(t, fleet.Config{Self: id, Identity: identity})
		n.SetVMs([]platform.VM{vm("a", a.Address())})
		defer r.locked(func() {
			if len(r.ups) != 0 {
				t.Errorf("%s got a link", id)
			}
		})
	}
	b, rb := start(t, fleet.Config{Self: "b", Identity: fleetCA.Identity(t, certs.FleetName)})
	b.SetVMs([]platform.VM{vm("a", a.Address())})
	ra.eventually(t, "link to b", linked("b"))
	rb.eventually(t, "link to a", linked("a"))
	// The strangers have dialled before b, whose dial waits for its grace.
	ra.locked(func() {
		if len(ra.ups) != 1 {
			t.Errorf("links: %v", ra.ups)
		}
	})
}
