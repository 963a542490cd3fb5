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

// Guards against routes that become old without a trace of how old they were, by whose answers, and
// whether the processor or the link of the VM was busy.
func TestOldRoutesAreLoggedWithTheirAges(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	metrics := telemetry.NewMetrics()
	defer func() { _ = metrics.Close() }()
	r := routesAgeReporter{max: 3 * time.Second}
	for i, age := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second, time.Second, time.Second} {
		usage := vmUsage{SchedLatency: 9 * time.Millisecond, Received: int64(i) * 100 << 10, Callers: 7}
		r.observe(relay.Knowledge{Reader: "d2", Age: age, ReaderAge: age / 2}, usage, metrics, log)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], `"age_ms":4000`) && strings.Contains(lines[0], `"reader_age_ms":2000`))
	is.True(strings.Contains(lines[0], `"latency_ms":9`) && strings.Contains(lines[0], `"received_kb":100`) && strings.Contains(lines[0], `"callers":7`))
	is.True(strings.Contains(lines[1], `"event":441`) && strings.Contains(lines[1], `"age_ms":6000`))
	is.True(strings.Contains(lines[2], `"oldest_ms":7000`))
}
