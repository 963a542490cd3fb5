package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/scheduler"
)

// A tick delayed in its channel while requests are accepted can carry a time one
// second before theirs. The age of the first waiting request was then negative, and
// the daemon panicked, so that all its callers lost their responses.
func TestTickOlderThanRequestIsHarmless(t *testing.T) {
	is := is.New(t)
	c := newCore("d2", "z2")
	c.SetPeers(start, []scheduler.Peer{{ID: "d1", Incarnation: 1, Zone: "z1"}})
	is.True(c.Submit(start.Add(time.Second), request("a0", "a")) == nil)
	c.Tick(start)
	is.Equal(len(dispatched(c)), 0) // it waits for the owner's grant
}
