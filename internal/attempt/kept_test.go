package attempt_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// serveKept starts a target that answers each request on a kept connection with respond, and
// counts the connections.
func serveKept(t *testing.T, respond func(r *http.Request) string) (address string, opened *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close() })
	opened = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			conns.Go(func() {
				defer func() { _ = conn.Close() }()
				for in := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(conn, respond(r)); err != nil {
						return
					}
				}
			})
		}
	}()
	return l.Addr().String(), opened
}

func chunkedStream(body string) string {
	return streamHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

const keptRequests = 200 // of each caller

// count counts a failed request: not run, so that it is sent again, or failed for its caller.
func count(got attempt.Result, notRun, failed *atomic.Int64) {
	switch {
	case got.Failure == nil:
	case got.Outcome == resultcode.NotRun:
		notRun.Add(1)
	default:
		failed.Add(1)
	}
}

// Guards against bytes behind a complete response on a kept connection: a late response to another
// request would be taken for the response to the next one.
func TestBytesBehindACompleteResponseAreNotTheNextResponse(t *testing.T) {
	foreignStream := chunkedStream(event("1", `data: {"choices":[{"text":"foreign","finish_reason":"stop"}]}`) + endMark)
	var sound []string
	for n := 1; n <= soundEvents; n++ {
		sound = append(sound, soundData(n))
	}
	stream := soundStream(0, soundEvents) + endMark
	for name, response := range map[string]string{
		"sound":                       chunkedStream(stream),
		"late response behind chunks": chunkedStream(stream) + foreignStream,
		"late response behind length": streamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(stream)) + stream + foreignStream,
		"words behind chunks":         chunkedStream(stream) + "words\r\n\r\n",
	} {
		t.Run("stream/"+name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			address, opened := serveKept(t, func(*http.Request) string { return response })
			cfg := noTimeout()
			cfg.PlainFirstByteTimeout, cfg.PlainProgressTimeout = time.Minute, time.Minute
			runner := newRunner(t, cfg)
			var notRun, failed, foreign atomic.Int64
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					for range keptRequests {
						sink := &chunkRecorder{}
						got := runner.Model(t.Context(), modelRequest(address, "x", soundEvents), sink)
						count(got, &notRun, &failed)
						foreign.Add(int64(sink.foreign(sound)))
						if got.Failure == nil && len(sink.data) != soundEvents {
							t.Errorf("%d pieces", len(sink.data))
						}
					}
				})
			}
			callers.Wait()
			t.Logf("%d connections, %d not run, %d failed, %d foreign of %d", opened.Load(), notRun.Load(), failed.Load(), foreign.Load(), 4*keptRequests)
			is.Equal(foreign.Load(), int64(0))
			is.Equal(failed.Load(), int64(0))
		})
	}
	plain := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for name, response := range map[string]string{
		"sound":         plain("own"),
		"late response": plain("own") + plain("foreign"),
		"words":         plain("own") + "words",
	} {
		t.Run("plain/"+name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			address, opened := serveKept(t, func(*http.Request) string { return response })
			cfg := noTimeout()
			cfg.PlainFirstByteTimeout, cfg.PlainProgressTimeout = time.Minute, time.Minute
			runner := newRunner(t, cfg)
			var notRun, failed, foreign atomic.Int64
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					for range keptRequests {
						w := httptest.NewRecorder()
						req := attempt.PlainRequest{Attempt: ident.NewAttempt(), Address: address, Method: "GET", Path: "/", Header: http.Header{}}
						count(runner.Plain(t.Context(), req, w), &notRun, &failed)
						if strings.Contains(w.Body.String(), "foreign") {
							foreign.Add(1)
						}
					}
				})
			}
			callers.Wait()
			t.Logf("%d connections, %d not run, %d failed, %d foreign of %d", opened.Load(), notRun.Load(), failed.Load(), foreign.Load(), 4*keptRequests)
			is.Equal(foreign.Load(), int64(0))
			is.Equal(failed.Load(), int64(0))
		})
	}
}
