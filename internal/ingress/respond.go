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

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes the failure and whether the request was run.
type errorDetail struct {
	Code    int                `json:"code"`
	Name    string             `json:"name"`
	Message string             `json:"message"`
	Run     resultcode.Outcome `json:"run"`
	Request ident.Request      `json:"request"`
}

// response wraps the ResponseWriter of one request. It tracks whether the header
// was written, and records a size-limited copy of the body if recorded is set.
type response struct {
	http.ResponseWriter
	requestID   ident.Request
	wroteHeader bool
	status      int
	recorded    *recordedBody
}

func newResponse(w http.ResponseWriter, id ident.Request) *response {
	w.Header().Set(HeaderRequestID, string(id))
	return &response{ResponseWriter: w, requestID: id}
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.wroteHeader {
		return
	}
	r.wroteHeader = true
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.recorded == nil {
		return r.ResponseWriter.Write(b)
	}
	// A failed write must not cancel a non-idempotent run: it continues if the
	// caller disconnects, and a retry of the caller gets the recorded response.
	r.recorded.add(b)
	_, _ = r.ResponseWriter.Write(b)
	return len(b), nil
}

// Flush sends buffered data to the caller.
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
	// Marshaling strings and numbers cannot fail.
	text, _ := json.Marshal(errorBody{errorDetail{
		Code: f.Code.Number, Name: f.Code.Name, Message: message, Run: f.Code.Outcome, Request: id,
	}})
	return text
}

// writeFailure writes the error response of a request. If the response has already
// started, it aborts the connection instead: a body that ends normally would look
// like a short successful response.
func (s *Server) writeFailure(w *response, service ident.Service, f *resultcode.Failure) {
	s.Metrics.Request(service, strconv.Itoa(f.Code.Number))
	if f.Code.Outcome != resultcode.NotRun {
		event.RequestFailed.Log(s.Log, "request", w.requestID, "service", service, "error", f.Error())
	}
	if w.wroteHeader {
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
	_, _ = w.Write(append(failureJSON(w.requestID, f), '\n'))
}

// recoverPanic logs a panic of a handler and aborts the connection. Otherwise a
// defect triggered by one request would only be visible as a closed connection.
func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request) {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	if panicValue == http.ErrAbortHandler {
		panic(panicValue)
	}
	event.RequestPanic.Log(s.Log, "path", r.URL.Path, "panic", panicValue, "stack", string(debug.Stack()))
	panic(http.ErrAbortHandler)
}

// maxRecordedBytes limits the response body that is stored for retries of a
// non-idempotent request. If the response was larger, a retry fails with the code
// for a request that has already run.
const maxRecordedBytes = claim.DefaultMaxResponseBytes

// recordedBody is a size-limited copy of a response body.
type recordedBody struct {
	body     []byte
	tooLarge bool
}

func (r *recordedBody) add(b []byte) {
	if r.tooLarge || len(r.body)+len(b) > maxRecordedBytes {
		r.tooLarge, r.body = true, nil
		return
	}
	r.body = append(r.body, b...)
}
