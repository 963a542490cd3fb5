package attempt_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// serveStreams starts an engine that answers every request for a stream with write, and counts
// them.
func serveStreams(t *testing.T, write func(w io.Writer) error) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	address = serveConnections(t, func(conn net.Conn, in *bufio.Reader) {
		r, err := readWholeRequest(in)
		if err != nil || r.Method == http.MethodDelete {
			return
		}
		requests.Add(1)
		if _, err = io.WriteString(conn, streamHead+"\r\n"); err == nil {
			_ = write(conn)
		}
	})
	return address, requests
}

// Guards against an event that never ends: each of its lines is short, but their sum takes the
// memory of the daemon.
func TestEventWithoutEndIsBounded(t *testing.T) {
	const maxMemory = 16 << 20 // bytes, of all connections of the attempt
	line := strings.Repeat("x", 1000) + "\n"
	for name, lines := range map[string]string{
		"data":           "data: " + line,
		"data, comments": ": " + line + "data: " + line,
		"comments":       ": " + line,
		"one line":       strings.Repeat("x", 64<<10),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			block := []byte(strings.Repeat(lines, max(1, 32<<10/len(lines))))
			address, _ := serveStreams(t, func(w io.Writer) error {
				for _, err := io.WriteString(w, "id: 1\n"); ; {
					if err != nil {
						return err
					}
					_, err = w.Write(block)
				}
			})
			cfg := shortTimeouts()
			cfg.ProgressTimeout, cfg.ResumeWindow = time.Second, 3*time.Second
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sink := &chunkRecorder{}
			got := newRunner(t, cfg).Model(t.Context(), modelRequest(address, "x", 1), sink)
			runtime.ReadMemStats(&after)
			t.Logf("%d kB allocated, %v, %d resumed", (after.TotalAlloc-before.TotalAlloc)>>10, got.Failure, got.ResumeCount)
			is.True(got.Failure != nil)
			is.Equal(got.Failure.Code.Name, resultcode.TargetProtocol.Name)
			is.Equal(len(sink.data), 0)
			is.True(got.ResumeCount <= 1)
			is.True(after.TotalAlloc-before.TotalAlloc < maxMemory)
		})
	}
}
