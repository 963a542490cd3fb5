package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
)

// BenchmarkMembershipChange measures a change of one daemon in a large fleet, at a daemon that has
// begun a thousand streams, while their service has one or two versions. There are a hundred changes
// for each tick.
func BenchmarkMembershipChange(b *testing.B) {
	const daemons, zones, streams = 295, 6, 1000
	var members []origin.Member
	for i := range daemons {
		members = append(members, origin.Member{ID: ident.Daemon(fmt.Sprintf("edge-%d", i)), Zone: ident.Zone(fmt.Sprint("zone-", i%zones))})
	}
	for _, versions := range [][]ident.Version{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprintf("versions=%d", len(versions)), func(b *testing.B) {
			c := origin.New(origin.Config{Self: "edge-self", Zone: "zone-0", MaxViewAge: simViewAge, FirstStart: true}, start)
			c.Confirm(start, start)
			c.Observe(start, view(versions...))
			for i := range streams {
				c.Began(start, origin.NewKey("w", fmt.Sprint(i)), firstV1)
			}
			for i := 0; b.Loop(); i++ {
				c.SetMembers(start, members[i%2:])
				if i%100 == 0 {
					c.Tick(start.Add(time.Duration(i) * time.Millisecond))
				}
			}
		})
	}
}
