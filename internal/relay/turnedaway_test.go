package relay_test

import (
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against a daemon that the store turns away, and whose reader is frozen or turned away too,
// and that learns of no change although other daemons read the store.
func TestDaemonThatTheStoreTurnsAwayLearnsChangesFromOthers(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for _, hanging := range []bool{false, true} {
			runZone(t, func(z *zone, reader ident.Daemon) {
				turnedAway := fiveDaemons[0]
				if turnedAway == reader {
					turnedAway = fiveDaemons[1]
				}
				z.store.setFaults(turnedAway, !hanging, hanging)
				z.store.setFaults(reader, !hanging, hanging)
				z.freeze(reader, frozen)
				time.Sleep(5 * time.Second)
				for _, value := range []string{"new", "newer"} {
					z.store.put("k", value, false)
					time.Sleep(maxChangeDelay)
					z.expectValue(t, "k", value, reader)
				}
			})
		}
	}
}
