package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/retry"
)

var windowConfig = retry.WindowConfig{Ratio: 0.2, Burst: 50, Span: 10 * time.Second}

// All targets of a service fail half of their requests. Every daemon sees a reason to
// repeat each of them; in no span of ten seconds may the fleet repeat more than its
// budget, however requests are spread over daemons and time.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 6).Draw(rt, "daemons")
		windows := make([]*retry.Window, daemons)
		for i := range windows {
			windows[i] = retry.NewWindow(windowConfig)
			windows[i].SetDaemons(daemons)
		}
		type moment struct {
			at     time.Duration
			repeat bool
		}
		var log []moment
		start, now := time.Unix(1000, 0), time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			w := windows[rapid.IntRange(0, daemons-1).Draw(rt, "daemon")]
			if rapid.Bool().Draw(rt, "request") {
				w.Accepted(start.Add(now))
				log = append(log, moment{now, false})
			} else if w.Take(start.Add(now)) {
				log = append(log, moment{now, true})
			}
		}
		for i := range log {
			requests, repeats := 0, 0
			for j := i; j >= 0 && log[j].at > log[i].at-2*windowConfig.Span; j-- {
				switch {
				case !log[j].repeat:
					requests++
				case log[j].at > log[i].at-windowConfig.Span:
					repeats++
				}
			}
			if most := windowConfig.Ratio*float64(requests) + windowConfig.Burst; float64(repeats) > most {
				rt.Fatalf("%d repeats in a span with %d requests", repeats, requests)
			}
		}
	})
}

// The burst of a quiet service is there again once a span has passed.
func TestWindowForgets(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(windowConfig)
	start := time.Unix(1000, 0)
	taken := func(now time.Time) (n int) {
		for w.Take(now) {
			n++
		}
		return n
	}
	first := taken(start)
	is.True(first >= 30 && first <= 50)
	is.Equal(taken(start.Add(9*time.Second)), 0)
	is.Equal(taken(start.Add(11*time.Second)), first)
}

// The time of day steps back by an hour. Budgets go by the steady clock, which the
// differences of times read from the clock keep to.
func TestWindowIgnoresTimeThatRunsBackwards(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(windowConfig)
	start := time.Unix(10000, 0)
	w.Accepted(start)
	for w.Take(start.Add(time.Second)) {
	}
	is.Equal(w.Take(start.Add(-time.Hour)), false)
	is.Equal(w.Take(start.Add(20*time.Second)), true)
}
