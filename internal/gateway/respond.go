package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/overload"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// errorBody is the JSON of every refusal and failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    int                `json:"code"`
	Name    string             `json:"name"`
	Message string             `json:"message"`
	Run     resultcode.Outcome `json:"run"`
}

// end answers a failure, logs the request, and breaks the connection off where
// the answer must not look complete.
func (s *Server) end(w http.ResponseWriter, r *http.Request, j *job, f *resultcode.Failure) {
	s.note(r, j, f)
	if f == nil {
		return
	}
	if unanswered(f, j) {
		panic(http.ErrAbortHandler)
	}
	s.answerFailure(w, j, f)
}

// shed refuses a request that the daemon has no processor time for.
func (s *Server) shed(w http.ResponseWriter, r *http.Request) {
	s.wanted(r)
	discard(r)
	if s.Left() {
		w.Header().Set("Connection", "close") // a new one leads to another daemon
	}
	s.end(w, r, nil, busy())
}

// busy is the refusal for want of processor time.
func busy() *resultcode.Failure {
	f := resultcode.Fail(resultcode.DaemonBusy, "")
	f.RetryAfter = overload.ImmediateRetryDelay
	return f
}

// wanted counts what a refused request asks for in its workspace's demand. Without it a
// workspace whose callers all reach one busy daemon would seem to want nothing, and what
// it lacks would go to those that have more already.
func (s *Server) wanted(r *http.Request) {
	table := s.Routes.Current()
	if table == nil {
		return
	}
	path, _, _ := strings.Cut(requestTarget(r), "?")
	found, ok := table.Find(r.Host, path)
	if !ok {
		return
	}
	call := s.Dialect.Call(r.Header)
	workspace, failure := table.Identify(found, call.Key)
	if failure != nil {
		return
	}
	service := s.choose(found, table)
	if service.Model {
		s.Placer.Wanted(service.Name, workspace, booking.Tokens(call.PromptTokens, call.OutputTokens))
	}
}

// status returns the HTTP status of a failure. Callers take 503 for a promise
// that the request has not run, and come back; so every refusal for want of time
// or place is told that way, and nothing else is.
func status(f *resultcode.Failure) int {
	if f.Code.Outcome == resultcode.NotRun && f.Code.HTTP >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return f.Code.HTTP
}

func (s *Server) answerFailure(w http.ResponseWriter, j *job, f *resultcode.Failure) {
	text := FailureBody(f)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", lengthText(int64(len(text))))
	if wait := f.Wait(); wait > 0 {
		header.Set("Retry-After", seconds(wait))
	}
	if f.Code.HTTP == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if f.Code == resultcode.BodyTooLarge || f.Code == resultcode.BodyTimeout || f.Code == resultcode.BadRequest {
		header.Set("Connection", "close") // the rest of the body is not read
	}
	w.WriteHeader(status(f))
	// A caller that has left needs no answer.
	_, _ = w.Write(text)
}

// FailureBody returns the JSON body that tells a caller of a failure.
func FailureBody(f *resultcode.Failure) []byte {
	message := f.Code.Text
	if f.Detail != "" {
		message += ": " + f.Detail
	}
	// Marshalling strings and numbers cannot fail.
	text, _ := json.Marshal(errorBody{errorDetail{Code: f.Code.Number, Name: f.Code.Name, Message: message, Run: f.Code.Outcome}})
	return text
}

// seconds writes a wait with its fractions.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// note writes the one line and the metrics of a request.
func (s *Server) note(r *http.Request, j *job, f *resultcode.Failure) {
	service, code := ident.Service(""), 0
	if j != nil {
		service = j.service.Name
	}
	if f != nil {
		code = f.Code.Number
	}
	s.Metrics.Request(service, strconv.Itoa(code))
	line, budget := event.RequestServed, s.lines.served
	switch {
	case f == nil:
	case f.Code.Outcome == resultcode.NotRun:
		line, budget = event.RequestRefused, s.lines.refused
	default:
		line, budget = event.RequestFailed, s.lines.failed
	}
	if budget.Allow() {
		line.Log(s.Log, s.arguments(r, j, f)...)
	}
}

// arguments tell how a request went: what decided, how old that was, and the end.
func (s *Server) arguments(r *http.Request, j *job, f *resultcode.Failure) []any {
	var args []any
	if j == nil {
		args = []any{"request", s.Dialect.Call(r.Header).Attempt, "host", r.Host, "path", r.URL.Path}
	} else {
		args = []any{
			"request", j.call.Attempt, "route", j.route.Name, "service", j.service.Name, "workspace", j.workspace,
			"routes_version", j.version, "target", j.trace.target, "by", j.trace.basis.SelectedBy, "asked", j.trace.basis.OwnersAsked,
			"expected_ms", j.trace.basis.Expected.Milliseconds(), "late", j.plan.Late, "back", j.trace.basis.CallerRetry, "source", j.trace.basis.FetchSource, "held", j.trace.basis.Held,
			"limit", j.trace.basis.Limit.String(), "share_used", math.Round(100*j.trace.basis.ShareUsed) / 100, "alone_ms", j.trace.basis.UnloadedWait.Milliseconds(),
			"tokens", j.call.PromptTokens, "due_ms", j.plan.Due.Sub(j.arrived).Milliseconds(),
			"waited_ms", j.trace.waited.Milliseconds(), "first_ms", j.trace.first.Milliseconds(),
			"total_ms", time.Since(j.arrived).Milliseconds(), "left_ms", time.Until(j.until).Milliseconds(), "caller", r.RemoteAddr, "sends", j.trace.sends, "runs", j.trace.runs,
			"events", j.events.count, "last_event", j.events.last, "status", j.status,
		}
	}
	if f != nil {
		args = append(args, "code", f.Code.Number, "run", f.Code.Outcome, "reason", f.Error())
	}
	return args
}

// recover turns a panic of the handler into a logged failure.
func (s *Server) recover(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		event.RequestPanic.Log(s.Log, "path", r.URL.Path, "panic", cause, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}
