package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const bearerPrefix = "Bearer "

// bearerToken returns the API key from the Authorization header.
func bearerToken(r *http.Request) (string, *resultcode.Failure) {
	value := r.Header.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", resultcode.Fail(resultcode.Unauthenticated, "send Authorization: Bearer and a key")
	}
	return strings.TrimSpace(value[len(bearerPrefix):]), nil
}

// authenticate returns the workspace of the service to which the key belongs. It
// fails with Forbidden for a key of another service and with Unauthenticated for
// an unknown key.
func authenticate(snapshot *config.Snapshot, service *config.Service, key string) (ident.Workspace, *resultcode.Failure) {
	if ws, ok := service.Authenticate(key); ok {
		return ws, nil
	}
	if snapshot.KnownKey(key) {
		return "", resultcode.Fail(resultcode.Forbidden, "service %s", service.Document.Service)
	}
	return "", resultcode.Fail(resultcode.Unauthenticated, "")
}

// readBody reads the complete body, subject to a size limit and a timeout. A
// request is not scheduled until its body is complete, so that a slow caller does
// not occupy a slot of a target.
func (s *Server) readBody(w *response, r *http.Request, limit int64) ([]byte, *resultcode.Failure) {
	if r.ContentLength > limit {
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", limit)
	}
	control := http.NewResponseController(w.ResponseWriter)
	// If the writer does not support deadlines, as the recorder in tests, there is
	// no timeout.
	_ = control.SetReadDeadline(time.Now().Add(s.Config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w.ResponseWriter, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, resultcode.Fail(resultcode.BodyTimeout, "the limit is %s", s.Config.BodyTimeout)
	case err != nil:
		return nil, resultcode.Fail(resultcode.BadRequest, "the body ended early")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
