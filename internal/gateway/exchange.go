package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetconn"
)

const (
	// readSize is the size of the buffer for reading a response.
	readSize = 4 << 10
	// maxBufferedBody is how much of a response that is not an event stream is buffered
	// before its header is sent to the caller. A response that breaks off earlier can still
	// be reported as a failure, or the request retried where that is allowed.
	maxBufferedBody = 64 << 10
)

// exchange sends the request to a target and relays the response.
func (s *Server) exchange(ctx context.Context, pr *proxyRequest, entry registry.Entry, dispatched time.Time) attemptResult {
	exchangeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	x, err := s.Pool.Do(exchangeCtx, entry.Address, s.targetRequest(ctx, pr, entry, dispatched))
	if err != nil {
		return s.exchangeFailure(entry, err)
	}
	defer x.Abort() // no-op after a complete response
	answer := s.Dialect.ParseResponse(x.Response.StatusCode, x.Response.Header)
	r := attemptResult{sent: true, status: x.Response.StatusCode}
	switch cause := s.verifySuccess(x.Response); {
	case answer.refusedBy(entry.Identity):
		return s.handleRefusal(x, r)
	case cause != nil:
		return rejectSuccess(x, r, cause)
	case x.Response.StatusCode >= http.StatusBadRequest:
		return s.handleErrorStatus(ctx, x, pr, entry, r, dispatched)
	case pr.responseStarted && (r.status != pr.status || !isEventStream(x.Response.Header)):
		return rejectSuccess(x, r, errNoStream)
	case pr.route.Retry == route.Stream && isEventStream(x.Response.Header):
		pr.streamEnd = &streamEnd{caller: http.NewResponseController(pr.w), endExchange: cancel}
		pr.events.memory = s.EventMemory.NewStream(pr.streamEnd.end)
		defer pr.events.endAttempt()
		return s.relayStream(ctx, x, pr, entry, r, dispatched)
	}
	return s.relayResponse(ctx, x, pr, entry, r, dispatched)
}

// isEventStream reports whether the response to a request for a stream is one. A response without a media type
// counts as a stream, as its events would otherwise be relayed unchecked.
func isEventStream(h http.Header) bool {
	media := h.Get("Content-Type")
	if media == "" {
		return true
	}
	if end := strings.IndexAny(media, ";,"); end >= 0 {
		media = media[:end]
	}
	return strings.EqualFold(strings.TrimSpace(media), "text/event-stream")
}

// callerCheckTTL is how long the last check that the caller is still connected remains
// valid. On a daemon short of processor time a request may wait up to a second between
// placement and the connection to its target; without another check it would be sent after
// its caller has disconnected.
const callerCheckTTL = 20 * time.Millisecond

// targetRequest converts the caller's request to one for a target.
func (s *Server) targetRequest(ctx context.Context, pr *proxyRequest, entry registry.Entry, dispatched time.Time) targetconn.Request {
	return targetconn.Request{
		Method: pr.inbound.Method, RequestTarget: requestTarget(pr.inbound), Host: pr.inbound.Host, Header: endToEndHeaders(pr.inbound.Header), Body: pr.body,
		SetHeaders: func(h http.Header) {
			s.Dialect.SetTargetHeaders(h, ForwardInfo{
				Identity: entry.Identity, Workspace: pr.workspace,
				Remaining: time.Until(pr.deadline), LastEventID: pr.events.resumeAfter(), PrefixSource: s.prefixSource(pr, entry),
			})
		},
		MaxConnections: s.connectionLimit(pr.service.MaxConnections),
		History:        &pr.sentOn,
		MatchesResponse: func(status int, h http.Header, reused bool) bool {
			echoed := s.Dialect.ParseResponse(status, h)
			s.observeNotices(entry, status, echoed)
			s.Dialect.RemoveTargetNotices(h)
			if echoed.AttemptID == "" && pr.info.AttemptID != "" {
				s.Pool.StopReuse(entry.Address)
			}
			return echoed.answers(pr.info.AttemptID, reused)
		},
		MaySend: func() error {
			if s.checkSend(pr, entry.Identity) != nil {
				return errNotAllowed
			}
			return nil
		},
		CallerGone:  func() bool { return time.Since(dispatched) > callerCheckTTL && s.CallerGone(ctx) },
		WatchCaller: s.watchCaller(ctx, pr),
		OnMismatch:  func() { event.ResponseMismatched.Log(s.Log, "target", entry.Identity, "request", pr.info.AttemptID) },
	}
}

// connectionLimit returns how many connections to a target this daemon may use, of those that all may
// use; zero means no limit.
func (s *Server) connectionLimit(all int) int {
	if all <= 0 {
		return 0
	}
	return max(1, all/max(1, s.Config.ConnectionShare))
}

// watchCaller returns a function that aborts an exchange as soon as its caller disconnects,
// or nil if the daemon does not report disconnects.
func (s *Server) watchCaller(ctx context.Context, pr *proxyRequest) func(end func()) (stop func() bool) {
	if s.OnCallerGone == nil {
		return nil
	}
	return func(end func()) func() bool {
		return s.OnCallerGone(ctx, func() {
			pr.cancel() // before end, or the abort would be taken for a failure of the target
			end()
		})
	}
}

// prefixSource returns the address of the target from which the prompt's prefix is copied.
// It is empty if there is none, if that target was deregistered after the request was placed, as
// its address may belong to another service by now, or if nothing may be sent to it any more.
func (s *Server) prefixSource(pr *proxyRequest, destination registry.Entry) string {
	id := pr.stats.basis.FetchSource
	if id == "" {
		return ""
	}
	source, known := s.targets.Load().ByIdentity[id]
	if !known || !s.mayFetchFrom(pr, source, destination) {
		return ""
	}
	return source.Address
}

// exchangeFailure returns the result of an exchange that got no response, or one with a malformed head.
func (s *Server) exchangeFailure(entry registry.Entry, err error) attemptResult {
	var unsent *targetconn.UnsentError
	if errors.Is(err, targetconn.ErrCallerGone) {
		return attemptResult{failure: resultcode.Fail(resultcode.CallerGone, "")}
	}
	if errors.Is(err, errNotAllowed) {
		return attemptResult{failure: resultcode.Fail(resultcode.NoTarget, "target %s", entry.Identity).WithCause(err)}
	}
	if errors.As(err, &unsent) {
		return attemptResult{
			failure:      resultcode.Fail(resultcode.TargetRefused, "target %s", entry.Identity).WithCause(err),
			targetFailed: !errors.Is(err, targetconn.ErrConnectionLimit) && !errors.Is(err, context.Canceled),
		}
	}
	if errors.As(err, new(responsehead.Violation)) {
		return attemptResult{
			failure: resultcode.Fail(resultcode.TargetProtocol, "target %s", entry.Identity).WithCause(err),
			sent:    true, targetFailed: true,
		}
	}
	canceled := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return attemptResult{
		failure: resultcode.Fail(resultcode.ConnectionLost, "target %s", entry.Identity).WithCause(err),
		sent:    true, targetFailed: !canceled,
	}
}

// handleRefusal returns the result for a response which says that the request was not run.
func (s *Server) handleRefusal(x *targetconn.Exchange, r attemptResult) attemptResult {
	drainBody(x)
	r.failure = resultcode.Fail(resultcode.TargetRefused, "status %d", r.status)
	r.targetFailed = true
	return r
}

// drainBody reads a short response to its end, so that the connection can be reused.
func drainBody(x *targetconn.Exchange) {
	// An error only means that the connection is not reused.
	_, _ = io.CopyN(io.Discard, x, maxBufferedBody)
}

// handleErrorStatus handles an error response of the target itself. It is relayed unchanged
// unless its status implies that the request was not run, which this target did not confirm.
func (s *Server) handleErrorStatus(ctx context.Context, x *targetconn.Exchange, pr *proxyRequest, entry registry.Entry, r attemptResult, dispatched time.Time) attemptResult {
	r.firstByteTime = time.Since(dispatched)
	body, err := s.readWhole(x, entry)
	if err != nil {
		r.targetFailed = !callerGone(ctx, pr)
		r.failure = resultcode.Fail(resultcode.AnswerCut, "").WithCause(err)
		return r
	}
	r.failure = resultcode.Fail(resultcode.TargetError, "status %d", r.status)
	r.targetFailed = r.status >= http.StatusInternalServerError
	if !impliesNotRun(r.status) {
		r.buffered = &bufferedResponse{status: r.status, header: x.Response.Header, body: body}
	}
	return r
}

// impliesNotRun reports whether callers take the status to mean that the request was not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readWhole reads a response up to maxBufferedBody. It fails if the response has ended with its target.
func (s *Server) readWhole(x *targetconn.Exchange, entry registry.Entry) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, maxBufferedBody))
	if err == nil && len(body) < maxBufferedBody && s.endedWithTarget(x, entry) {
		return nil, errTargetEnded
	}
	return body, err
}

// relayResponse relays a response that is not an event stream.
func (s *Server) relayResponse(ctx context.Context, x *targetconn.Exchange, pr *proxyRequest, entry registry.Entry, r attemptResult, dispatched time.Time) attemptResult {
	prefix, err := s.readWhole(x, entry)
	r.firstByteTime = time.Since(dispatched)
	r.cost = float64(r.firstByteTime.Milliseconds())
	if err != nil {
		r.targetFailed = !callerGone(ctx, pr)
		r.failure = resultcode.Fail(resultcode.AnswerCut, "").WithCause(err)
		return r
	}
	s.writeHeader(pr, x.Response.StatusCode, x.Response.Header, x.Response.ContentLength)
	if _, err := pr.w.Write(prefix); err != nil {
		r.failure = resultcode.Fail(resultcode.CallerGone, "").WithCause(err)
		return r
	}
	if len(prefix) < maxBufferedBody {
		return r
	}
	_, err = io.Copy(pr.w, x)
	if err == nil && s.endedWithTarget(x, entry) {
		r.targetFailed, err = true, errTargetEnded
	}
	if err != nil {
		r.failure = resultcode.Fail(resultcode.AnswerCut, "").WithCause(err)
	}
	return r
}

// writeBuffered sends a buffered response to the caller.
func (s *Server) writeBuffered(pr *proxyRequest, response *bufferedResponse) {
	s.writeHeader(pr, response.status, response.header, int64(len(response.body)))
	// A write error means that the caller has disconnected.
	_, _ = pr.w.Write(response.body)
}

// releaseBody frees the body of a request that cannot be sent again. Its hashes are taken first.
func (s *Server) releaseBody(pr *proxyRequest) {
	if s.OnBody == nil || len(pr.body) < minReleasedBody {
		return
	}
	pr.filter()
	pr.fingerprint()
	pr.body = nil
	s.onBody(pr, 0, false)
}

// minReleasedBody is the size from which on a body is released before its request ends. Hashing it takes 1 ms of
// processor time per MB, which is more than the memory of a small one is worth.
const minReleasedBody = 16 << 10

// writeHeader sends the header of the response to the caller.
func (s *Server) writeHeader(pr *proxyRequest, status int, h http.Header, length int64) {
	out := pr.w.Header()
	maps.Copy(out, endToEndHeaders(h))
	if length >= 0 {
		out.Set("Content-Length", formatLength(length))
	} else {
		out.Del("Content-Length")
	}
	if _, set := out["Content-Type"]; !set {
		out["Content-Type"] = nil // keeps net/http from detecting one
	}
	if _, set := out["Date"]; !set {
		out["Date"] = nil
	}
	pr.responseStarted, pr.status = true, status
	if !(pr.route.Retry == route.Stream && pr.route.Resumable) {
		s.releaseBody(pr)
	}
	pr.stats.firstTarget, pr.stats.firstVersion = pr.stats.target, pr.stats.version
	pr.w.WriteHeader(status)
}

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1) or are set anew for the next one.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	maps.Copy(out, h)
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
