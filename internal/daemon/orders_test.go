package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

// The document wants a version of the model on both engines. The daemon that
// owns them must order it once each, under a fencing number, and leave engines
// alone that are in their wanted state.
func TestWantedStateIsOrdered(t *testing.T) {
	is := is.New(t)
	site, _ := startDev(t)
	for name, engine := range site.Engines {
		orders := waitForOrder(t, engine)
		is.Equal(len(orders), 1) // one absolute order suffices
		is.Equal(orders[0].Version, "1")
		is.Equal(orders[0].Models, []string{"recap-1"})
		is.True(orders[0].Fencing > 0) // it was given under a lease
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
	t.Fatal("no order arrived")
	return nil
}
