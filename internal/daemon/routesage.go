package daemon

import (
	"log/slog"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// stillUnconfirmedInterval is the interval of the lines about routes that remain unconfirmed.
const stillUnconfirmedInterval = 2 * time.Second

// routesAgeReporter reports how long ago the store confirmed the routes in force: a gauge, and lines
// at the beginning, during and at the end of each time in which they are too old.
type routesAgeReporter struct {
	// max is the age from which on the routes are too old.
	max    time.Duration
	isOld  bool
	oldest time.Duration
	// reportedAt is the age that the last line reported. receivedBefore is the count of bytes at the
	// last observation.
	reportedAt     time.Duration
	receivedBefore int64
}

// vmUsage is how busy the VM of a daemon is.
type vmUsage struct {
	// SchedLatency is how long a runnable goroutine waited before it ran.
	SchedLatency time.Duration
	// Received is the number of bytes that callers have sent since the start.
	Received int64
	// Callers is the number of open connections of callers.
	Callers int
}

// observe is called at regular intervals.
func (r *routesAgeReporter) observe(known relay.Knowledge, usage vmUsage, metrics *telemetry.Metrics, log *slog.Logger) {
	metrics.RoutesAge(known.Age)
	received := usage.Received - r.receivedBefore
	r.receivedBefore = usage.Received
	old := known.Age > r.max
	switch {
	case old && (!r.isOld || known.Age >= r.reportedAt+stillUnconfirmedInterval):
		r.reportedAt = known.Age
		e := event.RoutesStillUnconfirmed
		if !r.isOld {
			e = event.RoutesUnconfirmed
		}
		e.Log(log, "age_ms", known.Age.Milliseconds(), "reader", known.Reader, "reader_age_ms", known.ReaderAge.Milliseconds(),
			"latency_ms", usage.SchedLatency.Milliseconds(), "received_kb", received>>10, "callers", usage.Callers)
	case !old && r.isOld:
		event.RoutesConfirmed.Log(log, "oldest_ms", r.oldest.Milliseconds(), "reader", known.Reader, "reader_age_ms", known.ReaderAge.Milliseconds())
		r.oldest = 0
	}
	if old {
		r.oldest = max(r.oldest, known.Age)
	}
	r.isOld = old
}
