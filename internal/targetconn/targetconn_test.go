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

// target is a stand-in whose connections are served by a script.
type target struct {
	address string
	// opened counts the connections.
	opened atomic.Int64
}

// serve starts a target; script gets each connection and its number from 1 on.
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

// read takes one request off a connection and returns its name and body.
func read(in *bufio.Reader) (name, body string, err error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", "", err
	}
	b, err := io.ReadAll(r.Body)
	return r.Header.Get(nameHeader), string(b), err
}

func answer(name, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", nameHeader, name, len(body), body)
}

func request(name string) targetconn.Request {
	return targetconn.Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h.example", Header: http.Header{nameHeader: {name}}, Body: []byte("hello"),
		Mine: func(_ int, h http.Header) bool { return h.Get(nameHeader) == name },
	}
}

// call returns the body of the answer and the error of the exchange or the reading.
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
	var u *targetconn.Unsent
	return errors.As(err, &u)
}

func TestConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			name, body, err := read(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer(name, body+" "+name))
		}
	})
	p := targetconn.New(targetconn.Config{})
	for _, name := range []string{"a", "b", "c"} {
		body, err := call(t, p, tg.address, name)
		is.NoErr(err)
		is.Equal(body, "hello "+name)
	}
	is.Equal(tg.opened.Load(), int64(1))
	is.Equal(p.Open(tg.address), 1)
	p.Retain(nil)
	is.Equal(p.Open(tg.address), 0)
}

// A target that gave up on a request answers it after all, when the next one is due
// on the connection. The next caller must get its own answer.
func TestALateAnswerIsNotTheNextOne(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for i := 0; ; i++ {
			name, _, err := read(in)
			if err != nil {
				return
			}
			if i == 1 {
				_, _ = io.WriteString(conn, answer("a", "late"))
			}
			_, _ = io.WriteString(conn, answer(name, "of "+name))
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

// A target sends more than its answer's length. What is too much belongs to nobody:
// the connection is dropped, whether the bytes come at once or a moment later.
func TestStrayBytesEndTheConnection(t *testing.T) {
	for _, wait := range []time.Duration{0, 30 * time.Millisecond} {
		is := is.New(t)
		sent := make(chan struct{})
		tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, number int) {
			name, _, err := read(in)
			if err != nil {
				return
			}
			if number > 1 {
				_, _ = io.WriteString(conn, answer(name, "clean"))
				return
			}
			first := answer(name, "one")
			if wait == 0 {
				first += "stray"
			}
			_, _ = io.WriteString(conn, first)
			time.Sleep(wait)
			if wait > 0 {
				_, _ = io.WriteString(conn, answer("x", "stray"))
			}
			close(sent)
			_, _ = in.ReadByte() // until the connection ends
		})
		p := targetconn.New(targetconn.Config{})
		body, err := call(t, p, tg.address, "a")
		is.NoErr(err)
		is.Equal(body, "one")
		<-sent
		time.Sleep(20 * time.Millisecond) // for the bytes to arrive
		body, err = call(t, p, tg.address, "b")
		is.NoErr(err)
		is.Equal(body, "clean")
		is.Equal(tg.opened.Load(), int64(2))
	}
}

// The target has closed an unused connection. A request sent on it would end as "may
// have run" although nobody read it; a new connection is taken instead.
func TestAClosedConnectionIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		name, _, err := read(in)
		if err == nil {
			_, _ = io.WriteString(conn, answer(name, "ok"))
		}
	})
	p := targetconn.New(targetconn.Config{})
	for _, name := range []string{"a", "b"} {
		body, err := call(t, p, tg.address, name)
		is.NoErr(err)
		is.Equal(body, "ok")
		time.Sleep(20 * time.Millisecond) // for the close to arrive
	}
	is.Equal(tg.opened.Load(), int64(2))
}

// A target answers before it has read a long body and reads the rest afterwards. The
// rest is due on the connection before anything else.
func TestAnEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20 // beyond what the sockets hold
	bodies := make(chan int, 2)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer(r.Header.Get(nameHeader), "early"))
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
	is.Equal(<-bodies, size) // all of the body and nothing else
	got, err := call(t, p, tg.address, "b")
	is.NoErr(err)
	is.Equal(got, "early")
	is.Equal(<-bodies, len("hello"))
}

// An answer without a length ends with its connection. A reset is not its end.
func TestAResetIsNoEnd(t *testing.T) {
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

// A truncated answer must not look complete, with a length or in chunks.
func TestATruncatedAnswerIsAnError(t *testing.T) {
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

// What is no HTTP, and no answer at all, may both have run; an address that nobody
// listens on has not.
func TestWhatMayHaveRun(t *testing.T) {
	is := is.New(t)
	garbage := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		if _, _, err := read(in); err == nil {
			_, _ = io.WriteString(conn, "\x00\x01 no answer\r\n\r\n")
		}
	})
	mute := serve(t, func(_ *net.TCPConn, in *bufio.Reader, _ int) { _, _, _ = read(in) })
	p := targetconn.New(targetconn.Config{})
	for _, tg := range []*target{garbage, mute} {
		_, err := call(t, p, tg.address, "a")
		is.True(err != nil)
		is.True(!unsent(err))
		is.Equal(p.Open(tg.address), 0) // its place is free again
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	nobody := l.Addr().String()
	is.NoErr(l.Close())
	_, err = call(t, p, nobody, "a")
	is.True(unsent(err))
}

func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		name, _, err := read(in)
		if err != nil {
			return
		}
		<-release
		_, _ = io.WriteString(conn, answer(name, "ok"))
	})
	p := targetconn.New(targetconn.Config{})
	r := request("a")
	r.Connections = 1
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
	is.True(errors.Is(err, targetconn.ErrFull))
	is.True(unsent(err))
	close(release)
	is.NoErr(<-done)
}

// A caller leaves while its request waits in the socket, behind the full window of a
// target that does not read. The target must not get the rest of it when it reads on.
func TestACallerThatLeavesTakesItsRequestAlong(t *testing.T) {
	is := is.New(t)
	readOn := make(chan struct{})
	got := make(chan error, 1)
	tg := serve(t, func(_ *net.TCPConn, in *bufio.Reader, _ int) {
		<-readOn
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
	close(readOn)
	is.True(<-got != nil)
}

// A target says how long it keeps unused connections. One that it is about to close
// is not used any more.
func TestTheTargetsKeepAliveIsRespected(t *testing.T) {
	is := is.New(t)
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			name, _, err := read(in)
			if err != nil {
				return
			}
			text := strings.Replace(answer(name, "ok"), "\r\n", "\r\nKeep-Alive: timeout=2\r\n", 1)
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

// On a daemon short of processor time a request waits for a second between the decision
// where it goes and its connection. Its caller leaves meanwhile, and the engine would work
// for nobody. It must not be sent; the connection serves the next one.
func TestAnAbandonedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
		for {
			name, _, err := read(in)
			if err != nil {
				return
			}
			ran.Add(1)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", nameHeader, name)
		}
	})
	pool := targetconn.New(targetconn.Config{})
	t.Cleanup(pool.Close)
	request := targetconn.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
	request.Abandoned = func() bool { return true }
	_, err := pool.Do(t.Context(), tg.address, request)
	var unsent *targetconn.Unsent
	is.True(errors.As(err, &unsent))
	is.True(errors.Is(err, targetconn.ErrAbandoned))

	request.Abandoned = func() bool { return false }
	x, err := pool.Do(t.Context(), tg.address, request)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, x)
	is.NoErr(err)
	is.Equal(ran.Load(), int64(1))
	is.Equal(tg.opened.Load(), int64(1))
}

// A daemon whose turns take long takes a target that it has reached for one that can't be reached.
func TestAConnectionThatWaitsForATurnIsNotTakenForAFailure(t *testing.T) {
	const turn, busy = 800 * time.Millisecond, 2 * time.Millisecond
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel connects
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	former := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(former)
	done, end := context.WithCancel(t.Context())
	defer end()
	for range int(turn / busy) {
		go func() {
			for done.Err() == nil {
				for end := time.Now().Add(busy); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		}()
	}
	runtime.Gosched()
	r := request("a")
	r.Abandoned = func() bool { return true } // asked once it is connected
	_, err = targetconn.New(targetconn.Config{}).Do(t.Context(), l.Addr().String(), r)
	is.True(errors.Is(err, targetconn.ErrAbandoned))
}
