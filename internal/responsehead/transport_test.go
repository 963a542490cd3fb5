package responsehead_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/test/rawserver"
)

// serveTexts starts a server that answers the requests of each connection with texts in turn, and counts them.
func serveTexts(t *testing.T, texts ...string) (url string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	address := rawserver.Serve(t, func(conn *net.TCPConn) {
		in := bufio.NewReader(conn)
		for _, text := range texts {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			requests.Add(1)
			_, _ = io.WriteString(conn, text)
		}
	})
	return "http://" + address, requests
}

// get returns the body of a response.
func get(c *http.Client, url string) (string, error) {
	response, err := c.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func newClient(t *testing.T, transport *http.Transport) *http.Client {
	c := &http.Client{Transport: responsehead.NewTransport(transport)}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Guards against a request that net/http sends again by itself, as it takes a malformed answer on a kept connection for
// the end of that connection.
func TestRequestIsNotRepeatedAfterAMalformedResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n" + rest
	for _, broken := range []string{"garbage", "HTTP/1.1 000 X\r\n" + rest, "HTTP/1.1 200 OK\r\nA b: c\r\n" + rest, "HTTP/1.1 103 X\r\n A: b\r\n\r\n" + sound} {
		t.Run(broken, func(t *testing.T) {
			is := is.New(t)
			url, requests := serveTexts(t, sound, sound, broken, sound)
			c := newClient(t, &http.Transport{})
			for range 2 {
				body, err := get(c, url)
				is.NoErr(err)
				is.Equal(body, "hi")
			}
			_, err := get(c, url)
			is.True(errors.As(err, new(responsehead.Violation)))
			is.Equal(requests.Load(), int64(3))
			body, err := get(c, url)
			is.NoErr(err) // on a new connection
			is.Equal(body, "hi")
		})
	}
}

// Guards against a body in chunks that ends as complete although a name in its trailer is none.
func TestBodyWithAMalformedTrailerFails(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
	url, _ := serveTexts(t, head+"X-Sum: a\r\n\r\n", head+"X Sum: a\r\n\r\n")
	c := newClient(t, &http.Transport{})
	body, err := get(c, url)
	is.NoErr(err)
	is.Equal(body, "hi")
	_, err = get(c, url)
	is.True(errors.As(err, new(responsehead.Violation)))
}

// Guards against a server that is not reached over TLS, since its encrypted bytes are no head.
func TestTransportPassesTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hi") }))
	defer server.Close()
	c := newClient(t, server.Client().Transport.(*http.Transport).Clone())
	for range 2 {
		body, err := get(c, server.URL)
		is.NoErr(err)
		is.Equal(body, "hi")
	}
}
