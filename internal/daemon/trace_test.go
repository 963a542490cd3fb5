package daemon_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/settings"
)

// spanLine holds the fields of a span in the file exporter's output that the test reads.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID string }
	Parent      struct{ SpanID string }
}

// If a caller sends its own trace context, every hop must record a span of that trace, and
// the engine must receive the same trace.
func TestSpansCarryCallerTrace(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "spans.json")
	const trace = "0af7651916cd43dd8448eb211c80319c"
	t.Run("request", func(t *testing.T) {
		is := is.New(t)
		emu, addrs := startDev(t, func(s *settings.Settings) { s.Trace.File = file })
		status, _, _ := postCompletion(t, addrs.Callers, "traced", map[string]string{"traceparent": "00-" + trace + "-b7ad6b7169203331-01"}, "")
		is.Equal(status, http.StatusOK)
		seen := ""
		for _, engine := range emu.Engines {
			seen += engine.TraceParent("traced")
		}
		is.True(strings.Contains(seen, trace)) // the engine received the caller's trace
	})
	text, err := os.ReadFile(file) // the daemon has stopped and flushed
	is.NoErr(err)
	spans := map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	for decoder.More() {
		var line spanLine
		is.NoErr(decoder.Decode(&line))
		if line.SpanContext.TraceID == trace && line.Parent.SpanID != "" {
			spans[line.Name]++
		}
	}
	is.Equal(spans, map[string]int{"ingress": 1, "queue": 1, "grant": 1, "target": 1})
}

// The spans of a request must reach the configured collector by the time the daemon has
// stopped.
func TestSpansReachCollector(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && r.URL.Path == "/v1/traces" && len(body) > 0 {
			received.Add(1)
		}
	}))
	defer collector.Close()
	t.Run("request", func(t *testing.T) {
		_, addrs := startDev(t, func(s *settings.Settings) {
			s.Trace.OTLP, s.Trace.Sample = collector.URL+"/v1/traces", 1
		})
		status, _, _ := postCompletion(t, addrs.Callers, "collected", nil, "")
		is.Equal(status, http.StatusOK)
	})
	is.True(received.Load() > 0)
}
