package gateway

import (
	"errors"
	"net/http"

	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/targetconn"
)

var (
	// errUnsigned reports that a success does not carry the signature of a target.
	errUnsigned = errors.New("the success is not signed")
	// errEncoded reports that the body of a success is encoded, although no encoding was asked for.
	errEncoded = errors.New("the body of the success has a content encoding")
	// errNoStream reports that a stream is to be continued and the response is none.
	errNoStream = errors.New("the response that is to continue a stream is not a stream")
)

// verifySuccess returns why a response with a status of 2xx is not a success of its target; nil if it is
// one. It judges the headers that the caller would get, as a target may list its signature among the
// hop-by-hop headers.
func (s *Server) verifySuccess(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if !s.Dialect.SignsSuccesses() {
		return nil
	}
	info := s.Dialect.ParseResponse(response.StatusCode, endToEndHeaders(response.Header))
	switch {
	case !info.Signed:
		return errUnsigned
	case info.Encoded:
		return errEncoded
	}
	return nil
}

// rejectSuccess returns the result for a response that verifySuccess has rejected. The request may have
// run. The connection is closed: it is not known what else comes on it.
func rejectSuccess(x *targetconn.Exchange, r attemptResult, cause error) attemptResult {
	x.Abort()
	r.failure = resultcode.Fail(resultcode.TargetProtocol, "status %d", r.status).WithCause(cause)
	r.targetFailed = true
	return r
}
