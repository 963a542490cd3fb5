package attempt

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	streamsPath = "/v1/streams/"
	// cancelTimeout bounds the request that cancels a stream.
	cancelTimeout = 2 * time.Second
	// resumeBackoff is the delay before the second attempt to resume a stream without
	// a new chunk. It doubles with each further one, up to maxResumeBackoff.
	resumeBackoff     = 25 * time.Millisecond
	maxResumeBackoff  = time.Second
	maxErrorTextBytes = 512
)

// modelAttempt is the state of one Model call.
type modelAttempt struct {
	*Runner
	req       ModelRequest
	assembler *streamAssembler
	lifecycle lifecycle
	result    Result
	start     time.Time
	// lastProgress is when the last new chunk arrived, initially the start.
	lastProgress time.Time
	// backoff is the delay before the next attempt to resume the stream, zero once a
	// new chunk has arrived.
	backoff time.Duration
	// violation is the violation of the protocol that ended a connection, nil once a
	// new chunk has arrived.
	violation error
}

// Model runs a request on an engine and passes its answer to the sink. It returns
// when the answer is complete or the attempt has failed. The sink is not used
// after that.
func (r *Runner) Model(ctx context.Context, req ModelRequest, sink Sink) Result {
	ctx, span := r.startSpan(ctx, req.Address, string(req.Attempt))
	defer span.End()
	now := time.Now()
	m := &modelAttempt{Runner: r, req: req, assembler: newStreamAssembler(sink, req.StartOffset), lifecycle: newLifecycle(), start: now, lastProgress: now}
	m.result.Failure = m.run(ctx)
	m.result.Elapsed = time.Since(m.start)
	m.result.Outcome = m.lifecycle.outcome()
	m.result.Tokens = int(m.assembler.offset - req.StartOffset)
	m.result.PromptTokens = m.assembler.promptTokens
	r.recordResult(span, m.result)
	return m.result
}

func (r *Runner) startSpan(ctx context.Context, address, id string) (context.Context, trace.Span) {
	return r.cfg.Tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("server.address", address),
		attribute.String("savorystall.attempt", id),
	))
}

func (r *Runner) recordResult(span trace.Span, result Result) {
	span.SetAttributes(
		attribute.String("savorystall.outcome", string(result.Outcome)),
		attribute.Int("savorystall.tokens", result.Tokens),
		attribute.Int("savorystall.resumed", result.ResumeCount),
	)
	if result.Failure != nil {
		span.SetStatus(codes.Error, result.Failure.Code.Name)
	}
	switch result.Outcome {
	case resultcode.NotRun:
		r.metrics.notRun.Inc(1)
	case resultcode.MayHaveRun:
		r.metrics.unknown.Inc(1)
	}
}

// run executes the attempt up to its final state. It returns nil if the answer is
// complete.
func (m *modelAttempt) run(ctx context.Context) *resultcode.Failure {
	x, failure := m.open(ctx)
	if failure != nil {
		return failure
	}
	for {
		if x != nil {
			err := m.consumeStream(x)
			if err == nil {
				m.lifecycle.fire(triggerEnded)
				return nil
			}
			if failure := m.handleStreamError(ctx, err); failure != nil {
				return failure
			}
		}
		x, failure = m.resume(ctx)
		if failure != nil {
			return failure
		}
	}
}

// open sends the request. It returns a nil exchange without a failure if the
// connection was lost after the request may have been sent but before the
// response, or if the response is that to another request, so that the stream may
// exist.
func (m *modelAttempt) open(ctx context.Context) (*exchange, *resultcode.Failure) {
	req, err := m.buildRequest(ctx)
	if err != nil {
		m.lifecycle.fire(triggerRefused)
		return nil, newFailure(resultcode.BadRequest, err)
	}
	transport := m.unpooled
	if !m.req.Unrepeatable {
		transport = m.pooledTransport(m.req.Address)
	}
	x := m.newExchange(ctx, m.cfg.FirstByteTimeout)
	if err := x.send(transport, req); err != nil {
		defer x.abort()
		return nil, m.handleOpenError(ctx, x, err)
	}
	m.lifecycle.fire(triggerConnected)
	if m.isForeign(x) {
		x.closeConnection()
		m.metrics.violations.Inc(1)
		m.lifecycle.fire(triggerLost)
		return nil, nil
	}
	if x.resp.StatusCode != http.StatusOK {
		defer m.finish(x)
		return nil, m.statusFailure(x.resp)
	}
	m.result.Status = x.resp.StatusCode
	m.lifecycle.fire(triggerAnswered)
	if err := m.checkContinuation(x.resp); err != nil {
		x.abort()
		return nil, m.failIncomplete(resultcode.TargetProtocol, err)
	}
	return x, nil
}

// isForeign reports whether the response is that to another request, which may have
// arrived late on a reused connection.
func (m *modelAttempt) isForeign(x *exchange) bool {
	if named := x.resp.Header.Get(headerAttempt); named != "" {
		return named != string(m.req.Attempt)
	}
	return x.tracker.reused()
}

// finish ends an exchange whose response was read. Its connection is reused only if
// the engine names the attempt of a response: a late response to this request could
// otherwise be taken for that to the next one.
func (m *modelAttempt) finish(x *exchange) {
	if x.resp.Header.Get(headerAttempt) == "" {
		x.closeConnection()
		return
	}
	x.finish()
}

func (m *modelAttempt) buildRequest(ctx context.Context) (*http.Request, error) {
	h := requestHeader(ctx, m.req.Header)
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(headerAttempt, string(m.req.Attempt))
	if m.req.StartOffset > 0 {
		h.Set(headerLastEventID, strconv.FormatUint(m.req.StartOffset, 10))
	}
	if !validHeader(h) {
		return nil, errBadHeader
	}
	u, err := targetURL(m.req.Address, m.req.Path, "")
	if err != nil {
		return nil, err
	}
	return newRequest(ctx, http.MethodPost, u, h, m.req.Body), nil
}

// handleOpenError returns the failure of a request without a response, or nil if
// its stream may exist and has to be resumed.
func (m *modelAttempt) handleOpenError(ctx context.Context, x *exchange, err error) *resultcode.Failure {
	if !x.sealAndCheckSent() {
		return m.notSentFailure(ctx, err)
	}
	m.lifecycle.fire(triggerConnected)
	if ctx.Err() != nil {
		return m.canceledWithCode(resultcode.ConnectionLost, context.Cause(ctx))
	}
	m.checkInactivity(err)
	if errors.As(err, new(responsehead.Violation)) {
		m.metrics.violations.Inc(1)
		m.violation = err
	}
	m.lifecycle.fire(triggerLost)
	return nil
}

// notSentFailure returns the failure of a request of which no byte was sent.
func (m *modelAttempt) notSentFailure(ctx context.Context, err error) *resultcode.Failure {
	if ctx.Err() != nil {
		m.lifecycle.fire(triggerCanceled)
		m.result.Preempted = errors.Is(context.Cause(ctx), ErrPreempted)
		return newFailure(resultcode.CallerGone, context.Cause(ctx))
	}
	m.lifecycle.fire(triggerRefused)
	m.result.TargetFailed = !isLocalError(err)
	return newFailure(resultcode.TargetRefused, err)
}

// statusFailure returns the failure for a response with a status other than 200.
func (m *modelAttempt) statusFailure(resp *http.Response) *resultcode.Failure {
	m.result.Status = resp.StatusCode
	if notProcessed(resp) {
		m.lifecycle.fire(triggerNotProcessed)
		m.result.Leaving = resp.Header.Get(headerLeaving) == "true"
		return resultcode.Fail(resultcode.TargetRefused, "%s", m.req.Address)
	}
	m.lifecycle.fire(triggerBroken)
	m.result.TargetFailed = resp.StatusCode >= http.StatusInternalServerError
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	return resultcode.Fail(resultcode.TargetError, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
}

// notProcessed reports whether the target declares that it did not process the
// request.
func notProcessed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotProcessed) == "true"
}

// consumeStream passes the chunks of one connection to the sink. It returns nil at
// the end mark of a complete answer.
func (m *modelAttempt) consumeStream(x *exchange) error {
	if !strings.HasPrefix(x.resp.Header.Get("Content-Type"), "text/event-stream") {
		x.abort()
		return protocolError("the response is not an event stream")
	}
	err := m.readEvents(x)
	if err != nil {
		x.abort()
		return err
	}
	m.finish(x)
	return nil
}

func (m *modelAttempt) readEvents(x *exchange) error {
	in := newEventReader(x.resp.Body, m.cfg.MaxEventBytes)
	m.assembler.startConnection()
	for {
		x.extendDeadline(m.cfg.ProgressTimeout)
		e, err := in.next()
		if err != nil {
			return x.causeOr(err)
		}
		previousOffset := m.assembler.offset
		if !e.isHeartbeat() {
			done, err := m.assembler.processEvent(e)
			if err != nil || done {
				return err
			}
			m.recordProgress(previousOffset)
		}
		if m.assembler.offset == previousOffset && time.Since(m.lastProgress) > m.tokenTimeout() {
			return errTokenTimeout
		}
	}
}

// tokenTimeout returns the maximum wait for the next token.
func (m *modelAttempt) tokenTimeout() time.Duration {
	if m.assembler.offset == m.req.StartOffset {
		return cmp.Or(m.req.FirstTokenTimeout, m.cfg.TokenTimeout)
	}
	return cmp.Or(m.req.NextTokenTimeout, m.cfg.TokenTimeout)
}

// recordProgress records the time of a chunk that was passed to the sink, or
// counts it as late if it was dropped.
func (m *modelAttempt) recordProgress(previousOffset uint64) {
	if m.assembler.offset == previousOffset {
		m.metrics.lateChunks.Inc(1)
		return
	}
	m.lastProgress, m.backoff, m.violation = time.Now(), 0, nil
	if m.result.FirstByte == 0 {
		m.result.FirstByte = m.lastProgress.Sub(m.start)
	}
}

// handleStreamError returns the failure of an attempt whose connection ended
// without the end mark, or nil if the stream has to be resumed.
func (m *modelAttempt) handleStreamError(ctx context.Context, err error) *resultcode.Failure {
	var sinkErr *sinkError
	var engineErr *engineError
	var protocolErr protocolError
	switch {
	case ctx.Err() != nil:
		return m.answerCanceled(context.Cause(ctx))
	case errors.As(err, &sinkErr):
		return m.answerCanceled(sinkErr.cause)
	case errors.As(err, &engineErr):
		return m.failIncomplete(resultcode.TargetError, err)
	case errors.As(err, &protocolErr):
		return m.handleViolation(err)
	case errors.Is(err, errTokenTimeout):
		return m.failIncomplete(resultcode.TargetStalled, err)
	}
	m.checkInactivity(err)
	m.lifecycle.fire(triggerBroken)
	return nil
}

// handleViolation returns nil if a stream with an invalid event has to be resumed,
// since the fault may be limited to its connection. If no new chunk has arrived since
// the last violation, it returns the failure.
func (m *modelAttempt) handleViolation(err error) *resultcode.Failure {
	m.metrics.violations.Inc(1)
	if m.violation != nil {
		return m.failIncomplete(resultcode.TargetProtocol, err)
	}
	m.violation = err
	m.lifecycle.fire(triggerBroken)
	return nil
}

// failIncomplete ends an attempt whose answer cannot be completed and cancels its
// stream.
func (m *modelAttempt) failIncomplete(code resultcode.Code, cause error) *resultcode.Failure {
	m.lifecycle.fire(triggerCut)
	m.result.TargetFailed = true
	m.cancelStreamAsync()
	return newFailure(code, cause)
}

func (m *modelAttempt) checkInactivity(err error) {
	if errors.Is(err, errInactivityTimeout) {
		m.handleSilentConn(m.req.Address)
	}
}

// resume requests the rest of the stream on new connections until one succeeds or
// the resume window has passed.
func (m *modelAttempt) resume(ctx context.Context) (*exchange, *resultcode.Failure) {
	lastErr := error(errInactivityTimeout)
	for {
		if !clock.Sleep(ctx, clock.Real, m.backoff) {
			return nil, m.answerCanceled(context.Cause(ctx))
		}
		m.backoff = min(max(2*m.backoff, resumeBackoff), maxResumeBackoff)
		if time.Since(m.lastProgress) > m.cfg.ResumeWindow {
			return nil, m.resumeTimedOut(lastErr)
		}
		x, err := m.tryResume(ctx)
		switch {
		case err == nil:
			m.lifecycle.fire(triggerAnswered)
			return x, nil
		case ctx.Err() != nil:
			return nil, m.answerCanceled(context.Cause(ctx))
		case errors.Is(err, errStreamNotFound):
			return nil, m.failIncomplete(m.lostStreamCode(), cmp.Or(m.violation, err))
		}
		m.lifecycle.fire(triggerBroken)
		lastErr = err
	}
}

func (m *modelAttempt) resumeTimedOut(err error) *resultcode.Failure {
	if errors.Is(err, errInactivityTimeout) {
		return m.failIncomplete(resultcode.TargetStalled, err)
	}
	return m.failIncomplete(m.lostStreamCode(), cmp.Or(m.violation, err))
}

// lostStreamCode returns the code for a lost stream, which depends on how its
// connection ended and on whether the first chunk had arrived.
func (m *modelAttempt) lostStreamCode() resultcode.Code {
	if m.violation != nil {
		return resultcode.TargetProtocol
	}
	if m.assembler.offset == m.req.StartOffset {
		return resultcode.ConnectionLost
	}
	return resultcode.AnswerCut
}

// tryResume makes one attempt to resume the stream. It uses a new connection
// because the pooled ones to the target may have gone silent as well.
func (m *modelAttempt) tryResume(ctx context.Context) (*exchange, error) {
	x := m.newExchange(ctx, m.cfg.FirstByteTimeout)
	h := requestHeader(ctx, nil)
	h.Set("Accept", "text/event-stream")
	h.Set(headerLastEventID, strconv.FormatUint(m.assembler.offset, 10))
	m.result.ResumeCount++
	m.metrics.resumed.Inc(1)
	if err := x.send(m.unpooled, newRequest(ctx, http.MethodGet, m.streamURL(), h, nil)); err != nil {
		x.abort()
		return nil, err
	}
	switch x.resp.StatusCode {
	case http.StatusOK:
		return x, nil
	case http.StatusNotFound, http.StatusGone:
		x.abort()
		return nil, errStreamNotFound
	}
	defer x.abort()
	return nil, merry.Errorf("resume: status %d", x.resp.StatusCode)
}

func (m *modelAttempt) streamURL() *url.URL {
	return &url.URL{Scheme: "http", Host: m.req.Address, Path: streamsPath + string(m.req.Attempt)}
}

func newFailure(code resultcode.Code, cause error) *resultcode.Failure {
	return resultcode.Failure{Code: code}.WithCause(cause)
}
