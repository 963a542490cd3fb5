package daemon

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/telemetry"
	"github.com/savorystall/savorystall/test/logbuffer"
)

// eventLines returns the lines of an event that have been written so far; those of event 207
// without all but their counts.
func eventLines(t *testing.T, log *logbuffer.Buffer, number float64) (lines []map[string]any) {
	t.Helper()
	for line := range strings.Lines(log.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		switch {
		case fields["event"] != number:
		case number == 207:
			lines = append(lines, fields["connections"].(map[string]any))
		default:
			lines = append(lines, fields)
		}
	}
	return lines
}

// endTest is a server whose connections' ends are recorded.
type endTest struct {
	address string
	conns   *connTracker
	log     *logbuffer.Buffer
	metrics *telemetry.Metrics
}

func newEndTest(t *testing.T, handler http.HandlerFunc) *endTest {
	t.Helper()
	is := is.New(t)
	e := &endTest{conns: newConnTracker(0), log: &logbuffer.Buffer{}, metrics: telemetry.NewMetrics()}
	e.conns.ends = newEndRecorder(e.metrics, slog.New(slog.NewJSONHandler(e.log, nil)))
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	e.address = l.Addr().String()
	server := &http.Server{Handler: countRequests(trackRequests(handler)), ConnState: e.conns.track, ConnContext: withConn, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(newRateLimitedListener(l, func() rate.Limit { return 0 }, nil)) }()
	t.Cleanup(func() { _ = server.Close() })
	return e
}

// counters returns the lines of the counter of unanswered connections. It closes the
// metrics, which reports them.
func (e *endTest) counters(t *testing.T) (lines []string) {
	t.Helper()
	is.New(t).NoErr(e.metrics.Close())
	w := httptest.NewRecorder()
	e.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, "savorystall_connections_unanswered") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// endCaller is a caller of an endTest.
type endCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (e *endTest) dial(t *testing.T) *endCaller {
	t.Helper()
	conn, err := net.Dial("tcp", e.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return &endCaller{conn, bufio.NewReader(conn)}
}

func (c *endCaller) send(t *testing.T, path string) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	is.New(t).NoErr(err)
}

// receive reads one response.
func (c *endCaller) receive() (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Guards against a connection that is closed without a response to its request and leaves no
// trace: the daemon then looks as if nothing had happened, whatever closed it.
func TestUnansweredConnectionIsRecordedWithItsCause(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{})
	e := newEndTest(t, func(w http.ResponseWriter, r *http.Request) {
		abort := func(sent bool) {
			noteAborted(r.Context(), gateway.AbortedRequest{AttemptID: r.URL.Path, Sent: sent, Failure: resultcode.Fail(resultcode.CallerGone, "")})
			panic(http.ErrAbortHandler)
		}
		switch r.URL.Path {
		case "/sent":
			abort(true)
		case "/unsent":
			abort(false)
		case "/begun":
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			abort(true)
		case "/panic":
			panic(http.ErrAbortHandler)
		case "/gone":
			<-r.Context().Done()
			close(held)
			abort(true)
		}
		_, _ = io.WriteString(w, "hello")
	})
	for _, path := range []string{"/sent", "/unsent", "/begun", "/panic"} {
		c := e.dial(t)
		c.send(t, "/")
		text, err := c.receive()
		is.NoErr(err)
		is.Equal(text, "hello")
		c.send(t, path)
		_, err = c.receive()
		is.True(err != nil)
	}
	gone := e.dial(t)
	gone.send(t, "/gone")
	is.NoErr(gone.Close())
	<-held
	answered := e.dial(t)
	answered.send(t, "/")
	_, err := answered.receive()
	is.NoErr(err)
	is.NoErr(answered.Close())
	for end := time.Now().Add(5 * time.Second); e.conns.countOpen() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	type record struct {
		cause, progress any
		answered        any
	}
	var got []record
	for _, line := range eventLines(t, e.log, 206) {
		got = append(got, record{line["cause"], line["progress"], line["answered"]})
	}
	is.Equal(got, []record{
		{"canceled", "sent", 1.0}, {"canceled", "read", 1.0}, {"response_aborted", "sent", 1.0}, {"panic", "read", 1.0},
	}) // neither the caller that left nor the one that was answered
	e.conns.ends.logReport()
	e.conns.ends.logReport() // nothing since
	is.Equal(eventLines(t, e.log, 207), []map[string]any{{"canceled/sent/kept": 1.0, "canceled/read/kept": 1.0, "response_aborted/sent/kept": 1.0, "panic/read/kept": 1.0, "caller_gone/sent": 1.0}})
	is.Equal(e.counters(t), []string{
		`savorystall_connections_unanswered{cause="caller_gone",kept="false",progress="sent"} 1`,
		`savorystall_connections_unanswered{cause="canceled",kept="true",progress="read"} 1`,
		`savorystall_connections_unanswered{cause="canceled",kept="true",progress="sent"} 1`,
		`savorystall_connections_unanswered{cause="panic",kept="true",progress="read"} 1`,
		`savorystall_connections_unanswered{cause="response_aborted",kept="true",progress="sent"} 1`,
	})
}

// Guards against a close of an idle connection that is recorded under a wrong cause, or for a
// caller that sent nothing: requests that cross the close could not be told from faults.
func TestRequestCrossingCloseIsRecordedWithTheReasonOfTheClose(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(c *trackedConn)
		// first reports that prepare is called before the caller sends.
		first bool
		sends string
		// reads is how many bytes the daemon has read before it closes the connection.
		reads           int
		leaves          bool
		cause, progress any
	}{
		{name: "shutdown", prepare: func(c *trackedConn) { c.closeIfIdle(endShutdown) }, sends: "GET", cause: "shutdown", progress: "unread"},
		{name: "limit", prepare: func(c *trackedConn) { c.closeIfIdle(endConnectionLimit) }, sends: "GET", cause: "connection_limit", progress: "unread"},
		{name: "idle", prepare: func(c *trackedConn) { _ = c.SetReadDeadline(time.Now()); _, _ = c.Read(make([]byte, 1)) }, first: true, sends: "GET", cause: "idle_timeout", progress: "unread"},
		{name: "server", prepare: func(*trackedConn) {}, sends: "GET", cause: "shutdown", progress: "unread"},
		{name: "part", prepare: func(c *trackedConn) { _ = c.SetReadDeadline(time.Now()); _, _ = c.Read(make([]byte, 1)) }, sends: "GET", reads: 3, cause: "time_limit", progress: "begun"},
		{name: "nothing sent", prepare: func(c *trackedConn) { c.closeIfIdle(endShutdown) }},
		{name: "left", prepare: func(c *trackedConn) { _, _ = c.Read(make([]byte, 1)) }, leaves: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, conn := acceptCaller(t)
			log := &logbuffer.Buffer{}
			conns := newConnTracker(0)
			conns.ends = newEndRecorder(telemetry.NewMetrics(), slog.New(slog.NewJSONHandler(log, nil)))
			conns.track(conn, http.StateNew)
			if test.first {
				test.prepare(conn)
			}
			_, err := io.WriteString(caller, test.sends)
			is.NoErr(err)
			if test.sends != "" {
				for end := time.Now().Add(5 * time.Second); !hasUnreadData(conn) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
			if test.reads > 0 {
				_, err := io.ReadFull(conn, make([]byte, test.reads))
				is.NoErr(err)
			}
			if test.leaves {
				is.NoErr(caller.Close())
			}
			if !test.first {
				test.prepare(conn)
			}
			is.NoErr(conn.Close())
			lines := eventLines(t, log, 206)
			if test.cause == nil {
				is.Equal(len(lines), 0)
				return
			}
			is.Equal(len(lines), 1)
			is.Equal(lines[0]["cause"], test.cause)
			is.Equal(lines[0]["progress"], test.progress)
		})
	}
}

// Guards against a log that is flooded when many connections end at once.
func TestLinesOfUnansweredConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	log := &logbuffer.Buffer{}
	r := newEndRecorder(telemetry.NewMetrics(), slog.New(slog.NewJSONHandler(log, nil)))
	r.limiter = logging.NewRateLimiter(1)
	for range 100 {
		r.record(unansweredEnd{cause: endCanceled, progress: progressSent, caller: &net.TCPAddr{}})
	}
	is.True(len(eventLines(t, log, 206)) <= 2)
}
