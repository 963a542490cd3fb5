package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/registry"
)

// Guards against a target that counts as ended although it is still there or has left as planned, and
// against one that does not although another process has taken its place.
func TestNextProcessAtAnAddressProvesACrash(t *testing.T) {
	const address = "10.0.0.1:80"
	target := registry.Entry{Identity: "t", Address: address, StartedAtMillis: 1}
	draining, restarted, other := target, target, target
	draining.Draining, restarted.StartedAtMillis, other.Identity = true, 2, "u"
	for _, c := range []struct {
		name       string
		registered []registry.Entry
		age        time.Duration
		want       int
	}{
		{"still there", []registry.Entry{target}, time.Second, 0},
		{"gone", nil, time.Second, 0},
		{"leaves", []registry.Entry{draining}, time.Second, 0},
		{"leaves, and its address is in use again", []registry.Entry{draining, other}, time.Second, 0},
		{"another identity", []registry.Entry{other}, time.Second, 1},
		{"started again", []registry.Entry{restarted}, time.Second, 1},
		{"too late", []registry.Entry{other}, lateProofTime + time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var u unprovenCrashes
			now := time.Now()
			u.add(unprovenCrash{poison.Run{Process: processOf(target)}, address, now.Add(-c.age)})
			targets := &Targets{ByIdentity: map[ident.Target]registry.Entry{}}
			for _, e := range c.registered {
				targets.ByIdentity[e.Identity] = e
			}
			proven := u.takeProven(now, targets)
			is.Equal(len(proven), c.want)
			if c.want > 0 {
				is.Equal(proven[0].Ago, c.age)
				is.Equal(len(u.takeProven(now, targets)), 0) // reported once
			}
		})
	}
}
