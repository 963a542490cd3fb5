package plainstandin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/standin/garbage"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
)

// exchange returns all that the service sends on a connection with one request.
func exchange(t *testing.T, cfg plainstandin.Config, failure string) string {
	t.Helper()
	is := is.New(t)
	s := plainstandin.New(cfg)
	server := httptest.NewServer(s)
	defer server.Close()
	defer s.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s: m\r\n%s: %s\r\n\r\n", plainstandin.HeaderMark, plainstandin.HeaderFail, failure)
	is.NoErr(err)
	all, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(s.RunCount("m"), 1)
	return string(all)
}

// Guards against a stand-in that cannot send bytes that belong to no response, and hides what a daemon
// does with them.
func TestGarbageIsSentInsteadOfOrBehindResponse(t *testing.T) {
	for failure, behind := range map[string]string{
		plainstandin.FailExtraBytes:        garbage.Words.Text(0),
		plainstandin.FailLateExtraBytes:    garbage.Words.Text(0),
		plainstandin.FailExtraResponse:     garbage.ForeignResponse.Text(0),
		plainstandin.FailLateExtraResponse: garbage.ForeignResponse.Text(0),
	} {
		t.Run(failure, func(t *testing.T) {
			is := is.New(t)
			response, ok := strings.CutSuffix(exchange(t, plainstandin.Config{}, failure), behind)
			is.True(ok)
			head, body, _ := strings.Cut(response, "\r\n\r\n")
			is.True(strings.HasSuffix(head, fmt.Sprintf("Content-Length: %d", len(body))))
			var echo plainstandin.Echo
			is.NoErr(json.Unmarshal([]byte(body), &echo))
			is.Equal(echo.Mark, "m")
		})
	}
	t.Run("wrong body", func(t *testing.T) {
		is := is.New(t)
		head, body, _ := strings.Cut(exchange(t, plainstandin.Config{}, plainstandin.FailWrongBody), "\r\n\r\n")
		is.True(strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n"))
		is.Equal(body, strings.Repeat("g", len(body)))
	})
	t.Run("no HTTP", func(t *testing.T) {
		is.New(t).Equal(exchange(t, plainstandin.Config{}, plainstandin.FailNotHTTP), garbage.Words.Text(0))
	})
}

// Guards against a fraction of spoilt responses that has no effect, or affects all of them.
func TestGarbageFractionSpoilsSomeResponses(t *testing.T) {
	is := is.New(t)
	sound := exchange(t, plainstandin.Config{GarbageFraction: 1e-12}, "")
	_, soundBody, _ := strings.Cut(sound, "\r\n\r\n")
	is.True(strings.HasPrefix(soundBody, "{"))
	for seed := range uint64(8) {
		all := exchange(t, plainstandin.Config{GarbageFraction: 1, GarbageSeed: seed}, "")
		is.True(!strings.HasSuffix(all, soundBody))
	}
}
