package gateway

import (
	"encoding/json"
	"math"
	"math/rand/v2"
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
	"github.com/savorystall/savorystall/internal/route"
)

// errorBody is the JSON body of all refusals and failures.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    int                `json:"code"`
	Name    string             `json:"name"`
	Message string             `json:"message"`
	Run     resultcode.Outcome `json:"run"`
}

// finish logs the request, responds to a failure, and aborts the connection if the response
// must not appear complete.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, pr *proxyRequest, f *resultcode.Failure) {
	s.recordRequest(r, pr, f)
	if f == nil {
		return
	}
	if mustAbort(f, pr) {
		if s.OnAbort != nil {
			s.OnAbort(r.Context(), abortedRequest(pr, f))
		}
		panic(http.ErrAbortHandler)
	}
	if s.linkFull() && f.Code.Outcome == resultcode.NotRun {
		f.RetryAfter = max(f.RetryAfter, time.Duration((1+rand.Float64())*float64(linkRetryDelay)))
	}
	s.writeFailure(w, pr, f)
}

// linkRetryDelay is the shortest retry delay of a request that is refused while the link of this VM is
// full, or while this daemon is behind. Each retry brings the whole body over the link of some VM again:
// callers that come back at once keep the links full when the flood is over.
const linkRetryDelay = 2 * time.Second

// linkFull reports whether the link of this VM keeps this daemon from its work.
func (s *Server) linkFull() bool {
	return s.LinkFull != nil && s.LinkFull() || s.RoutesBehind != nil && s.RoutesBehind()
}

// AbortedRequest describes a request that gets no complete response.
type AbortedRequest struct {
	AttemptID string
	Route     string
	// Target is the last target of the request, and Sent reports whether the request was
	// sent to one.
	Target ident.Target
	Sent   bool
	// Elapsed is the time since the request arrived, and Remaining what is left of the time
	// that its caller or the operator allows.
	Elapsed, Remaining time.Duration
	Failure            *resultcode.Failure
	// ResponseEnd is how the response of the last target broke off; empty if it did not.
	ResponseEnd string
}

func abortedRequest(pr *proxyRequest, f *resultcode.Failure) AbortedRequest {
	if pr == nil {
		return AbortedRequest{Failure: f}
	}
	return AbortedRequest{
		AttemptID: pr.info.AttemptID, Route: string(pr.route.Name), Target: pr.stats.target, Sent: pr.stats.attempts > 0,
		Elapsed: time.Since(pr.arrived), Remaining: time.Until(pr.deadline), Failure: f, ResponseEnd: breakCause(f),
	}
}

// shed refuses a request for lack of processor time.
func (s *Server) shed(w http.ResponseWriter, r *http.Request) {
	matched := s.recordShedDemand(r)
	if s.linkFull() {
		w.Header().Set("Connection", "close") // the rest of the body is not read, and a new connection reaches another daemon
		s.finish(w, r, nil, busyFailure())
		return
	}
	s.discardBody(w, r, matched)
	if s.OutOfRotation() {
		w.Header().Set("Connection", "close") // a new connection reaches another daemon
	}
	s.finish(w, r, nil, busyFailure())
}

// busyFailure returns the failure of a request that is refused for lack of processor time.
func busyFailure() *resultcode.Failure {
	f := resultcode.Fail(resultcode.DaemonBusy, "")
	f.RetryAfter = overload.ImmediateRetryDelay
	return f
}

// recordShedDemand counts a shed request in the demand of its workspace. Otherwise a
// workspace whose callers all reach one overloaded daemon would appear to have no demand,
// and its share would go to workspaces that already have more.
// It returns the request's route, or nil if there is none.
func (s *Server) recordShedDemand(r *http.Request) *route.Route {
	table := s.Routes.Current()
	if table == nil {
		return nil
	}
	path, _, _ := strings.Cut(requestTarget(r), "?")
	matched, ok := table.Find(r.Host, path)
	if !ok {
		return nil
	}
	info := s.Dialect.ParseRequest(r.Header)
	workspace, failure := table.Identify(matched, info.Key)
	if failure != nil {
		return matched
	}
	service := s.chooseService(matched, table)
	if service.ServesModel {
		s.Placer.RecordShed(service.Name, workspace, booking.Tokens(info.PromptTokens, info.OutputTokens))
	}
	return matched
}

// httpStatus returns the HTTP status of a failure. Callers take 503 to mean that the request
// was not run, and retry it. Every refusal for lack of time or capacity therefore gets that
// status, and nothing else does.
func httpStatus(f *resultcode.Failure) int {
	if f.Code.Outcome == resultcode.NotRun && f.Code.HTTPStatus >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return f.Code.HTTPStatus
}

func (s *Server) writeFailure(w http.ResponseWriter, pr *proxyRequest, f *resultcode.Failure) {
	body := FailureBody(f)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", formatLength(int64(len(body))))
	if wait := f.RetryDelay(); wait > 0 {
		header.Set("Retry-After", formatSeconds(wait))
	}
	if f.Code.HTTPStatus == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if f.Code == resultcode.BodyTooLarge || f.Code == resultcode.BodyTimeout || f.Code == resultcode.BadRequest {
		header.Set("Connection", "close") // the rest of the body is left unread
	}
	w.WriteHeader(httpStatus(f))
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// FailureBody returns the JSON body that describes a failure to the caller.
func FailureBody(f *resultcode.Failure) []byte {
	message := f.Code.Text
	if f.Detail != "" {
		message += ": " + f.Detail
	}
	// Marshalling strings and numbers cannot fail.
	body, _ := json.Marshal(errorBody{errorDetail{Code: f.Code.Number, Name: f.Code.Name, Message: message, Run: f.Code.Outcome}})
	return body
}

// formatSeconds formats a duration in seconds with three decimal places.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// recordRequest writes the log line and the metrics of a finished request.
func (s *Server) recordRequest(r *http.Request, pr *proxyRequest, f *resultcode.Failure) {
	service, code := ident.Service(""), 0
	if pr != nil {
		service = pr.service.Name
	}
	if f != nil {
		code = f.Code.Number
	}
	s.Metrics.Request(service, strconv.Itoa(code))
	logEvent, budget := event.RequestServed, s.logBudgets.served
	switch {
	case f == nil:
	case f.Code.Outcome == resultcode.NotRun:
		logEvent, budget = event.RequestRefused, s.logBudgets.refused
	default:
		logEvent, budget = event.RequestFailed, s.logBudgets.failed
	}
	if budget.Allow() {
		logEvent.Log(s.Log, s.logAttributes(r, pr, f)...)
	}
}

// logAttributes returns the log attributes of a request: how it was placed, its routes
// version and timing, and how it ended.
func (s *Server) logAttributes(r *http.Request, pr *proxyRequest, f *resultcode.Failure) []any {
	var args []any
	if pr == nil {
		args = []any{"request", s.Dialect.ParseRequest(r.Header).AttemptID, "host", r.Host, "path", r.URL.Path}
	} else {
		args = []any{
			"request", pr.info.AttemptID, "response_end", breakCause(f), "route", pr.route.Name, "service", pr.service.Name, "workspace", pr.workspace,
			"routes_version", pr.table.Version, "target", pr.stats.target, "version", pr.stats.version, "first_target", pr.stats.firstTarget, "first_version", pr.stats.firstVersion, "by", pr.stats.basis.SelectedBy, "asked", pr.stats.basis.OwnersAsked,
			"expected_ms", pr.stats.basis.Expected.Milliseconds(), "late", pr.plan.Late, "back", pr.stats.basis.CallerRetry, "source", pr.stats.basis.FetchSource, "held", pr.stats.basis.Held, "slot_wait_ms", pr.stats.basis.SlotWait.Milliseconds(),
			"limit", pr.stats.basis.Limit.String(), "share_used", math.Round(100*pr.stats.basis.ShareUsed) / 100, "alone_ms", pr.stats.basis.UnloadedWait.Milliseconds(),
			"tokens", pr.info.PromptTokens, "due_ms", pr.plan.Due.Sub(pr.arrived).Milliseconds(),
			"waited_ms", pr.stats.placementTime.Milliseconds(), "first_ms", pr.stats.firstByteTime.Milliseconds(),
			"total_ms", time.Since(pr.arrived).Milliseconds(), "left_ms", time.Until(pr.deadline).Milliseconds(), "caller", r.RemoteAddr, "sends", pr.stats.attempts, "runs", pr.stats.runs,
			"events", pr.events.count, "last_event", pr.events.lastID.Value, "resumed_after", pr.info.LastEventID.Value, "resumes", pr.info.Resumes, "origin", pr.origin, "origin_by", pr.resumed.finding.Status.String(), "origin_asked", pr.resumed.finding.Asked, "origin_silent", pr.resumed.finding.Silent, "status", pr.status,
		}
	}
	if pr != nil && pr.poisonSubject != nil {
		args = append(args, "fingerprint", pr.poisonSubject.Fingerprint.String(), "parts", sharedPartIDs(pr))
	}
	if f != nil {
		args = append(args, "code", f.Code.Number, "run", f.Code.Outcome, "reason", f.Error())
	}
	return args
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// sharedPartIDs returns the hexadecimal IDs of the parts of the request's prompt that other requests
// may have, too.
func sharedPartIDs(pr *proxyRequest) []string {
	parts := pr.info.sharedParts()
	parts = parts[:min(len(parts), maxLoggedParts)]
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(p.ID, 16)
	}
	return ids
}

// recoverPanic logs a panic of the handler and aborts the connection.
func (s *Server) recoverPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		event.RequestPanic.Log(s.Log, "path", r.URL.Path, "panic", cause, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}
