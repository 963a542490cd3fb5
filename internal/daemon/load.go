package daemon

import (
	"context"
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/overload"
)

// probeTurnEvery is how often the wait for a turn is measured; it costs some
// microseconds.
const probeTurnEvery = 20 * time.Millisecond

// loadWatch measures whether the daemon has processor time for its work.
//
// A timer does not tell: the runtime gives a goroutine that a timer wakes the next
// turn. One that yields goes behind all that are ready.
type loadWatch struct {
	over atomic.Bool
}

func newLoadWatch() *loadWatch { return &loadWatch{} }

// overloaded tells whether the daemon has too little processor time.
func (l *loadWatch) overloaded() bool { return l.over.Load() }

func (l *loadWatch) run(ctx context.Context, log *slog.Logger, conns *connections) {
	ticker := time.NewTicker(probeTurnEvery)
	defer ticker.Stop()
	var detector overload.Detector
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		before := time.Now()
		runtime.Gosched()
		now := time.Now()
		over := detector.Note(now, now.Sub(before))
		if l.over.Swap(over) == over {
			continue
		}
		line := event.OverloadEnded
		if over {
			line = event.Overloaded
		}
		line.Log(log, "wait_ms", detector.Mean().Milliseconds(), "callers", conns.open())
	}
}
