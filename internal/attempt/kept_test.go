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
	opened = &atomic.Int64{}
	address = serveConnections(t, func(conn net.Conn, in *bufio.Reader) {
		opened.Add(1)
		for {
			r, err := readWholeRequest(in)
			if err != nil {
				return
			}
			if _, err := io.WriteString(conn, respond(r)); err != nil {
				return
			}
		}
	})
	return address, opened
}

func chunkedStream(body string) string {
	return streamHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

const (
	keptCallers  = 4
	keptRequests = 200 // of each caller
)

// keptCounts counts the outcomes of requests.
type keptCounts struct {
	// notRun counts those that failed as not run, which callers may send again.
	notRun atomic.Int64
	// failed counts those that failed otherwise.
	failed atomic.Int64
	// foreign counts the foreign pieces or bodies that callers got.
	foreign atomic.Int64
}

func (n *keptCounts) count(got attempt.Result) {
	switch {
	case got.Failure == nil:
	case got.Outcome == resultcode.NotRun:
		n.notRun.Add(1)
	default:
		n.failed.Add(1)
	}
}

// String returns the counts for the log of a test.
func (n *keptCounts) String() string {
	return fmt.Sprintf("%d not run, %d failed, %d foreign of %d", n.notRun.Load(), n.failed.Load(), n.foreign.Load(), keptCallers*keptRequests)
}

// callKept makes the requests of all callers.
func callKept(call func(n *keptCounts)) *keptCounts {
	n := &keptCounts{}
	var callers sync.WaitGroup
	for range keptCallers {
		callers.Go(func() {
			for range keptRequests {
				call(n)
			}
		})
	}
	callers.Wait()
	return n
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
			expectNoForeignBytes(t, response, func(runner *attempt.Runner, address string, n *keptCounts) {
				sink := &chunkRecorder{}
				got := runner.Model(t.Context(), modelRequest(address, "x", soundEvents), sink)
				n.count(got)
				n.foreign.Add(int64(sink.foreign(sound)))
				if got.Failure == nil && len(sink.data) != soundEvents {
					t.Errorf("%d pieces", len(sink.data))
				}
			})
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
			expectNoForeignBytes(t, response, func(runner *attempt.Runner, address string, n *keptCounts) {
				w := httptest.NewRecorder()
				req := attempt.PlainRequest{Attempt: ident.NewAttempt(), Address: address, Method: "GET", Path: "/", Header: http.Header{}}
				n.count(runner.Plain(t.Context(), req, w))
				if strings.Contains(w.Body.String(), "foreign") {
					n.foreign.Add(1)
				}
			})
		})
	}
}

// expectNoForeignBytes makes the requests of all callers by call to a target that sends the given response to each, and
// fails the test if one fails or gets foreign bytes.
func expectNoForeignBytes(t *testing.T, response string, call func(runner *attempt.Runner, address string, n *keptCounts)) {
	t.Helper()
	is := is.NewRelaxed(t)
	address, opened := serveKept(t, func(*http.Request) string { return response })
	cfg := noTimeout()
	cfg.PlainFirstByteTimeout, cfg.PlainProgressTimeout = time.Minute, time.Minute
	runner := newRunner(t, cfg)
	n := callKept(func(n *keptCounts) { call(runner, address, n) })
	t.Logf("%d connections, %s", opened.Load(), n)
	is.Equal(n.foreign.Load(), int64(0))
	is.Equal(n.failed.Load(), int64(0))
}
