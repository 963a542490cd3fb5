package targetconn_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/targetconn"
)

// startRepeating starts a target that rejects all requests on its first connection, and repeats each rejection
// where the next response is expected.
func startRepeating(t *testing.T) *target {
	return serve(t, func(conn *net.TCPConn, in *bufio.Reader, number int) {
		late := ""
		for {
			name, _, err := read(in)
			if err != nil {
				return
			}
			response := responseText(name, "own")
			_, _ = io.WriteString(conn, late)
			late = ""
			if number == 1 {
				response = responseText(name, "rejected")
				late = response
			}
			_, _ = io.WriteString(conn, response)
		}
	})
}

// send sends a request and returns the body of its response.
func send(t *testing.T, p *targetconn.Pool, address string, r targetconn.Request) string {
	t.Helper()
	x, err := p.Do(t.Context(), address, r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(x)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against a late repetition of the response to the first sending of a request that is taken for the
// response to its second sending, also if the target allows no more connections.
func TestRequestIsSentOnceOnEachConnection(t *testing.T) {
	for _, limit := range []int{0, 1, 2} {
		is := is.New(t)
		tg := startRepeating(t)
		p := targetconn.New(targetconn.Config{})
		defer p.Close()
		r := request("a")
		r.History, r.MaxConnections = &targetconn.History{}, limit
		is.Equal(send(t, p, tg.address, r), "rejected")
		is.Equal(send(t, p, tg.address, r), "own")
		is.Equal(tg.opened.Load(), int64(2))
		is.True(limit == 0 || p.ConnectionCount(tg.address) <= limit)
	}
}

// Guards against connections that are lost to other requests because one request was sent on them.
func TestOtherRequestsUseConnectionsOfTheHistory(t *testing.T) {
	is := is.New(t)
	tg := startRepeating(t)
	p := targetconn.New(targetconn.Config{})
	defer p.Close()
	a := request("a")
	a.History = &targetconn.History{}
	is.Equal(send(t, p, tg.address, a), "rejected")
	b := request("b")
	b.History = &targetconn.History{}
	is.Equal(send(t, p, tg.address, b), "rejected") // on the connection of a
	is.Equal(tg.opened.Load(), int64(1))
}

// Guards against more connections than the limit while one of the history is in use.
func TestConnectionInUseIsNotReplaced(t *testing.T) {
	is := is.New(t)
	tg := startRepeating(t)
	p := targetconn.New(targetconn.Config{})
	defer p.Close()
	r := request("a")
	r.History, r.MaxConnections = &targetconn.History{}, 1
	x, err := p.Do(t.Context(), tg.address, r)
	is.NoErr(err)
	_, err = p.Do(t.Context(), tg.address, r)
	is.True(err != nil) // the only connection is in use
	x.Abort()
	is.Equal(send(t, p, tg.address, r), "own")
	is.Equal(p.ConnectionCount(tg.address), 1)
}

// Guards against a connection that is reused although the responses on it do not tell their requests, also after
// all connections to the target were closed for a while.
func TestStopReuseLastsUntilTheTargetRestarts(t *testing.T) {
	is := is.New(t)
	tg, _ := serveCounted(t)
	p := targetconn.New(targetconn.Config{})
	defer p.Close()
	for range 3 {
		send(t, p, tg.address, request("a"))
	}
	is.Equal(tg.opened.Load(), int64(1))
	x, err := p.Do(t.Context(), tg.address, request("a"))
	is.NoErr(err)
	p.StopReuse(tg.address)
	_, err = io.Copy(io.Discard, x)
	is.NoErr(err)
	is.Equal(p.ConnectionCount(tg.address), 0)
	for range 3 {
		send(t, p, tg.address, request("a"))
	}
	is.Equal(tg.opened.Load(), int64(4))
	p.TargetRestarted(tg.address)
	for range 3 {
		send(t, p, tg.address, request("a"))
	}
	is.Equal(tg.opened.Load(), int64(5))
}
