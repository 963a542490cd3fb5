package attempt_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
	"github.com/savorystall/savorystall/test/faultlink"
)

func plainRequest(address, method, mark, fail string) attempt.PlainRequest {
	h := http.Header{}
	h.Set(plainstandin.HeaderMark, mark)
	h.Set(plainstandin.HeaderFail, fail)
	h.Set("Authorization", "Bearer secret")
	h.Set("Connection", "X-Only-Here")
	h.Set("X-Only-Here", "1")
	return attempt.PlainRequest{
		Attempt: ident.NewAttempt(), Address: address, Method: method, Path: "/a%2Fb/c", RawQuery: "q=1&q=2", Header: h,
	}
}

func TestPlainForwardsRequestAndResponse(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		for _, body := range []string{"", "the body"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				s, address := newPlainService(t)
				req := plainRequest(address, method, "m", "")
				req.Body = []byte(body)
				w := httptest.NewRecorder()
				got := newRunner(t, shortTimeouts()).Plain(t.Context(), req, w)
				is.True(got.Failure == nil)
				is.Equal(got.Outcome, resultcode.Ran)
				var echo plainstandin.Echo
				is.NoErr(json.Unmarshal(w.Body.Bytes(), &echo))
				sum := sha256.Sum256([]byte(body))
				is.Equal(echo, plainstandin.Echo{
					Method: method, Path: "/a/b/c", Query: "q=1&q=2", Mark: "m", BodySHA256: hex.EncodeToString(sum[:]),
				})
				is.Equal(s.RunCount("m"), 1)
				is.Equal(s.Header("m").Get("Authorization"), "") // the bearer key is not forwarded
				is.Equal(s.Header("m").Get("X-Only-Here"), "")
				is.Equal(s.Header("m").Get("X-Savorystall-Attempt"), string(req.Attempt))
			})
		}
	}
}

// A plain service fails in one of several ways. A truncated body must not be
// reported as a success, and a request that may have run must not be reported as
// "not run", because the caller would then run it again.
func TestPlainFailures(t *testing.T) {
	cases := map[string]struct {
		code    resultcode.Code
		outcome resultcode.Outcome
		runs    int
		header  bool
	}{
		plainstandin.FailReset:      {resultcode.ConnectionLost, resultcode.MayHaveRun, 1, false},
		plainstandin.FailNoResponse: {resultcode.TargetStalled, resultcode.MayHaveRun, 1, false},
		plainstandin.FailDisconnect: {resultcode.AnswerCut, resultcode.MayHaveRun, 1, true},
		plainstandin.FailStall:      {resultcode.TargetStalled, resultcode.MayHaveRun, 1, true},
		plainstandin.FailNoLength:   {resultcode.TargetProtocol, resultcode.MayHaveRun, 1, false},
		plainstandin.FailReject:     {resultcode.TargetRefused, resultcode.NotRun, 0, false},
	}
	for fail, c := range cases {
		t.Run(fail, func(t *testing.T) {
			is := is.New(t)
			s, address := newPlainService(t)
			sink := &headerSink{ResponseRecorder: httptest.NewRecorder()}
			got := newRunner(t, shortTimeouts()).Plain(t.Context(), plainRequest(address, "POST", "m", fail), sink)
			is.True(got.Failure != nil)
			is.Equal(got.Failure.Code.Name, c.code.Name)
			is.Equal(got.Outcome, c.outcome)
			is.Equal(s.RunCount("m"), c.runs)
			is.Equal(sink.headerWritten, c.header)
		})
	}
}

type headerSink struct {
	*httptest.ResponseRecorder
	headerWritten bool
}

func (s *headerSink) WriteHeader(status int) {
	s.headerWritten = true
	s.ResponseRecorder.WriteHeader(status)
}

// A request with an idempotency key is sent on a reused connection. The service
// runs it, and the connection breaks before the response. net/http's transport
// retries requests with such a key, and GET requests, on its own, so the request
// would run twice without anyone noticing.
func TestPlainIsNeverReplayedByTheTransport(t *testing.T) {
	for _, method := range []string{"POST", "DELETE", "GET", "HEAD", "OPTIONS", "TRACE"} {
		for _, body := range []string{"", "claim"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				s := newBreakingServer(t)
				r := newRunner(t, shortTimeouts())
				first := plainRequest(s.address, "POST", "first", "")
				is.True(r.Plain(t.Context(), first, httptest.NewRecorder()).Failure == nil)

				req := plainRequest(s.address, method, "second", "")
				req.Header.Set("Idempotency-Key", "k")
				req.Header.Set("X-Idempotency-Key", "k")
				req.Body = []byte(body)
				got := r.Plain(t.Context(), req, httptest.NewRecorder())
				is.True(got.Failure != nil)
				is.Equal(got.Outcome, resultcode.MayHaveRun)
				is.Equal(s.requests.Load(), int64(2)) // one for each call
			})
		}
	}
}

// breakingServer responds to the first request and closes the connection of each
// later one after reading it.
type breakingServer struct {
	address  string
	requests atomic.Int64
}

func newBreakingServer(t *testing.T) *breakingServer {
	s := &breakingServer{}
	s.address = serveConnections(t, s.serve)
	return s
}

func (s *breakingServer) serve(c net.Conn, in *bufio.Reader) {
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if s.requests.Add(1) > 1 {
			return
		}
		_ = req.Body.Close()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// Callers cancel at arbitrary times while their requests are being sent. A caller
// that gets "not run" submits the request again elsewhere; if the write were about
// to start at that time, the request would run twice.
func TestPlainNotRunIsAccurateWhenCallersCancel(t *testing.T) {
	const callers = 600
	s, address := newPlainService(t)
	r := newRunner(t, shortTimeouts())
	var notRun atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			mark := fmt.Sprint("claim ", i)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*5*time.Microsecond)
			defer cancel()
			req := plainRequest(address, "POST", mark, "")
			req.Unrepeatable = i%2 == 0
			req.Body = []byte(mark)
			got := r.Plain(ctx, req, httptest.NewRecorder())
			if got.Outcome == resultcode.NotRun {
				notRun.Add(1)
				is.NewRelaxed(t).Equal(s.RunCount(mark), 0)
			}
		})
	}
	group.Wait()
	is.New(t).True(notRun.Load() > 0) // the case occurred in this run
}

func TestProbe(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	e, engine := newEngine(t, enginestandin.Config{Models: []string{"m"}})
	e.SetLeaving(true)
	status, err := r.Probe(t.Context(), engine)
	is.NoErr(err)
	is.True(status.Leaving)
	is.Equal(status.Models, []string{"m"})
	_, err = r.Probe(t.Context(), serve(t, http.NotFoundHandler(), func() {}))
	is.NoErr(err) // a service without a status page counts as reachable
	_, err = r.Probe(t.Context(), faultlink.FreeAddress(t))
	is.True(err != nil)
}
