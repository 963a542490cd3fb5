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

// handlePlain serves requests to plain services.
func (s *Server) handlePlain(w http.ResponseWriter, r *http.Request) {
	resp := newResponse(w, ident.NewRequest())
	j, failure := s.acceptPlain(resp, r)
	if failure != nil {
		s.writeFailure(resp, ident.Service(mux.Vars(r)["service"]), failure)
		return
	}
	s.run(r, j)
}

func (s *Server) acceptPlain(w *response, r *http.Request) (*job, *resultcode.Failure) {
	snapshot, key, failure := s.snapshotForCaller(r)
	if failure != nil {
		return nil, failure
	}
	name := mux.Vars(r)["service"]
	service, ok := snapshot.Service(ident.Service(name))
	if !ok || service.Document.Kind != document.Plain {
		return nil, resultcode.Fail(resultcode.UnknownService, "service %q", name)
	}
	ws, failure := authenticate(snapshot, service, key)
	if failure != nil {
		return nil, failure
	}
	// The target receives the escaped path, so the operation is derived from that:
	// an encoded slash could disguise a non-idempotent operation as another one.
	escapedPath, hasPrefix := strings.CutPrefix(r.URL.EscapedPath(), "/services/"+name)
	decodedPath, valid := document.DecodePath(escapedPath)
	if !hasPrefix || !valid {
		return nil, resultcode.Fail(resultcode.UnknownOperation, "%s %s", r.Method, r.URL.EscapedPath())
	}
	op, ok := service.Operation(r.Method, decodedPath)
	if !ok {
		if len(service.AllowedMethods(decodedPath)) > 0 {
			return nil, resultcode.Fail(resultcode.MethodNotAllowed, "%s", r.Method)
		}
		return nil, resultcode.Fail(resultcode.UnknownOperation, "%s %s", r.Method, decodedPath)
	}
	body, failure := s.readBody(w, r, service.Document.Limits.BodyBytes)
	if failure != nil {
		return nil, failure
	}
	j := s.newJob(w, r, service, ws, op)
	j.digest = requestDigest(r, op.Name, body)
	s.preparePlain(j, r, body)
	return j, nil
}

func (s *Server) preparePlain(j *job, r *http.Request, body []byte) {
	j.cost = s.costs.mean(j.estimateKey(), j.service.Document.Limits.MeanCost)
	j.servedCost = func(result attempt.Result) float64 { return float64(result.Elapsed.Milliseconds()) }
	j.completeResponse = func() { j.w.WriteHeader(http.StatusOK) }
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(j.serviceName()))
	if path == "" {
		path = "/"
	}
	j.runAttempt = func(ctx context.Context, id ident.Attempt, address string) attempt.Result {
		return s.Runner.Plain(ctx, attempt.PlainRequest{
			Attempt: id, Address: address, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
			Header: r.Header, Body: body, Unrepeatable: !j.repeatable(),
			FirstByteTimeout: j.service.Document.Limits.FirstByteTimeout, ProgressTimeout: j.service.Document.Limits.ProgressTimeout,
		}, j.w)
	}
}
