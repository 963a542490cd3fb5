package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A daemon short of processor time refuses new connections first. It has to tell a first
// request from the later ones of a connection.
func TestTheFirstRequestOfAConnectionIsKnown(t *testing.T) {
	is := is.New(t)
	var firsts []bool
	handler := counting(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		firsts = append(firsts, firstOnConnection(r.Context()))
	}))
	server, client := net.Pipe()
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	ctx := withConn(context.Background(), server)
	for range 3 {
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		handler.ServeHTTP(httptest.NewRecorder(), r)
	}
	is.Equal(firsts, []bool{true, false, false})
	is.True(!firstOnConnection(context.Background()))
}
