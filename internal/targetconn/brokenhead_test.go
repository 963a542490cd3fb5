package targetconn_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/internal/targetconn"
)

// Guards against a malformed answer that becomes the caller's since it follows one to another request, which is
// skipped, on a new or a kept connection and in the same or a later segment.
func TestMalformedResponseAfterASkippedOneFails(t *testing.T) {
	skipped := responseText("other", "skipped")
	for name, first := range map[string]string{
		"status":          skipped + "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + responseText("b", "theirs"),
		"name of a field": skipped + "HTTP/1.1 200 OK\r\nX-Name: b\r\nContent-Length : 6\r\n\r\ntheirs",
		"skipped status":  "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + skipped + responseText("b", "theirs"),
		"skipped trailer": "HTTP/1.1 200 OK\r\nX-Name: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: a\r\n\r\n" + responseText("b", "theirs"),
	} {
		for _, segment := range []int{len(first), len(skipped), 1} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				tg := serve(t, func(conn *net.TCPConn, in *bufio.Reader, _ int) {
					for text := responseText("a", "hello"); ; text = first {
						if _, _, err := read(in); err != nil {
							return
						}
						for len(text) > 0 {
							n := min(segment, len(text))
							_, _ = io.WriteString(conn, text[:n])
							if text = text[n:]; segment > 1 {
								time.Sleep(5 * time.Millisecond)
							}
						}
					}
				})
				p := targetconn.New(targetconn.Config{})
				defer p.Close()
				body, err := call(t, p, tg.address, "a")
				is.NoErr(err)
				is.Equal(body, "hello")
				body, err = call(t, p, tg.address, "b")
				var violation responsehead.Violation
				if !errors.As(err, &violation) {
					t.Errorf("the error is %v, want a violation", err)
				}
				is.Equal(body, "")
				is.Equal(p.ConnectionCount(tg.address), 0)
				is.Equal(tg.opened.Load(), int64(1))
			})
		}
	}
}
