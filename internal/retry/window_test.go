package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/savorystall/savorystall/internal/retry"
)

var windowConfig = retry.WindowConfig{Ratio: 0.2, Burst: 50, Span: 10 * time.Second}

// All targets of a service fail half of their requests, so that every daemon has reason
// to repeat each of them. In no span of ten seconds may the fleet repeat more than its
// budget, however requests are distributed over daemons and time.
func TestWindowBoundsRepeatsInEverySpan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 6).Draw(rt, "daemons")
		windows := make([]*retry.Window, daemons)
		for i := range windows {
			windows[i] = retry.NewWindow(windowConfig)
			windows[i].SetDaemons(daemons)
		}
		type logEntry struct {
			at     time.Duration
			repeat bool
		}
		var log []logEntry
		start, now := time.Unix(1000, 0), time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			w := windows[rapid.IntRange(0, daemons-1).Draw(rt, "daemon")]
			if rapid.Bool().Draw(rt, "request") {
				w.Accepted(start.Add(now))
				log = append(log, logEntry{now, false})
			} else if w.Allow(start.Add(now)) {
				log = append(log, logEntry{now, true})
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
			if limit := windowConfig.Ratio*float64(requests) + windowConfig.Burst; float64(repeats) > limit {
				rt.Fatalf("%d repeats in a span with %d requests", repeats, requests)
			}
		}
	})
}

// The burst of a service without requests is available again after one span.
func TestWindowBurstRefillsAfterOneSpan(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(windowConfig)
	start := time.Unix(1000, 0)
	allowedRepeats := func(now time.Time) (n int) {
		for w.Allow(now) {
			n++
		}
		return n
	}
	first := allowedRepeats(start)
	is.True(first >= 30 && first <= 50)
	is.Equal(allowedRepeats(start.Add(9*time.Second)), 0)
	is.Equal(allowedRepeats(start.Add(11*time.Second)), first)
}

// The wall clock steps back by an hour. The budget follows the monotonic clock, which
// differences between clock readings use.
func TestWindowIgnoresClockStepBackwards(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(windowConfig)
	start := time.Unix(10000, 0)
	w.Accepted(start)
	for w.Allow(start.Add(time.Second)) {
	}
	is.Equal(w.Allow(start.Add(-time.Hour)), false)
	is.Equal(w.Allow(start.Add(20*time.Second)), true)
}
