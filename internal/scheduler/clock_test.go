package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// A daemon under load stops with a panic, and all its callers lose their
// answers. A tick had waited in its channel while requests were taken in, so
// that its time was a second before theirs, and the age of the first waiting
// request came out negative.
func TestTickThatIsOlderThanARequestDoesNoHarm(t *testing.T) {
	is := is.New(t)
	c := newCore("d2", "z2")
	c.Peers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	is.True(c.Submit(start.Add(time.Second), request("a0", "a")) == nil)
	c.Tick(start)
	is.Equal(len(dispatched(c)), 0) // it waits for the owner's grant
}
