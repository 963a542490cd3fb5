package ingress

import (
	"encoding/json"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"

	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// errorBody is the JSON of every refusal and failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail tells a caller what happened and whether its request was run.
type errorDetail struct {
	Code    int                `json:"code"`
	Name    string             `json:"name"`
	Message string             `json:"message"`
	Run     resultcode.Outcome `json:"run"`
	Request ident.Request      `json:"request"`
}

// response is the way back to one caller. It remembers whether the header has
// gone, and keeps a bounded copy of the answer where one is wanted.
type response struct {
	http.ResponseWriter
	request ident.Request
	began   bool
	status  int
	record  *record
}

func newResponse(w http.ResponseWriter, id ident.Request) *response {
	w.Header().Set(HeaderRequest, string(id))
	return &response{ResponseWriter: w, request: id}
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.began {
		return
	}
	r.began = true
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.record == nil {
		return r.ResponseWriter.Write(b)
	}
	// An unrepeatable run goes on to its end without its caller, whose repeat
	// gets the recorded answer: a failed write must not cancel it.
	r.record.add(b)
	_, _ = r.ResponseWriter.Write(b)
	return len(b), nil
}

// Flush sends what was written so far.
func (r *response) Flush() {
	if f, ok := r.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

func failureJSON(id ident.Request, f *resultcode.Failure) []byte {
	message := f.Code.Text
	if f.Detail != "" {
		message += ": " + f.Detail
	}
	// Marshalling strings and numbers cannot fail.
	text, _ := json.Marshal(errorBody{errorDetail{
		Code: f.Code.Number, Name: f.Code.Name, Message: message, Run: f.Code.Outcome, Request: id,
	}})
	return text
}

// answerFailure gives a request its final answer at once. Where the answer has
// begun, the connection is aborted instead: a body that ends regularly would
// look like a short success.
func (s *Server) answerFailure(w *response, service ident.Service, f *resultcode.Failure) {
	s.Metrics.Request(service, strconv.Itoa(f.Code.Number))
	if f.Code.Outcome != resultcode.NotRun {
		event.RequestFailed.Log(s.Log, "request", w.request, "service", service, "error", f.Error())
	}
	if w.began {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if wait := f.RetryDelay(); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if f.Code.HTTPStatus == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(f.Code.HTTPStatus)
	_, _ = w.Write(append(failureJSON(w.request, f), '\n'))
}

// recover turns a panic of a handler into a logged failure. Without it a defect
// on one request would show as a bare closed connection.
func (s *Server) recover(w http.ResponseWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	event.RequestPanic.Log(s.Log, "path", r.URL.Path, "panic", cause, "stack", string(debug.Stack()))
	panic(http.ErrAbortHandler)
}

// recordLimit bounds the answer that is kept for repeats of an unrepeatable
// request; a larger one is answered as already run.
const recordLimit = claim.DefaultMaxResponseBytes

// record is a bounded copy of an answer's body.
type record struct {
	body     []byte
	overflow bool
}

func (r *record) add(b []byte) {
	if r.overflow || len(r.body)+len(b) > recordLimit {
		r.overflow, r.body = true, nil
		return
	}
	r.body = append(r.body, b...)
}
