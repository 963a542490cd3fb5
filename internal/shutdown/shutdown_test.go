package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return began.Add(d) }

// Guards against requests that are sent to a target so late that they are cut when the process is killed, and
// against the refusal of those that end in time.
func TestDispatchUntil(t *testing.T) {
	p := NewPlan(began, 8*time.Second)
	is.New(t).Equal(p.AnswerBy(), at(7500*time.Millisecond))
	for name, c := range map[string]struct{ deadline, expected, until time.Duration }{
		"quick":                                {20 * time.Second, 20 * time.Millisecond, 7 * time.Second},
		"unknown":                              {20 * time.Second, 0, 7 * time.Second},
		"slow":                                 {20 * time.Second, 3 * time.Second, 4500 * time.Millisecond},
		"longer than the grace":                {60 * time.Second, 30 * time.Second, -22500 * time.Millisecond},
		"ends by its deadline":                 {7500 * time.Millisecond, 30 * time.Second, 7500 * time.Millisecond},
		"deadline in the margin":               {7501 * time.Millisecond, 0, 7 * time.Second},
		"deadline before the end of the grace": {3 * time.Second, 20 * time.Millisecond, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			until := p.DispatchUntil(at(c.deadline), c.expected)
			is.Equal(until, at(c.until))
			is.True(p.MayDispatch(until, at(c.deadline), c.expected))
			is.True(!p.MayDispatch(until.Add(1), at(c.deadline), c.expected))
		})
	}
}

// Guards against refusals by a daemon that does not know the grace period.
func TestUnknownGraceBoundsNothing(t *testing.T) {
	is := is.New(t)
	for _, p := range []Plan{{}, NewPlan(began, 0), NewPlan(began, -time.Second)} {
		is.True(!p.Bounded())
		is.True(p.MayDispatch(at(time.Hour), at(time.Minute), time.Hour))
		is.Equal(p.DispatchUntil(at(time.Minute), time.Hour), at(time.Minute))
	}
}

func TestMeanDurationFollowsTheDurations(t *testing.T) {
	is := is.New(t)
	var m MeanDuration
	is.Equal(m.Value(), time.Duration(0))
	m.Observe(time.Second)
	is.Equal(m.Value(), time.Second)
	for range 200 {
		m.Observe(3 * time.Second)
	}
	is.True(m.Value() > 2900*time.Millisecond && m.Value() <= 3*time.Second)
}

// Guards against quick requests that are refused in a planned stop, since the first request of their route was slow.
func TestFirstDurationDoesNotDecideAlone(t *testing.T) {
	is := is.New(t)
	var m MeanDuration
	m.Observe(10 * time.Second)
	for range 10 {
		m.Observe(10 * time.Millisecond)
	}
	is.True(m.Value() < time.Second)
}
