package ingress

import (
	"context"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// plain serves the calls of plain services.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	answer := newResponse(w, ident.NewRequest())
	j, failure := s.acceptPlain(answer, r)
	if failure != nil {
		s.answerFailure(answer, ident.Service(mux.Vars(r)["service"]), failure)
		return
	}
	s.run(r, j)
}

func (s *Server) acceptPlain(w *response, r *http.Request) (*job, *resultcode.Failure) {
	key, failure := bearer(r)
	if failure != nil {
		return nil, failure
	}
	snapshot, failure := s.admitted(key)
	if failure != nil {
		return nil, failure
	}
	name := mux.Vars(r)["service"]
	service, ok := snapshot.Service(ident.Service(name))
	if !ok || service.Document.Kind != document.Plain {
		return nil, resultcode.Fail(resultcode.UnknownService, "service %q", name)
	}
	ws, failure := identify(snapshot, service, key)
	if failure != nil {
		return nil, failure
	}
	// The target gets the escaped path, so that is what is judged: an encoded
	// slash could make an unrepeatable operation pass for another.
	escaped, prefixed := strings.CutPrefix(r.URL.EscapedPath(), "/services/"+name)
	decoded, clear := document.DecodePath(escaped)
	if !prefixed || !clear {
		return nil, resultcode.Fail(resultcode.UnknownOperation, "%s %s", r.Method, r.URL.EscapedPath())
	}
	op, ok := service.Operation(r.Method, decoded)
	if !ok {
		if len(service.AllowedMethods(decoded)) > 0 {
			return nil, resultcode.Fail(resultcode.MethodNotAllowed, "%s", r.Method)
		}
		return nil, resultcode.Fail(resultcode.UnknownOperation, "%s %s", r.Method, decoded)
	}
	body, failure := s.readBody(w, r, service.Document.Limits.BodyBytes)
	if failure != nil {
		return nil, failure
	}
	j := s.newJob(w, r, service, ws, op)
	j.digest = digestOf(r, op.Name, body)
	s.preparePlain(j, r, body)
	return j, nil
}

func (s *Server) preparePlain(j *job, r *http.Request, body []byte) {
	j.cost = s.estimates.mean(j.grain(), j.service.Document.Limits.MeanCost)
	j.served = func(result attempt.Result) float64 { return float64(result.Elapsed.Milliseconds()) }
	j.finish = func() { j.w.WriteHeader(http.StatusOK) }
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(j.name()))
	if path == "" {
		path = "/"
	}
	j.attempt = func(ctx context.Context, id ident.Attempt, address string) attempt.Result {
		return s.Runner.Plain(ctx, attempt.PlainRequest{
			Attempt: id, Address: address, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
			Header: r.Header, Body: body, Unrepeatable: !j.repeatable(),
			FirstByteTimeout: j.service.Document.Limits.FirstByteTimeout, ProgressTimeout: j.service.Document.Limits.ProgressTimeout,
		}, j.w)
	}
}
