package targetconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/targetconn"
)

// endlessTarget accepts connections and sends first and then rest over and over again until its
// caller closes, and returns its address.
func endlessTarget(t *testing.T, first, rest string) string {
	t.Helper()
	return serve(t, func(conn *net.TCPConn, _ *bufio.Reader, _ int) {
		_, err := io.WriteString(conn, first)
		for repeated := []byte(rest); err == nil; {
			_, err = conn.Write(repeated)
		}
	}).address
}

// Guards against a target whose response never ends, in its head, in what follows it or in its body,
// and that takes the memory of the daemon or holds the request beyond its deadline.
func TestEndlessResponseTakesNeitherMemoryNorTime(t *testing.T) {
	const (
		deadline  = 700 * time.Millisecond
		maxMemory = 8 << 20 // bytes
		chunked   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	long := strings.Repeat("x", 60<<10)
	for name, c := range map[string]struct{ first, rest string }{
		"status line":      {"HTTP/1.1 200 ", long},
		"header line":      {"HTTP/1.1 200 OK\r\nX: ", long},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X-Long: " + long + "\r\n"},
		"interim response": {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"chunk extension":  {chunked + "5;", long},
		"chunk extensions": {chunked, "1;" + long[:4000] + "\r\nx\r\n"},
		"trailer":          {chunked + "0\r\n", "X-Long: " + long + "\r\n"},
		"body":             {"HTTP/1.1 200 OK\r\n\r\n", long},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := targetconn.New(targetconn.Config{})
			defer pool.Close()
			address := endlessTarget(t, c.first, c.rest)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			x, err := pool.Do(ctx, address, targetconn.Request{Method: "GET", RequestTarget: "/", Host: "h"})
			if err == nil {
				_, err = io.Copy(io.Discard, x)
				x.Abort()
			}
			runtime.ReadMemStats(&after)
			is.True(err != nil) // it must not look complete
			is.True(time.Since(began) < deadline+500*time.Millisecond)
			is.True(after.TotalAlloc-before.TotalAlloc < maxMemory)
		})
	}
}
