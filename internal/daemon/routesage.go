package daemon

import (
	"log/slog"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// routesAgeReporter reports how long ago the store confirmed the routes in force: a gauge, and a line
// at the beginning and at the end of each time in which they are too old.
type routesAgeReporter struct {
	// max is the age from which on the routes are too old.
	max    time.Duration
	isOld  bool
	oldest time.Duration
}

// observe is called at regular intervals.
func (r *routesAgeReporter) observe(known relay.Knowledge, metrics *telemetry.Metrics, log *slog.Logger) {
	metrics.RoutesAge(known.Age)
	old := known.Age > r.max
	switch {
	case old && !r.isOld:
		event.RoutesUnconfirmed.Log(log, "age_ms", known.Age.Milliseconds(), "reader", known.Reader, "reader_age_ms", known.ReaderAge.Milliseconds())
	case !old && r.isOld:
		event.RoutesConfirmed.Log(log, "oldest_ms", r.oldest.Milliseconds(), "reader", known.Reader, "reader_age_ms", known.ReaderAge.Milliseconds())
		r.oldest = 0
	}
	if old {
		r.oldest = max(r.oldest, known.Age)
	}
	r.isOld = old
}
