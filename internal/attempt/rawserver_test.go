package attempt_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/savorystall/savorystall/test/rawserver"
)

// serveConnections starts a target that calls serve for each connection, and closes the connection after it.
func serveConnections(t *testing.T, serve func(conn net.Conn, in *bufio.Reader)) (address string) {
	t.Helper()
	return rawserver.Serve(t, func(conn *net.TCPConn) { serve(conn, bufio.NewReader(conn)) })
}

// readWholeRequest reads a request with its body, which it discards.
func readWholeRequest(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r, nil
}
