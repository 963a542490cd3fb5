package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetconn"
)

const (
	// chunk is how much is read of an answer at once.
	chunk = 4 << 10
	// heldBody is how much of a plain answer is awaited before its header goes to
	// the caller, so that one that breaks off can still be told as a failure, or
	// run again where that is allowed.
	heldBody = 64 << 10
)

// exchange sends the request to a target and passes the answer on.
func (s *Server) exchange(ctx context.Context, j *job, entry registry.Entry, began time.Time) result {
	x, err := s.Pool.Do(ctx, entry.Address, s.request(ctx, j, entry, began))
	if err != nil {
		return s.unanswered(entry, err)
	}
	defer x.Abort() // does nothing after a whole answer
	answer := s.Dialect.Answer(x.Response.StatusCode, x.Response.Header)
	r := result{sent: true, status: x.Response.StatusCode}
	switch {
	case answer.NotRun:
		return s.refused(x, r)
	case x.Response.StatusCode >= http.StatusBadRequest:
		return s.failed(ctx, x, j, r, began)
	case j.route.Repeat == route.Stream && isEventStream(x.Response.Header):
		return s.stream(ctx, x, j, r, began)
	}
	return s.plain(ctx, x, j, r, began)
}

func isEventStream(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// freshLook is how long the last look for a caller that has left holds. On a daemon short
// of processor time a request may wait for its turn for a second between the place and the
// connection to its target, and would be sent on after its caller has gone.
const freshLook = 20 * time.Millisecond

// request translates the caller's request for a target.
func (s *Server) request(ctx context.Context, j *job, entry registry.Entry, began time.Time) targetconn.Request {
	connections := 0
	if j.service.Connections > 0 {
		connections = max(1, j.service.Connections/max(1, s.Config.ConnectionShare))
	}
	return targetconn.Request{
		Method: j.in.Method, Target: requestTarget(j.in), Host: j.in.Host, Header: endToEnd(j.in.Header), Body: j.body,
		Complete: func(h http.Header) {
			s.Dialect.ForTarget(h, Forward{
				Identity: entry.Identity, Workspace: j.workspace,
				Patience: time.Until(j.until), LastEvent: j.events.last, Source: s.source(j, entry),
			})
		},
		Connections: connections,
		Mine: func(status int, h http.Header) bool {
			echoed := s.Dialect.Answer(status, h)
			return echoed.Attempt == j.call.Attempt || echoed.Attempt == "" && !echoed.Signed
		},
		Abandoned: func() bool { return time.Since(began) > freshLook && s.Gone(ctx) },
		Watch:     s.watch(ctx, j),
		Foreign:   func() { event.AnswerForeign.Log(s.Log, "target", entry.Identity, "request", j.call.Attempt) },
	}
}

// watch ends an exchange at once when its caller leaves; nil: the daemon does not tell.
func (s *Server) watch(ctx context.Context, j *job) func(end func()) (stop func() bool) {
	if s.Watch == nil {
		return nil
	}
	return func(end func()) func() bool {
		return s.Watch(ctx, func() {
			j.leave() // first: else the end would look like the target's
			end()
		})
	}
}

// source is the address of the target that a prompt's beginning is copied from; empty
// where there is none, or where it has left since the request was placed: its address may
// be another service's by now.
func (s *Server) source(j *job, to registry.Entry) string {
	id := j.trace.basis.FetchSource
	if id == "" {
		return ""
	}
	entry, known := s.targets.Load().ByIdentity[id]
	if !known || entry.Service != to.Service {
		return ""
	}
	return entry.Address
}

// unanswered is the result of an exchange without an answer.
func (s *Server) unanswered(entry registry.Entry, err error) result {
	var unsent *targetconn.Unsent
	if errors.Is(err, targetconn.ErrAbandoned) {
		return result{failure: resultcode.Fail(resultcode.CallerGone, "")}
	}
	if errors.As(err, &unsent) {
		return result{
			failure:      resultcode.Fail(resultcode.TargetRefused, "target %s", entry.Identity).Because(err),
			targetFailed: !errors.Is(err, targetconn.ErrFull) && !errors.Is(err, context.Canceled),
		}
	}
	canceled := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return result{
		failure: resultcode.Fail(resultcode.ConnectionLost, "target %s", entry.Identity).Because(err),
		sent:    true, targetFailed: !canceled,
	}
}

// refused is the result of an answer that says the request was not run.
func (s *Server) refused(x *targetconn.Exchange, r result) result {
	drain(x)
	r.failure = resultcode.Fail(resultcode.TargetRefused, "status %d", r.status)
	r.targetFailed = true
	return r
}

// drain reads a short answer to its end, so that its connection can be used
// again.
func drain(x *targetconn.Exchange) {
	// An error only means that the connection is not kept.
	_, _ = io.CopyN(io.Discard, x, heldBody)
}

// failed takes a failure of the target's own. It is handed over unchanged, unless
// its status promises that the request has not run, which this target did not say.
func (s *Server) failed(ctx context.Context, x *targetconn.Exchange, j *job, r result, began time.Time) result {
	r.first = time.Since(began)
	body, err := io.ReadAll(io.LimitReader(x, heldBody))
	if err != nil {
		r.targetFailed = !callerLeft(ctx, j)
		r.failure = resultcode.Fail(resultcode.AnswerCut, "").Because(err)
		return r
	}
	r.failure = resultcode.Fail(resultcode.TargetError, "status %d", r.status)
	r.targetFailed = r.status >= http.StatusInternalServerError
	if !promisesNotRun(r.status) {
		r.answer = &held{status: r.status, header: x.Response.Header, body: body}
	}
	return r
}

// promisesNotRun tells whether callers take a status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// plain passes an answer on that is not a stream of events.
func (s *Server) plain(ctx context.Context, x *targetconn.Exchange, j *job, r result, began time.Time) result {
	start, err := io.ReadAll(io.LimitReader(x, heldBody))
	r.first = time.Since(began)
	r.served = float64(r.first.Milliseconds())
	if err != nil {
		r.targetFailed = !callerLeft(ctx, j)
		r.failure = resultcode.Fail(resultcode.AnswerCut, "").Because(err)
		return r
	}
	j.begin(x.Response.StatusCode, x.Response.Header, x.Response.ContentLength)
	if _, err := j.w.Write(start); err != nil {
		r.failure = resultcode.Fail(resultcode.CallerGone, "").Because(err)
		return r
	}
	if len(start) < heldBody {
		return r
	}
	if _, err := io.Copy(j.w, x); err != nil {
		r.failure = resultcode.Fail(resultcode.AnswerCut, "").Because(err)
	}
	return r
}

// handOver gives a held answer to the caller.
func (s *Server) handOver(j *job, a *held) {
	j.begin(a.status, a.header, int64(len(a.body)))
	// A caller that has left needs no answer.
	_, _ = j.w.Write(a.body)
}

// begin writes the header of the answer.
func (j *job) begin(status int, h http.Header, length int64) {
	out := j.w.Header()
	maps.Copy(out, endToEnd(h))
	if length >= 0 {
		out.Set("Content-Length", lengthText(length))
	} else {
		out.Del("Content-Length")
	}
	if _, set := out["Content-Type"]; !set {
		out["Content-Type"] = nil // the server must not guess one
	}
	if _, set := out["Date"]; !set {
		out["Date"] = nil
	}
	j.began, j.status = true, status
	j.w.WriteHeader(status)
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEnd returns a copy of h without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	maps.Copy(out, h)
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
