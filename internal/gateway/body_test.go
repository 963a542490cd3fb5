package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
	body, err := readAll(strings.NewReader(whole), size, func(n int) { largest = max(largest, n) })
	is.NoErr(err)
	is.Equal(string(body), whole)
	is.Equal(largest, size)
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
