package targetconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/targetconn"
)

// Guards against bytes of one response that become part of another, and against a body whose end is
// ambiguous: each framing either gives exactly the body or an error, and what is behind the body is
// never the next response.
func TestBytesBehindAResponseBelongToNoResponse(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n"
	stray := responseText("b", "stray") // as if it were the response to the next request
	for name, c := range map[string]struct {
		// head and body follow the name of the first request in its response.
		head, body string
		// want is the body that the caller of the first request gets.
		want string
		// failed is set if that caller gets an error.
		failed bool
		// reused is set if the connection serves the next request.
		reused bool
	}{
		"length":                        {"Content-Length: 3\r\n", "one", "one", false, true},
		"length, response behind":       {"Content-Length: 3\r\n", "one" + stray, "one", false, false},
		"length, words behind":          {"Content-Length: 3\r\n", "one two", "one", false, false},
		"length, line end behind":       {"Content-Length: 3\r\n", "one\r\n", "one", false, false},
		"length zero, response behind":  {"Content-Length: 0\r\n", stray, "", false, false},
		"equal lengths":                 {"Content-Length: 3\r\nContent-Length: 3\r\n", "one", "one", false, true},
		"two lengths":                   {"Content-Length: 3\r\nContent-Length: 9\r\n", "one" + stray, "", true, false},
		"two lengths in a line":         {"Content-Length: 3, 9\r\n", "one" + stray, "", true, false},
		"negative length":               {"Content-Length: -3\r\n", "one" + stray, "", true, false},
		"length with a sign":            {"Content-Length: +3\r\n", "one" + stray, "", true, false},
		"length is a word":              {"Content-Length: three\r\n", "one" + stray, "", true, false},
		"chunks":                        {chunks, "3\r\none\r\n0\r\n\r\n", "one", false, true},
		"chunks, response behind":       {chunks, "3\r\none\r\n0\r\n\r\n" + stray, "one", false, false},
		"chunks, words behind":          {chunks, "3\r\none\r\n0\r\n\r\nwords", "one", false, false},
		"chunks, response between":      {chunks, "3\r\none\r\n" + stray + "0\r\n\r\n", "one", true, false},
		"chunks, response in the chunk": {chunks, "3\r\none" + stray + "0\r\n\r\n", "one", true, false},
		"chunks, size is a word":        {chunks, "three\r\none\r\n0\r\n\r\n", "", true, false},
		"chunks, negative size":         {chunks, "-3\r\none\r\n0\r\n\r\n", "", true, false},
		"trailer":                       {chunks + "Trailer: X-End\r\n", "3\r\none\r\n0\r\nX-End: 1\r\n\r\n", "one", false, true},
		"trailer not announced":         {chunks, "3\r\none\r\n0\r\nX-End: 1\r\n\r\n", "one", false, true},
		"trailer, response behind":      {chunks, "3\r\none\r\n0\r\nX-End: 1\r\n\r\n" + stray, "one", false, false},
		"trailer is a response":         {chunks, "3\r\none\r\n0\r\n" + stray, "one", true, false},
		// Chunks override a length (RFC 9112, section 6.3), so that the end is still exact.
		"length and chunks":              {"Content-Length: 3\r\n" + chunks, "3\r\none\r\n0\r\n\r\n", "one", false, true},
		"length and chunks, other order": {chunks + "Content-Length: 3\r\n", "3\r\none\r\n0\r\n\r\n" + stray, "one", false, false},
		"two codings":                    {chunks + chunks, "3\r\none\r\n0\r\n\r\n", "", true, false},
		"unknown coding":                 {"Transfer-Encoding: words\r\n", "one", "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
				for {
					name, _, err := read(in)
					switch {
					case err != nil:
						return
					case name == "a":
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a\r\n%s\r\n%s", nameHeader, c.head, c.body)
					default:
						_, _ = io.WriteString(conn, responseText(name, "own"))
					}
				}
			})
			p := targetconn.New(targetconn.Config{})
			defer p.Close()
			got, err := call(t, p, tg.address, "a")
			is.Equal(got, c.want)
			is.Equal(err != nil, c.failed)
			got, err = call(t, p, tg.address, "b")
			is.NoErr(err)
			is.Equal(got, "own")
			is.Equal(tg.opened.Load() == 1, c.reused)
		})
	}
}

// Guards against bytes that arrive on a connection that is reused, before or after its next request
// is read: the response to another request is skipped, anything else is an error, and
// neither is a part of the response.
func TestBytesThatArriveAfterTheReuse(t *testing.T) {
	for name, c := range map[string]struct {
		// early arrives before the response to the second request.
		early string
		// want is the body that the caller of that request gets.
		want string
		// failed is set if that caller gets an error.
		failed bool
	}{
		"response to another request": {responseText("a", "late"), "own", false},
		"two of them":                 {responseText("a", "late") + responseText("a", "later"), "own", false},
		"three of them":               {responseText("a", "1") + responseText("a", "2") + responseText("a", "3"), "", true},
		"words":                       {"words\r\n\r\n", "", true},
		"an event":                    {event4, "", true},
		"line ends":                   {"\r\n\r\n", "", true},
		"zeros":                       {"\x00\x00\x00\r\n", "", true},
		"half a response":             {"HTTP/1.1 200 OK\r\n" + nameHeader + ": a\r\nContent-Length: 400\r\n\r\nhalf", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
				for {
					name, _, err := read(in)
					if err != nil {
						return
					}
					if name == "b" {
						_, _ = io.WriteString(conn, c.early)
						time.Sleep(5 * time.Millisecond)
					}
					_, _ = io.WriteString(conn, responseText(name, "own"))
					if name == "b" && c.failed {
						_ = conn.CloseWrite()
					}
				}
			})
			p := targetconn.New(targetconn.Config{})
			defer p.Close()
			got, err := call(t, p, tg.address, "a")
			is.NoErr(err)
			is.Equal(got, "own")
			got, err = call(t, p, tg.address, "b")
			is.Equal(got, c.want)
			is.Equal(err != nil, c.failed)
			is.True(!unsent(err)) // it may have run
			got, err = call(t, p, tg.address, "c")
			is.NoErr(err)
			is.Equal(got, "own")
		})
	}
}

const event4 = "id: 4\ndata: text\n\n"
