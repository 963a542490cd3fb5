package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

// The document specifies a model version for both engines. The daemon that owns them must
// send each one exactly one order with a fencing number, and no order to engines that are
// in the desired state.
func TestDesiredStateIsOrdered(t *testing.T) {
	is := is.New(t)
	site, _ := startDev(t)
	for name, engine := range site.Engines {
		orders := waitForOrder(t, engine)
		is.Equal(len(orders), 1) // the order states the whole desired state, so one is enough
		is.Equal(orders[0].Version, "1")
		is.Equal(orders[0].Models, []string{"recap-1"})
		is.True(orders[0].Fencing > 0) // it was sent under a lease
		is.Equal(string(name.Service), "lm-pool")
	}
}

func waitForOrder(t *testing.T, engine *enginestandin.Engine) []enginestandin.Orders {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if orders := engine.Orders(); len(orders) > 0 {
			return orders
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the engine received no order")
	return nil
}
