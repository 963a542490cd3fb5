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

// bearer returns the caller's key.
func bearer(r *http.Request) (string, *resultcode.Failure) {
	value := r.Header.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", resultcode.Fail(resultcode.Unauthenticated, "send Authorization: Bearer and a key")
	}
	return strings.TrimSpace(value[len(bearerPrefix):]), nil
}

// identify tells which workspace of the service a key belongs to. A key of
// another service is forbidden, a key that nobody issued is unauthenticated.
func identify(snapshot *config.Snapshot, service *config.Service, key string) (ident.Workspace, *resultcode.Failure) {
	if ws, ok := service.Authenticate(key); ok {
		return ws, nil
	}
	if snapshot.KnownKey(key) {
		return "", resultcode.Fail(resultcode.Forbidden, "service %s", service.Document.Service)
	}
	return "", resultcode.Fail(resultcode.Unauthenticated, "")
}

// readBody reads a whole body within a size and a time. The request is held
// back until its body is complete, so that a slow caller holds no slot of a
// target.
func (s *Server) readBody(w *response, r *http.Request, limit int64) ([]byte, *resultcode.Failure) {
	if r.ContentLength > limit {
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", limit)
	}
	control := http.NewResponseController(w.ResponseWriter)
	// A writer without deadlines (a test's recorder) is not bounded in time.
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
