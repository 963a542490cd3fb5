package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/ident"
)

func indexMember(i int) Member {
	return Member{ID: ident.Daemon(fmt.Sprintf("d%03d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%6))}
}

// lookupAll looks up the owners of 169 targets in six zones.
func lookupAll(lookup func(ident.Service, ident.Target, ident.Zone) ident.Daemon) (owners []ident.Daemon) {
	for i := range 169 {
		owners = append(owners, lookup("pool", ident.Target(fmt.Sprintf("t%03d", i)), ident.Zone(fmt.Sprintf("z%d", i%6))))
	}
	return owners
}

// Guards against a fleet of hundreds of daemons whose start or rolling restart takes all
// processor time of small VMs, since each of them compares all members for all targets
// whenever one of them joins or leaves.
func TestStartOfLargeFleetTakesFewComparisons(t *testing.T) {
	is := is.New(t)
	x := NewOwnerIndex()
	var members []Member
	for i := range 295 {
		members = append(members, indexMember(i))
		x.SetMembers(members)
		lookupAll(x.Lookup)
	}
	is.Equal(lookupAll(x.Lookup), lookupAll(NewOwners(members).Lookup))
	is.True(x.comparisons <= 2*169*50) // each target with each member of its zone, and some more as zones begin
	before := x.comparisons
	for i := range members { // each stops and is back
		members[i].Leaving = true
		x.SetMembers(members)
		lookupAll(x.Lookup)
		members[i].Leaving = false
		x.SetMembers(members)
		lookupAll(x.Lookup)
	}
	is.True(x.comparisons-before <= 3*169*50)
}

// Guards against daemons that disagree on an owner because one of them has kept an outdated
// one.
func TestOwnerIndexAgreesWithOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewOwnerIndex()
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			var members []Member
			for i := range 20 {
				switch rapid.IntRange(0, 3).Draw(t, "state") {
				case 0:
					continue
				case 1:
					m := indexMember(i)
					m.Leaving = true
					members = append(members, m)
				default:
					members = append(members, indexMember(i))
				}
			}
			x.SetMembers(members)
			got, want := lookupAll(x.Lookup), lookupAll(NewOwners(members).Lookup)
			for i := range want {
				if got[i] != want[i] {
					t.Fatalf("target %d has owner %s, want %s", i, got[i], want[i])
				}
			}
			x.Forget(func(_ ident.Service, target ident.Target) bool { return target < "t100" })
		}
	})
}
