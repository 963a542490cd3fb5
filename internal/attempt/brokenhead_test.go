package attempt_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/test/slowupload"
)

const soundStatus = "HTTP/1.1 200 OK"

// brokenHeads are the status line and a further line of heads that are none.
var brokenHeads = []struct{ interim, status, line string }{
	{"", "HTTP/1.1 000 X", ""},
	{"", "HTTP/1.1 001 X", ""},
	{"", "HTTP/1.1 099 X", ""},
	{"", "HTTP/1.1 600 X", ""},
	{"", "HTTP/1.1 999 X", ""},
	{"", "HTTP/2.0 200 OK", ""},
	{"", "HTTP/1.1 200 O\x01K", ""},
	{"HTTP/1.1 099 X\r\n\r\n", soundStatus, ""},
	{"HTTP/1.1 103 X\r\nA b: c\r\n\r\n", soundStatus, ""},
	{"", soundStatus, "X Sum: a\r\n"},
	{"", soundStatus, "X-Sum : a\r\n"},
	{"", soundStatus, "X-Sum: a\r\n folded\r\n"},
	{"", soundStatus, "X\x01Sum: a\r\n"},
	{"", soundStatus, "Transfer-Encoding : chunked\r\n"},
	{"", soundStatus, "X-Savorystall-Attempt : other\r\n"},
}

// plainUpload returns a request with a body of n bytes.
func plainUpload(address string, n int, unrepeatable bool) attempt.PlainRequest {
	return attempt.PlainRequest{
		Attempt: ident.NewAttempt(), Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{},
		Body: make([]byte, n), Unrepeatable: unrepeatable,
	}
}

// Guards against a service's answer with a head that is none and reaches the caller, on a new or a kept connection.
func TestPlainAnswerWithABrokenHeadIsNotForwarded(t *testing.T) {
	for _, head := range brokenHeads {
		for _, unrepeatable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q unrepeatable=%v", head, unrepeatable), func(t *testing.T) {
				address, opened := serveKept(t, func(_ *http.Request, n int) string {
					if n == 1 && !unrepeatable {
						return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
					}
					return head.interim + head.status + "\r\n" + head.line + "Content-Length: 6\r\n\r\ntheirs"
				})
				runner := newRunner(t, shortTimeouts())
				if !unrepeatable {
					runner.Plain(t.Context(), plainUpload(address, 10, unrepeatable), httptest.NewRecorder())
				}
				w := &headerSink{ResponseRecorder: httptest.NewRecorder()}
				got := runner.Plain(t.Context(), plainUpload(address, 10, unrepeatable), w)
				if got.Failure == nil || got.Outcome != resultcode.MayHaveRun || w.headerWritten || w.Body.Len() > 0 {
					t.Errorf("failure %v, outcome %s; forwarded %q", got.Failure, got.Outcome, w.Body)
				}
				if got.Failure != nil && got.Failure.Code.Name != resultcode.TargetProtocol.Name {
					t.Errorf("failed as %s", got.Failure.Code.Name)
				}
				if opened.Load() != 1 {
					t.Errorf("%d connections: it was sent again", opened.Load())
				}
			})
		}
	}
}

// Guards against an answer in chunks that looks complete though a name in its trailer is none.
func TestPlainAnswerWithABrokenTrailerIsNotComplete(t *testing.T) {
	for _, line := range []string{"X Sum: a", "X-Sum : a", "X\x01: a"} {
		address, _ := serveKept(t, func(*http.Request, int) string {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + line + "\r\n\r\n"
		})
		got := newRunner(t, shortTimeouts()).Plain(t.Context(), plainUpload(address, 10, false), httptest.NewRecorder())
		if got.Failure == nil || !got.TargetFailed {
			t.Errorf("%q: failure %v", line, got.Failure)
		}
	}
}

// Guards against a stream with a head that is none, at its begin or where it is taken up: nothing of it reaches the
// caller.
func TestStreamWithABrokenHeadIsNotForwarded(t *testing.T) {
	for _, head := range brokenHeads {
		for _, resumed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q resumed=%v", head, resumed), func(t *testing.T) {
				address, _ := serveKept(t, func(r *http.Request, _ int) string {
					attempt := "X-Savorystall-Attempt: " + r.Header.Get("X-Savorystall-Attempt") + "\r\nConnection: close\r\n"
					switch {
					case resumed && r.Method == http.MethodPost:
						return streamHead + attempt + "Content-Length: 500\r\n\r\n" + event("1", "data: "+soundData(1)) + "x\n\n"
					case !resumed && r.Method == http.MethodGet:
						return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
					}
					body := soundStream(0, soundEvents) + endMark
					return head.interim + strings.Replace(streamHead, soundStatus, head.status, 1) + attempt + head.line + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
				})
				cfg := shortTimeouts()
				cfg.ResumeWindow = 100 * time.Millisecond
				sink := &chunkRecorder{}
				got := newRunner(t, cfg).Model(t.Context(), modelRequest(address, "x", soundEvents), sink)
				want := 0
				if resumed {
					want = 1
				}
				if got.Failure == nil || got.Outcome != resultcode.MayHaveRun || got.Tokens != want {
					t.Errorf("failure %v, outcome %s; forwarded %d tokens, want %d", got.Failure, got.Outcome, got.Tokens, want)
				}
			})
		}
	}
}

// Guards against a part of an answer that looks complete, where the target answered a long upload at once and reset
// the connection while the upload was still being written.
func TestPartBeforeAResetDuringTheUploadIsNoAnswer(t *testing.T) {
	whole := strings.Repeat("x", 200)
	for name, head := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + whole[:100],
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\n" + whole[:100] + "\r\n",
		"connection": "HTTP/1.1 200 OK\r\n\r\n" + whole[:100],
		"stream":     streamHead + "\r\n" + soundStream(0, 1),
	} {
		t.Run(name, func(t *testing.T) {
			address := slowupload.Serve(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 100))
				_, _ = io.WriteString(conn, head)
				time.Sleep(slowupload.ArrivalTime)
				slowupload.Reset(conn)
			})
			cfg := shortTimeouts()
			cfg.ResumeWindow = 100 * time.Millisecond
			for range 5 {
				runner := newRunner(t, cfg)
				if got := runner.Plain(t.Context(), plainUpload(address, slowupload.UploadBytes, true), httptest.NewRecorder()); got.Failure == nil || got.Outcome != resultcode.MayHaveRun {
					t.Errorf("plain: failure %v, outcome %s", got.Failure, got.Outcome)
				}
				r := modelRequest(address, strings.Repeat("u", slowupload.UploadBytes), soundEvents)
				if got := runner.Model(t.Context(), r, &chunkRecorder{}); got.Failure == nil || got.Outcome != resultcode.MayHaveRun {
					t.Errorf("model: failure %v, outcome %s", got.Failure, got.Outcome)
				}
			}
		})
	}
}
