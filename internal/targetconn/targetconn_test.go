package targetconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/targetconn"
)

const nameHeader = "X-Name"

// target is a fake target whose connections are handled by a script.
type target struct {
	address string
	// opened counts the accepted connections.
	opened atomic.Int64
}

// serve starts a target. It calls script for each connection, numbered from 1.
func serve(t *testing.T, script func(conn *net.TCPConn, in *bufio.Reader, number int)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	tg := &target{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			number := int(tg.opened.Add(1))
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn.(*net.TCPConn), bufio.NewReader(conn), number)
			}()
		}
	}()
	return tg
}

// read reads one request from a connection and returns its name and body.
func read(in *bufio.Reader) (name, body string, err error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", "", err
	}
	b, err := io.ReadAll(r.Body)
	return r.Header.Get(nameHeader), string(b), err
}

func responseText(name, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", nameHeader, name, len(body), body)
}

func request(name string) targetconn.Request {
	return targetconn.Request{
		Method: http.MethodPost, RequestTarget: "/x?y=1", Host: "h.example", Header: http.Header{nameHeader: {name}}, Body: []byte("hello"),
		MatchesResponse: func(_ int, h http.Header, _ bool) bool { return h.Get(nameHeader) == name },
	}
}

// call sends a request and returns the response body, or the error of the exchange or of
// reading the body.
func call(t *testing.T, p *targetconn.Pool, address, name string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, address, request(name))
	if err != nil {
		return "", err
	}
	defer x.Abort()
	body, err := io.ReadAll(x)
	return string(body), err
}

func unsent(err error) bool {
	var u *targetconn.UnsentError
	return errors.As(err, &u)
}

func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			name, body, err := read(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, responseText(name, body+" "+name))
		}
	})
	p := targetconn.New(targetconn.Config{})
	for _, name := range []string{"a", "b", "c"} {
		body, err := call(t, p, tg.address, name)
		is.NoErr(err)
		is.Equal(body, "hello "+name)
	}
	is.Equal(tg.opened.Load(), int64(1))
	is.Equal(p.ConnectionCount(tg.address), 1)
	p.CloseIdleExcept(nil)
	is.Equal(p.ConnectionCount(tg.address), 0)
}

// A target sends a second, late response to a request when the next request is already
// on the connection. The next caller must still get its own response.
func TestLateResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for i := 0; ; i++ {
			name, _, err := read(in)
			if err != nil {
				return
			}
			if i == 1 {
				_, _ = io.WriteString(conn, responseText("a", "late"))
			}
			_, _ = io.WriteString(conn, responseText(name, "of "+name))
		}
	})
	p := targetconn.New(targetconn.Config{})
	body, err := call(t, p, tg.address, "a")
	is.NoErr(err)
	is.Equal(body, "of a")
	body, err = call(t, p, tg.address, "b")
	is.NoErr(err)
	is.Equal(body, "of b")
}

// A target sends more bytes than the length of its response. The connection must be
// closed, whether the extra bytes arrive immediately or a moment later.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	for _, wait := range []time.Duration{0, 30 * time.Millisecond} {
		is := is.New(t)
		sent := make(chan struct{})
		tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, number int) {
			name, _, err := read(in)
			if err != nil {
				return
			}
			if number > 1 {
				_, _ = io.WriteString(conn, responseText(name, "clean"))
				return
			}
			first := responseText(name, "one")
			if wait == 0 {
				first += "stray"
			}
			_, _ = io.WriteString(conn, first)
			time.Sleep(wait)
			if wait > 0 {
				_, _ = io.WriteString(conn, responseText("x", "stray"))
			}
			close(sent)
			_, _ = in.ReadByte() // until the connection ends
		})
		p := targetconn.New(targetconn.Config{})
		body, err := call(t, p, tg.address, "a")
		is.NoErr(err)
		is.Equal(body, "one")
		<-sent
		time.Sleep(20 * time.Millisecond) // wait for the bytes to arrive
		body, err = call(t, p, tg.address, "b")
		is.NoErr(err)
		is.Equal(body, "clean")
		is.Equal(tg.opened.Load(), int64(2))
	}
}

// The target has closed an idle connection. A request sent on it would be reported as
// "may have run" although nobody read it. A new connection must be used instead.
func TestClosedConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		name, _, err := read(in)
		if err == nil {
			_, _ = io.WriteString(conn, responseText(name, "ok"))
		}
	})
	p := targetconn.New(targetconn.Config{})
	for _, name := range []string{"a", "b"} {
		body, err := call(t, p, tg.address, name)
		is.NoErr(err)
		is.Equal(body, "ok")
		time.Sleep(20 * time.Millisecond) // wait for the close to arrive
	}
	is.Equal(tg.opened.Load(), int64(2))
}

// A target responds before it has read a large body and reads the rest afterwards. The
// rest must be written to the connection before the next request.
func TestEarlyResponseToLargeBody(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20 // beyond what the sockets hold
	bodies := make(chan int, 2)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, responseText(r.Header.Get(nameHeader), "early"))
			time.Sleep(50 * time.Millisecond)
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			bodies <- int(n)
		}
	})
	p := targetconn.New(targetconn.Config{})
	r := request("a")
	r.Body = []byte(strings.Repeat("x", size))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, tg.address, r)
	is.NoErr(err)
	body, err := io.ReadAll(x)
	is.NoErr(err)
	is.Equal(string(body), "early")
	is.Equal(<-bodies, size) // the whole body and nothing else
	got, err := call(t, p, tg.address, "b")
	is.NoErr(err)
	is.Equal(got, "early")
	is.Equal(<-bodies, len("hello"))
}

// Guards against a connection that is used again although its end is that of the response, and
// against responses of other kinds that are taken for such ones.
func TestWhichResponsesEndWithTheirConnection(t *testing.T) {
	for _, c := range []struct {
		name, head, body string
		want             bool
	}{
		{"neither", "", "text", true},
		{"length", "Content-Length: 4\r\n", "text", false},
		{"length and close", "Content-Length: 4\r\nConnection: close\r\n", "text", false},
		{"chunks", "Transfer-Encoding: chunked\r\n", "4\r\ntext\r\n0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
				name, _, err := read(in)
				if err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", nameHeader, name, c.head, c.body)
				}
			})
			p := targetconn.New(targetconn.Config{})
			defer p.Close()
			x, err := p.Do(t.Context(), tg.address, request("a"))
			is.NoErr(err)
			is.Equal(x.EndsWithConnection(), c.want)
			text, err := io.ReadAll(x)
			is.NoErr(err)
			is.Equal(string(text), "text")
			if c.want {
				is.Equal(p.ConnectionCount(tg.address), 0)
			}
		})
	}
}

// A response without a length ends when the connection is closed. A connection reset
// must be reported as an error.
func TestResetIsNotEndOfBody(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
			if _, _, err := read(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+nameHeader+": a\r\n\r\nhalf")
			time.Sleep(30 * time.Millisecond)
			if reset {
				_ = conn.SetLinger(0)
			}
		})
		body, err := call(t, targetconn.New(targetconn.Config{}), tg.address, "a")
		is.Equal(err != nil, reset)
		if !reset {
			is.Equal(body, "half")
		}
	}
}

// A truncated response must not look complete, whether it has a length or is chunked.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
			if _, _, err := read(in); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+nameHeader+": a\r\n"+head)
			}
		})
		if _, err := call(t, targetconn.New(targetconn.Config{}), tg.address, "a"); err == nil || unsent(err) {
			t.Errorf("%q: error %v", head, err)
		}
	}
}

// A request may have run if the response is not HTTP or does not arrive at all. It has
// not run if nobody listens on the address.
func TestUnsentErrorOnlyIfNothingWasSent(t *testing.T) {
	is := is.New(t)
	garbage := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		if _, _, err := read(in); err == nil {
			_, _ = io.WriteString(conn, "\x00\x01 no answer\r\n\r\n")
		}
	})
	unresponsive := serve(t, func(_ *net.TCPConn, in *bufio.Reader, _ int) { _, _, _ = read(in) })
	p := targetconn.New(targetconn.Config{})
	for _, tg := range []*target{garbage, unresponsive} {
		_, err := call(t, p, tg.address, "a")
		is.True(err != nil)
		is.True(!unsent(err))
		is.Equal(p.ConnectionCount(tg.address), 0) // the connection is not counted any more
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unusedAddress := l.Addr().String()
	is.NoErr(l.Close())
	_, err = call(t, p, unusedAddress, "a")
	is.True(unsent(err))
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		name, _, err := read(in)
		if err != nil {
			return
		}
		<-release
		_, _ = io.WriteString(conn, responseText(name, "ok"))
	})
	p := targetconn.New(targetconn.Config{})
	r := request("a")
	r.MaxConnections = 1
	done := make(chan error, 1)
	go func() {
		x, err := p.Do(t.Context(), tg.address, r)
		if err == nil {
			_, err = io.ReadAll(x)
		}
		done <- err
	}()
	for tg.opened.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := p.Do(t.Context(), tg.address, r)
	is.True(errors.Is(err, targetconn.ErrConnectionLimit))
	is.True(unsent(err))
	close(release)
	is.NoErr(<-done)
}

// A caller disconnects while its request is buffered in the socket, because the target
// does not read and its receive window is full. The target must not receive the rest
// when it continues to read.
func TestCancellationDiscardsUnsentBytes(t *testing.T) {
	is := is.New(t)
	resumeReading := make(chan struct{})
	got := make(chan error, 1)
	tg := serve(t, func(_ *net.TCPConn, in *bufio.Reader, _ int) {
		<-resumeReading
		_, _, err := read(in)
		got <- err
	})
	p := targetconn.New(targetconn.Config{})
	r := request("a")
	r.Body = []byte(strings.Repeat("x", 16<<20))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := p.Do(ctx, tg.address, r)
	is.True(errors.Is(err, context.Canceled))
	close(resumeReading)
	is.True(<-got != nil)
}

// A target specifies its idle timeout in the Keep-Alive header. A connection that it is
// about to close must not be reused.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			name, _, err := read(in)
			if err != nil {
				return
			}
			text := strings.Replace(responseText(name, "ok"), "\r\n", "\r\nKeep-Alive: timeout=2\r\n", 1)
			_, _ = io.WriteString(conn, text)
		}
	})
	now := time.Now()
	p := targetconn.New(targetconn.Config{Now: func() time.Time { return now }})
	for i, wait := range []time.Duration{0, time.Second, 1600 * time.Millisecond} {
		now = now.Add(wait)
		_, err := call(t, p, tg.address, "a")
		is.NoErr(err)
		is.Equal(tg.opened.Load(), []int64{1, 1, 2}[i])
	}
}

// On an overloaded daemon, a goroutine may be scheduled so late that an established
// connection appears to have timed out. The target must not be reported as unreachable.
func TestSchedulingDelayIsNotAConnectFailure(t *testing.T) {
	const schedulingDelay, busyTime = 800 * time.Millisecond, 2 * time.Millisecond
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel completes the handshake
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	former := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(former)
	done, stop := context.WithCancel(t.Context())
	defer stop()
	for range int(schedulingDelay / busyTime) {
		go func() {
			for done.Err() == nil {
				for end := time.Now().Add(busyTime); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	runtime.Gosched()
	r := request("a")
	r.CallerGone = func() bool { return true } // called once it is connected
	_, err = targetconn.New(targetconn.Config{}).Do(t.Context(), l.Addr().String(), r)
	is.True(errors.Is(err, targetconn.ErrCallerGone))
}

// Guards against a response that is cut because its target reads the request's body late: it
// may respond first, and for as long as its receive window is full nothing of the body is
// acknowledged although the target is sound.
func TestResponseOfTargetThatReadsBodyLateIsComplete(t *testing.T) {
	const events, interval, userTimeout = 5, 250 * time.Millisecond, 400 * time.Millisecond
	is := is.New(t)
	body := strings.Repeat("x", 4<<20)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Name: late\r\nContent-Length: 5\r\n\r\n")
		for range events {
			_, _ = io.WriteString(conn, "x")
			time.Sleep(interval)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	pool := targetconn.New(targetconn.Config{UserTimeout: userTimeout})
	t.Cleanup(pool.Close)
	r := request("late")
	r.Body = []byte(body)
	started := time.Now()
	x, err := pool.Do(t.Context(), tg.address, r)
	is.NoErr(err)
	text, err := io.ReadAll(x)
	t.Logf("%d of %d bytes after %v: %v", len(text), events, time.Since(started), err)
	is.NoErr(err)
	is.Equal(len(text), events)
}
