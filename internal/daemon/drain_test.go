package daemon

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/settings"
)

const plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// testServers are the caller-facing servers of a daemon whose accept loops pause after each
// accepted connection.
type testServers struct {
	*routedServers
	forwarder *connForwarder
	loops     acceptLoops
}

func newTestServers(t *testing.T, acceptDelay time.Duration) *testServers {
	t.Helper()
	is := is.New(t)
	monitor := newLoadMonitor(settings.Defaults())
	monitor.shedPermille.Store(shedScale)
	servers := &testServers{
		routedServers: &routedServers{connections: newConnTracker(0)},
		forwarder:     newTestForwarder(t, settings.Defaults(), monitor, newRefusingNeighbour(t)),
	}
	var err error
	servers.callersListener, err = listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	servers.forwardedListener, err = listenForwarded(settings.Fleet{Handover: "127.0.0.1:0"}, func() bool { return true }, func() uint64 { return 0 })
	is.NoErr(err)
	servers.callers = &http.Server{
		Handler:     withConnectionHeaders(time.Minute, func() bool { return false }, http.HandlerFunc(echo)),
		ConnContext: withConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				time.Sleep(acceptDelay)
			}
			servers.connections.track(c, state)
		},
	}
	t.Cleanup(func() { _ = servers.callers.Close() })
	serve := func(l net.Listener) <-chan struct{} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = servers.callers.Serve(l)
		}()
		return done
	}
	servers.loops = acceptLoops{callers: serve(servers.callersListener), forwarded: serve(servers.forwardedListener), returned: serve(servers.forwarder.returned)}
	return servers
}

func newRefusingNeighbour(t *testing.T) (address string) {
	n := newTestNeighbour(t, echo)
	n.busy.Store(true)
	return n.address
}

// requireResponse fails the test unless a response arrives on the connection.
func requireResponse(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = response.Body.Close()
}

// Guards against a graceful shutdown, on a VM with a high scheduling latency, that closes
// a connection forwarded by a neighbour without an answer after reading its request,
// because the server had not registered the connection yet.
func TestShutdownAnswersConnectionForwardedJustBefore(t *testing.T) {
	is := is.New(t)
	const acceptDelay = 300 * time.Millisecond
	servers := newTestServers(t, acceptDelay)
	conn, err := net.Dial("tcp", servers.forwardedListener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.ReadFull(conn, make([]byte, acceptMessageSize)) // the connection is accepted
	is.NoErr(err)
	_, err = io.WriteString(conn, plainRequest)
	is.NoErr(err)
	go servers.drain(context.Background(), servers.forwarder, servers.loops)
	requireResponse(t, conn)
}

// Guards against a graceful shutdown, on a VM with a high scheduling latency, that closes
// a connection that no neighbour accepted without an answer after reading its request.
func TestShutdownAnswersConnectionReturnedJustBefore(t *testing.T) {
	is := is.New(t)
	const acceptDelay = 300 * time.Millisecond
	servers := newTestServers(t, acceptDelay)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err := l.Accept()
	is.NoErr(err)
	_, err = io.WriteString(caller, plainRequest)
	is.NoErr(err)
	is.True(servers.forwarder.tryForward(newTrackedConn(accepted.(*net.TCPConn))))
	for end := time.Now().Add(5 * time.Second); servers.forwarder.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the neighbour has refused it
	}
	go servers.drain(context.Background(), servers.forwarder, servers.loops)
	requireResponse(t, caller)
}

// Guards against a graceful shutdown that hangs without logging what it waits for.
func TestShutdownLogsWhatItWaitsFor(t *testing.T) {
	is := is.New(t)
	servers := newTestServers(t, 0)
	conn, err := net.Dial("tcp", servers.callersListener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	for end := time.Now().Add(5 * time.Second); servers.connections.usage().pending == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lines := make(chan string, 1)
	go servers.logDrainProgress(ctx, time.Millisecond, servers.forwarder, slog.New(slog.NewJSONHandler(firstLineWriter(lines), nil)))
	line := <-lines
	cancel()
	is.True(strings.Contains(line, `"event":107,"with_request":0,"without_request":1,"closing":0,"passed_on":0`))
}

// firstLineWriter is a log output that keeps only the first line.
type firstLineWriter chan string

// Write implements io.Writer.
func (c firstLineWriter) Write(line []byte) (int, error) {
	select {
	case c <- string(line):
	default:
	}
	return len(line), nil
}
