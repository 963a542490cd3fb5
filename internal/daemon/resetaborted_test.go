package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/dialing"
)

// Guards against a part of an answer that looks complete to a caller of HTTP/1.0, and against the reset of a connection
// whose answer is whole or whose caller sees by the framing that it is not.
func TestOnlyAbortedResponsesOfHTTP10AreReset(t *testing.T) {
	is := is.New(t)
	l, err := listenDrainable("127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ConnContext: withConn, Handler: resetAborted(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
	}))}
	go func() { _ = server.Serve(l) }()
	defer func() { is.NoErr(server.Close()) }()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, path := range []string{"/whole", "/cut"} {
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			caller := dialing.NewConn(conn.(*net.TCPConn))
			is.NoErr(caller.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = fmt.Fprintf(caller, "GET %s %s\r\nHost: h\r\nConnection: close\r\n\r\n", path, version)
			is.NoErr(err)
			_, err = io.ReadAll(caller)
			is.Equal(err != nil, version == "HTTP/1.0" && path == "/cut")
			is.NoErr(caller.Close())
		}
	}
}
