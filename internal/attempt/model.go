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

	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	streamsPath = "/v1/streams/"
	// cancelTimeout bounds the cancelling of a stream.
	cancelTimeout = 2 * time.Second
	// resumePause is the wait before the second try to resume; it doubles up
	// to maxResumePause.
	resumePause    = 25 * time.Millisecond
	maxResumePause = time.Second
	maxErrorText   = 512
)

// modelAttempt is the state of one Model call.
type modelAttempt struct {
	*Runner
	req    ModelRequest
	stream *answer
	life   life
	result Result
	start  time.Time
	// moved is when the last new chunk arrived.
	moved time.Time
}

// Model runs a request on an engine and hands its answer to the sink. It
// returns when the answer is complete or the attempt has failed; the sink is
// not used afterwards.
func (r *Runner) Model(ctx context.Context, req ModelRequest, sink Sink) Result {
	ctx, span := r.startSpan(ctx, req.Address, string(req.Attempt))
	defer span.End()
	now := time.Now()
	m := &modelAttempt{Runner: r, req: req, stream: newAnswer(sink, req.After), life: newLife(), start: now, moved: now}
	m.result.Failure = m.run(ctx)
	m.result.Elapsed = time.Since(m.start)
	m.result.Outcome = m.life.outcome()
	m.result.Tokens = int(m.stream.offset - req.After)
	m.result.PromptTokens = m.stream.promptTokens
	r.record(span, m.result)
	return m.result
}

func (r *Runner) startSpan(ctx context.Context, address, id string) (context.Context, trace.Span) {
	return r.cfg.Tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("server.address", address),
		attribute.String("savorystall.attempt", id),
	))
}

func (r *Runner) record(span trace.Span, result Result) {
	span.SetAttributes(
		attribute.String("savorystall.outcome", string(result.Outcome)),
		attribute.Int("savorystall.tokens", result.Tokens),
		attribute.Int("savorystall.resumed", result.Resumed),
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

// run is the attempt up to its final state. It returns nil where the answer is
// complete.
func (m *modelAttempt) run(ctx context.Context) *resultcode.Failure {
	x, failure := m.open(ctx)
	if failure != nil {
		return failure
	}
	for {
		if x != nil {
			err := m.follow(x)
			if err == nil {
				m.life.fire(onEnded)
				return nil
			}
			if failure := m.broken(ctx, err); failure != nil {
				return failure
			}
		}
		x, failure = m.resume(ctx)
		if failure != nil {
			return failure
		}
	}
}

// open sends the request. It returns a nil exchange where the request left and
// its connection was lost before the answer, so that the stream may exist.
func (m *modelAttempt) open(ctx context.Context) (*exchange, *resultcode.Failure) {
	req, err := m.postRequest(ctx)
	if err != nil {
		m.life.fire(onRefused)
		return nil, fail(resultcode.BadRequest, err)
	}
	transport := m.fresh
	if !m.req.Unrepeatable {
		transport = m.pooled(m.req.Address)
	}
	x := m.newExchange(ctx, m.cfg.FirstByte)
	if err := x.send(transport, req); err != nil {
		defer x.abort()
		return nil, m.openFailed(ctx, x, err)
	}
	m.life.fire(onConnected)
	if x.resp.StatusCode != http.StatusOK {
		defer x.finish()
		return nil, m.refused(x.resp)
	}
	m.result.Status = x.resp.StatusCode
	m.life.fire(onAnswered)
	if err := m.checkContinued(x.resp); err != nil {
		x.abort()
		return nil, m.cut(resultcode.TargetProtocol, err)
	}
	return x, nil
}

func (m *modelAttempt) postRequest(ctx context.Context) (*http.Request, error) {
	h := requestHeader(ctx, m.req.Header)
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(headerAttempt, string(m.req.Attempt))
	if m.req.After > 0 {
		h.Set(headerLastEventID, strconv.FormatUint(m.req.After, 10))
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

// openFailed gives the verdict on a request without an answer, or nil where
// its stream may exist and is to be asked for.
func (m *modelAttempt) openFailed(ctx context.Context, x *exchange, err error) *resultcode.Failure {
	if !x.sent() {
		return m.notSent(ctx, err)
	}
	m.life.fire(onConnected)
	if ctx.Err() != nil {
		return m.stopped(resultcode.ConnectionLost, context.Cause(ctx))
	}
	m.noteSilence(err)
	m.life.fire(onLost)
	return nil
}

// notSent gives the verdict on a request of which no byte left.
func (m *modelAttempt) notSent(ctx context.Context, err error) *resultcode.Failure {
	if ctx.Err() != nil {
		m.life.fire(onCanceled)
		m.result.Preempted = errors.Is(context.Cause(ctx), ErrPreempted)
		return fail(resultcode.CallerGone, context.Cause(ctx))
	}
	m.life.fire(onRefused)
	m.result.TargetFailed = !localCause(err)
	return fail(resultcode.TargetRefused, err)
}

// refused gives the verdict on a status other than 200.
func (m *modelAttempt) refused(resp *http.Response) *resultcode.Failure {
	m.result.Status = resp.StatusCode
	if notProcessed(resp) {
		m.life.fire(onNotProcessed)
		m.result.Leaving = resp.Header.Get(headerLeaving) == "true"
		return resultcode.Fail(resultcode.TargetRefused, "%s", m.req.Address)
	}
	m.life.fire(onBroken)
	m.result.TargetFailed = resp.StatusCode >= http.StatusInternalServerError
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	return resultcode.Fail(resultcode.TargetError, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
}

// notProcessed tells whether the target says that it did not process the
// request.
func notProcessed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotProcessed) == "true"
}

// follow hands the chunks of one connection over. It returns nil at the end
// mark of a whole answer.
func (m *modelAttempt) follow(x *exchange) error {
	if !strings.HasPrefix(x.resp.Header.Get("Content-Type"), "text/event-stream") {
		x.abort()
		return protocolError("the answer is not an event stream")
	}
	err := m.readEvents(x)
	if err != nil {
		x.abort()
		return err
	}
	x.finish()
	return nil
}

func (m *modelAttempt) readEvents(x *exchange) error {
	in := newEventReader(x.resp.Body, m.cfg.MaxEvent)
	for {
		x.alive(m.cfg.Progress)
		e, err := in.next()
		if err != nil {
			return x.explain(err)
		}
		if e.comment {
			if time.Since(m.moved) > m.tokenDeadline() {
				return errNoToken
			}
			continue
		}
		before := m.stream.offset
		done, err := m.stream.take(e)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
		m.noteProgress(before)
	}
}

// tokenDeadline bounds the wait for the token that comes next.
func (m *modelAttempt) tokenDeadline() time.Duration {
	if m.stream.offset == m.req.After {
		return cmp.Or(m.req.FirstToken, m.cfg.TokenDeadline)
	}
	return cmp.Or(m.req.NextToken, m.cfg.TokenDeadline)
}

// noteProgress takes the time of a chunk that was handed over.
func (m *modelAttempt) noteProgress(before uint64) {
	if m.stream.offset == before {
		m.metrics.lateChunks.Inc(1)
		return
	}
	m.moved = time.Now()
	if m.result.First == 0 {
		m.result.First = m.moved.Sub(m.start)
	}
}

// broken gives the verdict on a connection that ended without the end mark, or
// nil where the stream is to be resumed.
func (m *modelAttempt) broken(ctx context.Context, err error) *resultcode.Failure {
	var taken *sinkError
	var told *engineError
	var violated protocolError
	switch {
	case ctx.Err() != nil:
		return m.canceled(context.Cause(ctx))
	case errors.As(err, &taken):
		return m.canceled(taken.cause)
	case errors.As(err, &told):
		return m.cut(resultcode.TargetError, err)
	case errors.As(err, &violated):
		return m.cut(resultcode.TargetProtocol, err)
	case errors.Is(err, errNoToken):
		return m.cut(resultcode.TargetStalled, err)
	}
	m.noteSilence(err)
	m.life.fire(onBroken)
	return nil
}

// cut ends an attempt whose answer cannot be completed.
func (m *modelAttempt) cut(code resultcode.Code, cause error) *resultcode.Failure {
	m.life.fire(onCut)
	m.result.TargetFailed = true
	m.cancelStream()
	return fail(code, cause)
}

func (m *modelAttempt) noteSilence(err error) {
	if errors.Is(err, errSilent) {
		m.distrust(m.req.Address)
	}
}

// resume asks for the rest of the stream on a new connection until one carries
// it or the resume window has passed.
func (m *modelAttempt) resume(ctx context.Context) (*exchange, *resultcode.Failure) {
	pause := time.Duration(0)
	lastErr := error(errSilent)
	for {
		if err := m.pause(ctx, pause); err != nil {
			return nil, m.canceled(err)
		}
		if time.Since(m.moved) > m.cfg.ResumeWindow {
			return nil, m.gaveUp(lastErr)
		}
		x, err := m.reopen(ctx)
		switch {
		case err == nil:
			m.life.fire(onAnswered)
			return x, nil
		case ctx.Err() != nil:
			return nil, m.canceled(context.Cause(ctx))
		case errors.Is(err, errNoStream):
			return nil, m.cut(m.lostCode(), err)
		}
		m.life.fire(onBroken)
		lastErr = err
		pause = min(max(2*pause, resumePause), maxResumePause)
	}
}

func (m *modelAttempt) gaveUp(err error) *resultcode.Failure {
	if errors.Is(err, errSilent) {
		return m.cut(resultcode.TargetStalled, err)
	}
	return m.cut(m.lostCode(), err)
}

// lostCode is the code for a stream that is gone: before its first chunk or
// within the answer.
func (m *modelAttempt) lostCode() resultcode.Code {
	if m.stream.offset == m.req.After {
		return resultcode.ConnectionLost
	}
	return resultcode.AnswerCut
}

func (m *modelAttempt) pause(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// reopen makes one try to resume. The connection is a new one, since others to
// the target may be silent as well.
func (m *modelAttempt) reopen(ctx context.Context) (*exchange, error) {
	x := m.newExchange(ctx, m.cfg.FirstByte)
	h := requestHeader(ctx, nil)
	h.Set("Accept", "text/event-stream")
	h.Set(headerLastEventID, strconv.FormatUint(m.stream.offset, 10))
	m.result.Resumed++
	m.metrics.resumed.Inc(1)
	if err := x.send(m.fresh, newRequest(ctx, http.MethodGet, m.streamURL(), h, nil)); err != nil {
		x.abort()
		return nil, err
	}
	switch x.resp.StatusCode {
	case http.StatusOK:
		return x, nil
	case http.StatusNotFound, http.StatusGone:
		x.abort()
		return nil, errNoStream
	}
	defer x.abort()
	return nil, merry.Errorf("resume: status %d", x.resp.StatusCode)
}

func (m *modelAttempt) streamURL() *url.URL {
	return &url.URL{Scheme: "http", Host: m.req.Address, Path: streamsPath + string(m.req.Attempt)}
}

func fail(code resultcode.Code, cause error) *resultcode.Failure {
	return resultcode.Failure{Code: code}.Because(cause)
}
