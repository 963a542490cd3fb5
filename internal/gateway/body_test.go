package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/route"
)

// Guards against a caller that announces a large body, sends nothing, and occupies its size.
func TestMemoryOfABodyGrowsAsItArrives(t *testing.T) {
	is := is.New(t)
	const size = 3<<20 + 1
	largest := 0
	_, err := readAll(strings.NewReader("begin"), size, func(n int) { largest = max(largest, n) })
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(largest, maxUnreceivedBody)
	whole := strings.Repeat("0123456789", size/10+1)[:size]
	for _, length := range []int64{size, -1} {
		last := 0
		body, err := readAll(strings.NewReader(whole), length, func(n int) { largest, last = max(largest, n), n })
		is.NoErr(err)
		is.Equal(string(body), whole)
		is.True(last >= size)                                        // a body of unknown length counts as well
		is.True(length < 0 || last == size && largest == 2<<20+size) // the last two buffers exist together
	}
}

// Guards against a refusal that waits for the body of the request: when the callers of another zone come at once, bodies
// queue on the link, and the caller has no time left for another attempt.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for name, prepare := range map[string]func(*Server){
		"pending": func(s *Server) { s.pending.Store(maxPending) },
		"shed":    func(s *Server) { s.ShouldShed = func(context.Context) bool { return true } },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, route.Service{Name: "app"}, true, &fakePlacer{})
			prepare(s)
			server := httptest.NewServer(s)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			began := time.Now()
			_, err = io.WriteString(conn, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nKey: key\r\nContent-Length: 100000\r\n\r\nbegin")
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(began.Add(2 * time.Second)))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.True(time.Since(began) < 400*time.Millisecond) // the objective is 10 ms, the machine may be busy
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Close)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			_, err = io.WriteString(conn, strings.Repeat("x", 100000-len("begin"))) // what is sent meanwhile causes no reset
			is.NoErr(err)
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// Guards against bodies that are kept while a response is relayed although they cannot be sent again, and
// against a fingerprint that changes with the release.
func TestBodyThatCannotBeSentAgainIsReleased(t *testing.T) {
	for _, c := range []struct {
		route    route.Route
		released bool
	}{
		{route.Route{}, true}, {route.Route{Retry: route.Stream}, true}, {route.Route{Retry: route.Stream, Resumable: true}, false},
	} {
		is := is.New(t)
		s := newTestServer(t, route.Service{Name: "s"}, false, &fakePlacer{})
		held := -1
		s.OnBody = func(_ context.Context, _ ident.Workspace, bytes int, _ bool) { held = bytes }
		pr := &proxyRequest{w: httptest.NewRecorder(), inbound: httptest.NewRequest(http.MethodPost, "/a/", nil), route: &c.route, body: make([]byte, 40<<10)}
		before := (&proxyRequest{inbound: pr.inbound, route: pr.route, body: pr.body}).subject()
		s.writeHeader(pr, http.StatusOK, http.Header{}, -1)
		is.Equal(pr.body == nil, c.released)
		is.Equal(held == 0, c.released)
		is.Equal(pr.subject().Fingerprint, before.Fingerprint)
		is.Equal(pr.subject().Filter, before.Filter)
	}
}
