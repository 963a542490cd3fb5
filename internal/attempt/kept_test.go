package attempt_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
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
// counts the connections. Respond gets the number of the request on its connection, counted from one.
func serveKept(t *testing.T, respond func(r *http.Request, n int) string) (address string, opened *atomic.Int64) {
	t.Helper()
	opened = &atomic.Int64{}
	address = serveConnections(t, func(conn net.Conn, in *bufio.Reader) {
		opened.Add(1)
		for n := 1; ; n++ {
			r, err := readWholeRequest(in)
			if err != nil {
				return
			}
			if _, err := io.WriteString(conn, respond(r, n)); err != nil {
				return
			}
		}
	})
	return address, opened
}

// withAttempt returns the response with the name of the request's attempt in its first head.
func withAttempt(r *http.Request, response string) string {
	return strings.Replace(response, streamHead, streamHead+"X-Savorystall-Attempt: "+r.Header.Get("X-Savorystall-Attempt")+"\r\n", 1)
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
			respond := func(r *http.Request, _ int) string { return withAttempt(r, response) }
			expectNoForeignBytes(t, respond, func(runner *attempt.Runner, address string, n *keptCounts) {
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
			respond := func(*http.Request, int) string { return response }
			expectNoForeignBytes(t, respond, func(runner *attempt.Runner, address string, n *keptCounts) {
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

// expectNoForeignBytes makes the requests of all callers by call to a target that responds to each by respond, and
// fails the test if one fails or gets foreign bytes.
func expectNoForeignBytes(t *testing.T, respond func(r *http.Request, n int) string, call func(runner *attempt.Runner, address string, n *keptCounts)) {
	t.Helper()
	is := is.NewRelaxed(t)
	address, opened := serveKept(t, respond)
	cfg := noTimeout()
	cfg.PlainFirstByteTimeout, cfg.PlainProgressTimeout = time.Minute, time.Minute
	runner := newRunner(t, cfg)
	n := callKept(func(n *keptCounts) { call(runner, address, n) })
	t.Logf("%d connections, %s", opened.Load(), n)
	is.Equal(n.foreign.Load(), int64(0))
	is.Equal(n.failed.Load(), int64(0))
}

// Guards against a late response to another request, which arrives after the next request was sent on a kept
// connection and is taken for the response to that one: its caller would get the answer to another caller, or
// "not run" for a request that runs.
func TestLateResponseIsNotTakenForThatToTheNextRequest(t *testing.T) {
	const otherAttempt = "X-Savorystall-Attempt: other\r\n"
	foreignStream := chunkedStream(event("1", `data: {"choices":[{"text":"foreign","finish_reason":"stop"}]}`) + endMark)
	notProcessed := "HTTP/1.1 503 Service Unavailable\r\nX-Savorystall-Not-Processed: true\r\nContent-Length: 0\r\n"
	var sound []string
	for n := 1; n <= soundEvents; n++ {
		sound = append(sound, soundData(n))
	}
	for name, late := range map[string]string{
		"stream":                           foreignStream,
		"stream of another attempt":        strings.Replace(foreignStream, streamHead, streamHead+otherAttempt, 1),
		"not processed":                    notProcessed + "\r\n",
		"not processed of another attempt": notProcessed + otherAttempt + "\r\n",
		"error":                            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			var received sync.Map
			address, opened := serveKept(t, func(r *http.Request, n int) string {
				if r.Method == http.MethodGet {
					return streamHead + "\r\n" + soundStream(0, soundEvents) + endMark
				}
				received.Store(r.Header.Get("X-Savorystall-Attempt"), true)
				own := withAttempt(r, chunkedStream(soundStream(0, soundEvents)+endMark))
				if n == 1 {
					return own
				}
				return late + own
			})
			runner := newRunner(t, noTimeout())
			n := callKept(func(n *keptCounts) {
				sink := &chunkRecorder{}
				req := modelRequest(address, "x", soundEvents)
				got := runner.Model(t.Context(), req, sink)
				n.count(got)
				if _, ran := received.Load(string(req.Attempt)); ran && got.Outcome == resultcode.NotRun {
					t.Error("a request that runs is reported as not run")
				}
				if got.Failure == nil && !slices.Equal(sink.data, sound) {
					n.foreign.Add(1)
				}
			})
			t.Logf("%d connections, %s", opened.Load(), n)
			is.Equal(n.foreign.Load(), int64(0))
			is.Equal(n.failed.Load(), int64(0))
		})
	}
}

// Guards against a kept connection to an engine that does not name the attempts of its responses: what arrives late
// on it could not be told from the response to the next request.
func TestConnectionsOfEnginesThatNameNoAttemptAreNotReused(t *testing.T) {
	for name, respond := range map[string]struct {
		response string
		outcome  resultcode.Outcome
	}{
		"stream":        {chunkedStream(soundStream(0, soundEvents) + endMark), resultcode.Ran},
		"not processed": {"HTTP/1.1 503 Service Unavailable\r\nX-Savorystall-Not-Processed: true\r\nContent-Length: 0\r\n\r\n", resultcode.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			address, opened := serveKept(t, func(*http.Request, int) string {
				requests.Add(1)
				return respond.response
			})
			runner := newRunner(t, noTimeout())
			for range 20 {
				got := runner.Model(t.Context(), modelRequest(address, "x", soundEvents), &chunkRecorder{})
				is.Equal(got.Outcome, respond.outcome)
				is.Equal(got.ResumeCount, 0)
			}
			is.Equal(opened.Load(), requests.Load())
		})
	}
}
