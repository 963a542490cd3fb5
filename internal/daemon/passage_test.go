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
)

// script stands in for a neighbour that marks each connection and then does what it is told.
func script(t *testing.T, serve func(net.Conn)) string {
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
			_, _ = conn.Write(markOf(0))
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// ends tells whether nothing is passed on any more within so long.
func (s *starved) ends(within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	s.handovers.settle(ctx)
	return s.handovers.active.Load() == 0
}

// A caller whose first bytes come just after its neighbour closed must not hold the passage
// for as long as it keeps its connection.
func TestAPassageWhoseNeighbourClosedFirstEnds(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, script(t, func(conn net.Conn) {
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
	}))
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.True(s.ends(4 * time.Second))
}

// A caller that takes no more of its answer must not hold the passage once its neighbour ended.
func TestAPassageWhoseCallerReadsNothingEnds(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, script(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1000))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
		_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second)) // the bound of the neighbour
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
	t.Log("passed", s.handovers.passed.Load(), "active", s.handovers.active.Load())
	is.True(s.ends(8 * time.Second))
}

// A caller that sends its next request before the first answer gets the first answer whole.
func TestACallerThatPipelinesGetsItsFirstAnswer(t *testing.T) {
	for _, hop := range []bool{false, true} {
		t.Run(fmt.Sprintf("hop=%v", hop), func(t *testing.T) {
			is := is.New(t)
			const size = 8 << 20
			n := newNeighbour(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(size))
				_, _ = w.Write(make([]byte, size))
			})
			s := newStarved(t, n.address)
			if !hop {
				s.handler.Store(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", fmt.Sprint(size))
					_, _ = w.Write(make([]byte, size))
				}))
				s.load.shed.Store(0)
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

// A neighbour that was lost before it acknowledged what was sent is found in seconds, not by
// the kernel's retransmissions: keep-alive says nothing while bytes are under way.
func TestAHopThatGoesSilentWithBytesUnderWayIsFound(t *testing.T) {
	is := is.New(t)
	conn, err := takeover(script(t, func(net.Conn) {}), 0)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.SyscallConn()
	is.NoErr(err)
	var ms int
	is.NoErr(raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	is.NoErr(err)
	is.True(ms > 0)
}

// A neighbour that breaks after it said "100 Continue" owes an answer.
func TestAContinueIsNoAnswer(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, script(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.ReadAll(r.Body)
		_ = conn.Close() // dies
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

// Guards against a second answer to a caller whose first one came together with "100 Continue".
func TestAnAnswerRightBehindAContinueIsTheOnlyOne(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, script(t, func(conn net.Conn) {
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

// A caller that leaves a stream rudely is no fault of the neighbour.
func TestACallerThatResetsIsNoLostNeighbour(t *testing.T) {
	is := is.New(t)
	s := newStarved(t, newNeighbour(t, func(w http.ResponseWriter, r *http.Request) {
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
	is.True(s.ends(4 * time.Second))
	is.Equal(s.handovers.lost.Load(), int64(0))
}

// A request that came while the VM stood still is read when it wakes, past the deadline.
func TestARequestThatWaitedPastTheDeadlineIsPassedOn(t *testing.T) {
	is := is.New(t)
	a, b := tcpPair(t)
	fd := b.(*net.TCPConn)
	_, err := io.WriteString(a, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	hop, far := tcpPair(t)
	var asked atomic.Bool
	go func() {
		_, err := far.Read(make([]byte, 100))
		asked.Store(err == nil)
		_ = far.Close()
	}()
	_ = fd.SetReadDeadline(time.Now().Add(-time.Second)) // what a VM finds that wakes after firstRequest
	p := passage{caller: newReadingConn(fd), neighbour: hop.(*net.TCPConn)}
	go p.ask()
	time.Sleep(100 * time.Millisecond)
	is.True(asked.Load())
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
