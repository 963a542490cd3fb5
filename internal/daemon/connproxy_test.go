package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/savorystall/savorystall/internal/dialing"
	"github.com/savorystall/savorystall/test/slowupload"
)

// startScriptedNeighbour starts a fake neighbour that accepts each forwarded connection and
// then calls serve.
func startScriptedNeighbour(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(acceptMessage(0))
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// waitEnded reports whether no connection is being forwarded any more within the timeout.
func (s *overloadedDaemon) waitEnded(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.forwarder.wait(ctx)
	return s.forwarder.active.Load() == 0
}

// A caller whose first bytes arrive just after its neighbour closed must not keep the proxy
// running for as long as it keeps its connection open.
func TestProxyEndsWhenNeighbourClosesFirst(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, startScriptedNeighbour(t, func(conn net.Conn) {
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
	}))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.True(s.waitEnded(4 * time.Second))
}

// A caller that stops reading its answer must not keep the proxy running once its neighbour
// has ended.
func TestProxyEndsWhenCallerStopsReading(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, startScriptedNeighbour(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1000))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
		_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second)) // the write timeout of the neighbour
		n, err := conn.Write(make([]byte, 100000000))
		t.Log("neighbour wrote", n, err)
		_ = conn.Close()
	}))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(4 * time.Second)
	t.Log("passed", s.forwarder.forwarded.Load(), "active", s.forwarder.active.Load())
	is.True(s.waitEnded(8 * time.Second))
}

// A caller that sends its next request before the first answer must get the first answer
// completely.
func TestPipeliningCallerGetsFirstAnswer(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded=%v", forwarded), func(t *testing.T) {
			is := is.New(t)
			const size = 8 << 20
			n := newTestNeighbour(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(size))
				_, _ = w.Write(make([]byte, size))
			})
			s := newOverloadedDaemon(t, n.address)
			if !forwarded {
				s.handler.Store(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", fmt.Sprint(size))
					_, _ = w.Write(make([]byte, size))
				}))
				s.monitor.shedPermille.Store(0)
			}
			conn, err := net.Dial("tcp", s.address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000)
			_, err = io.WriteString(conn, request+request)
			is.NoErr(err)
			time.Sleep(300 * time.Millisecond)
			w, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			body, err := io.ReadAll(w.Body)
			is.NoErr(err)
			is.Equal(len(body), size)
		})
	}
}

// A neighbour that was lost before it acknowledged sent data must be detected within
// seconds, not after the retransmissions of the kernel; keep-alive probes are not sent
// while data is unacknowledged.
func TestConnectionToNeighbourHasUserTimeout(t *testing.T) {
	is := is.New(t)
	conn, err := offerConn(startScriptedNeighbour(t, func(net.Conn) {}), 0)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.SyscallConn()
	is.NoErr(err)
	var ms int
	is.NoErr(raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	is.NoErr(err)
	is.True(ms > 0)
}

// A neighbour that fails after "100 Continue" still owes an answer.
func TestContinueIsNotAnAnswer(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, startScriptedNeighbour(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.ReadAll(r.Body)
		_ = conn.Close() // ends without an answer
	}))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	is.NoErr(err)
	w, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(w.StatusCode, 100)
	_, err = io.WriteString(conn, "abc")
	is.NoErr(err)
	w, err = http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(w.StatusCode, 502)
}

// Guards against sending a second answer to a caller whose first one arrived together with
// "100 Continue".
func TestAnswerDirectlyAfterContinueIsTheOnlyOne(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, startScriptedNeighbour(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = conn.Close()
	}))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc")
	is.NoErr(err)
	text, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(text), "\r\n\r\nok"))
}

// A caller that resets its connection during a stream must not count as a failure of the
// neighbour.
func TestCallerResetDoesNotCountAsLostNeighbour(t *testing.T) {
	is := is.New(t)
	s := newOverloadedDaemon(t, newTestNeighbour(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "event\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}).address)
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 10))
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(conn.Close())
	is.True(s.waitEnded(4 * time.Second))
	is.Equal(s.forwarder.lost.Load(), int64(0))
}

// A request that arrived while the VM was paused must be read when the VM resumes, even
// past the deadline.
func TestRequestWaitingPastDeadlineIsForwarded(t *testing.T) {
	is := is.New(t)
	caller, accepted := tcpPair(t)
	acceptedTCP := accepted.(*net.TCPConn)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	toNeighbour, neighbour := tcpPair(t)
	var received atomic.Bool
	go func() {
		_, err := neighbour.Read(make([]byte, 100))
		received.Store(err == nil)
		_ = neighbour.Close()
	}()
	_ = acceptedTCP.SetReadDeadline(time.Now().Add(-time.Second)) // as on a VM that resumes after firstRequestTimeout
	p := connProxy{caller: newTrackedConn(acceptedTCP), neighbour: dialing.NewConn(toNeighbour.(*net.TCPConn))}
	go p.copyRequest()
	time.Sleep(100 * time.Millisecond)
	is.True(received.Load())
}

func tcpPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

// Guards against a front that drops the rest of an answer when the neighbour that has sent it stops:
// on a daemon with a high scheduling latency, or before a caller that reads slowly, part of the
// answer is still unread when the neighbour is known to be gone.
func TestAnswerOfStoppedNeighbourIsDelivered(t *testing.T) {
	const size, bufferSize = 100 << 10, 8 << 10
	is := is.New(t)
	sent := make(chan error, 1)
	s := newOverloadedDaemon(t, startScriptedNeighbour(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1000))
		_, err := io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", size, strings.Repeat("x", size)))
		_ = conn.Close()
		sent <- err
	}))
	setSendBuffer(t, s.listener, bufferSize)
	caller, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	is.NoErr(caller.(*net.TCPConn).SetReadBuffer(bufferSize)) // most of the answer waits in the front's kernel
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.NoErr(<-sent)
	time.Sleep(50 * time.Millisecond) // until the close has reached the front
	s.forwarder.setNeighbours(nil, nil)
	w, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	body, err := io.ReadAll(w.Body)
	is.NoErr(err)
	is.Equal(len(body), size)
}

// Guards against a part of an answer that ends in order at the caller, though the neighbour that sent it was
// lost while the caller's upload was still being written to it.
func TestPartOfALostNeighboursAnswerDoesNotEndInOrder(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe who"
	is := is.New(t)
	s := newOverloadedDaemon(t, slowupload.Serve(t, func(conn *net.TCPConn) {
		_, _ = conn.Write(acceptMessage(0))
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, part)
		time.Sleep(slowupload.ArrivalTime)
		slowupload.Reset(conn)
	}))
	for range 30 {
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		caller := dialing.NewConn(conn.(*net.TCPConn))
		_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
		go func() {
			_, _ = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n")
			_, _ = caller.Write(make([]byte, slowupload.UploadBytes))
		}()
		got, err := io.ReadAll(caller)
		is.NoErr(caller.Close())
		is.True(strings.HasPrefix(part, string(got)))
		is.True(err != nil) // it has ended openly
	}
}

// setSendBuffer limits the send buffers of the connections that a listener accepts.
func setSendBuffer(t *testing.T, l *drainableListener, size int) {
	t.Helper()
	is := is.New(t)
	raw, err := l.SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		is.NoErr(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size))
	}))
}
