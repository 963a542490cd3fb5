package linkload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/linkload"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a daemon that takes the full link of another one for its own, and against one that
// does not notice its own before an answer has come.
func TestDelayIsThatOfTheNearestDaemon(t *testing.T) {
	is := is.New(t)
	m := linkload.NewMonitor()
	for _, id := range []ident.Daemon{"a", "b", "c"} {
		is.True(m.Sent(at(0), id))
	}
	is.True(!m.Sent(at(0.1), "a"))                // one at a time
	is.Equal(m.Delay(at(0.25)), time.Duration(0)) // connections may have to be opened first
	is.Equal(m.Delay(at(1)), time.Second)
	m.Answered(at(1.5), "a")
	m.Answered(at(1.5), "b")
	is.Equal(m.Delay(at(2)), 1500*time.Millisecond)
	m.Answered(at(2), "c") // its link is full
	is.Equal(m.Delay(at(2)), 1500*time.Millisecond)
	is.True(m.Sent(at(2.25), "a"))
	m.Answered(at(2.375), "a")
	is.Equal(m.Delay(at(2.5)), 125*time.Millisecond)
}

// Guards against probes that are late for lack of processor time and count as delay of the link, and
// against a latency that counts for probes sent later.
func TestSchedulingLatencyIsNotDelay(t *testing.T) {
	is := is.New(t)
	m := linkload.NewMonitor()
	for _, id := range []ident.Daemon{"a", "b", "c"} {
		m.Sent(at(0), id)
	}
	m.ObserveLatency(125 * time.Millisecond)
	m.ObserveLatency(time.Millisecond)
	m.Answered(at(0.5), "a")
	m.Answered(at(2), "b")
	m.Answered(at(2), "c")
	is.Equal(m.Delay(at(2)), time.Duration(0))
	m.Sent(at(2), "a")
	m.Answered(at(4), "a")
	is.Equal(m.Delay(at(4)), 1500*time.Millisecond)
}

// Guards against a decision that rests on too few daemons, or on answers of long ago.
func TestDelayIsUnknownWithoutRecentProbes(t *testing.T) {
	is := is.New(t)
	m := linkload.NewMonitor()
	m.Sent(at(0), "a")
	m.Sent(at(0), "b")
	is.Equal(m.Delay(at(5)), time.Duration(0))
	m.Sent(at(5), "c")
	is.Equal(m.Delay(at(6)), time.Second)
	for _, id := range []ident.Daemon{"a", "b", "c"} {
		m.Answered(at(6), id)
	}
	is.Equal(m.Delay(at(10)), time.Duration(0))
}

// Guards against a limit that falls with each look at the same queue, and one that outlives the flood.
func TestLimitFollowsTheFlood(t *testing.T) {
	is := is.New(t)
	var l linkload.Limiter
	is.Equal(l.Observe(at(0), time.Millisecond, 100), 0.0)
	is.Equal(l.Observe(at(1), 300*time.Millisecond, 100), 50.0)
	is.Equal(l.Observe(at(2.5), 2*time.Second, 60), 50.0) // sent before the limit
	is.Equal(l.Observe(at(3), time.Second, 60), 25.0)
	for s := 4.0; s < 12; s++ {
		is.True(l.Observe(at(s), time.Second, 1) <= 25)
	}
	rate := 0.0
	for s := 12.0; s < 20; s += 0.5 {
		rate = l.Observe(at(s), time.Millisecond, 100)
		is.True(rate > 0) // the limit holds while callers press against it
	}
	is.True(rate > 3*linkload.MinRate)
	is.Equal(l.Observe(at(22), time.Millisecond, 1), 0.0)
}
