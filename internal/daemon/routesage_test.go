package daemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/relay"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// Guards against routes that become old without a trace of how old they were and by whose answers.
func TestOldRoutesAreLoggedOnceWithTheirAges(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	metrics := telemetry.NewMetrics()
	defer func() { _ = metrics.Close() }()
	r := routesAgeReporter{max: 3 * time.Second}
	for _, age := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, time.Second, time.Second} {
		r.observe(relay.Knowledge{Reader: "d2", Age: age, ReaderAge: age / 2}, metrics, log)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], `"age_ms":4000`) && strings.Contains(lines[0], `"reader_age_ms":2000`))
	is.True(strings.Contains(lines[1], `"oldest_ms":5000`))
}
