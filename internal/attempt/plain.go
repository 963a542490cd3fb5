package attempt

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// copyBufferSize is the size of the buffer for forwarding a body.
const copyBufferSize = 16 << 10

// plainAttempt is the state of one Plain call.
type plainAttempt struct {
	*Runner
	req       PlainRequest
	sink      PlainSink
	lifecycle lifecycle
	result    Result
	start     time.Time
}

// Plain runs a request on a plain service and forwards its response to the sink,
// whatever its status. A Failure after the response header was forwarded means
// that the body is incomplete; the caller's connection must then be aborted.
func (r *Runner) Plain(ctx context.Context, req PlainRequest, sink PlainSink) Result {
	ctx, span := r.startSpan(ctx, req.Address, string(req.Attempt))
	defer span.End()
	p := &plainAttempt{Runner: r, req: req, sink: sink, lifecycle: newLifecycle(), start: time.Now()}
	p.result.Failure = p.run(ctx)
	p.result.Elapsed = time.Since(p.start)
	p.result.Outcome = p.lifecycle.outcome()
	r.recordResult(span, p.result)
	return p.result
}

func (p *plainAttempt) run(ctx context.Context) *resultcode.Failure {
	req, err := p.buildRequest(ctx)
	if err != nil {
		p.lifecycle.fire(triggerRefused)
		return newFailure(resultcode.BadRequest, err)
	}
	x := p.newExchange(ctx, cmp.Or(p.req.FirstByteTimeout, p.cfg.PlainFirstByteTimeout))
	if err := x.send(p.selectTransport(), req); err != nil {
		defer x.abort()
		return p.noResponseFailure(ctx, x, err)
	}
	p.lifecycle.fire(triggerConnected)
	p.result.FirstByte = time.Since(p.start)
	p.result.Status = x.resp.StatusCode
	if failure := p.checkResponse(x.resp); failure != nil {
		x.abort()
		return failure
	}
	p.lifecycle.fire(triggerAnswered)
	if err := p.forwardResponse(x); err != nil {
		x.abort()
		return p.incompleteFailure(ctx, err)
	}
	x.finish()
	p.lifecycle.fire(triggerEnded)
	return nil
}

// selectTransport returns the transport for the request. Requests that must not be
// repeated, and TRACE, which net/http would retry on its own, get one that never
// reuses connections.
func (p *plainAttempt) selectTransport() *responsehead.Transport {
	if p.req.Unrepeatable || p.req.Method == http.MethodTrace {
		return p.unpooled
	}
	return p.pooledTransport(p.req.Address)
}

func (p *plainAttempt) buildRequest(ctx context.Context) (*http.Request, error) {
	h := requestHeader(ctx, p.req.Header)
	h.Set(headerAttempt, string(p.req.Attempt))
	if !validHeader(h) {
		return nil, errBadHeader
	}
	u, err := targetURL(p.req.Address, p.req.Path, p.req.RawQuery)
	if err != nil {
		return nil, err
	}
	return newRequest(ctx, p.req.Method, u, h, p.req.Body), nil
}

// noResponseFailure returns the failure of a request without a response header, or with a malformed one.
func (p *plainAttempt) noResponseFailure(ctx context.Context, x *exchange, err error) *resultcode.Failure {
	sent := x.sealAndCheckSent()
	if sent {
		p.lifecycle.fire(triggerConnected)
	}
	if ctx.Err() != nil {
		p.lifecycle.fire(triggerCanceled)
		if sent {
			return newFailure(resultcode.ConnectionLost, context.Cause(ctx))
		}
		return newFailure(resultcode.CallerGone, context.Cause(ctx))
	}
	p.result.TargetFailed = !isLocalError(err)
	if !sent {
		p.lifecycle.fire(triggerRefused)
		return newFailure(resultcode.TargetRefused, err)
	}
	p.lifecycle.fire(triggerBroken)
	if errors.Is(err, errInactivityTimeout) {
		p.handleSilentConn(p.req.Address)
		return newFailure(resultcode.TargetStalled, err)
	}
	if errors.As(err, new(responsehead.Violation)) {
		return newFailure(resultcode.TargetProtocol, err)
	}
	return newFailure(resultcode.ConnectionLost, err)
}

// checkResponse returns a failure if the response must not be forwarded.
func (p *plainAttempt) checkResponse(resp *http.Response) *resultcode.Failure {
	if notProcessed(resp) {
		p.lifecycle.fire(triggerNotProcessed)
		p.result.Leaving = resp.Header.Get(headerLeaving) == "true"
		return resultcode.Fail(resultcode.TargetRefused, "%s", p.req.Address)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		p.lifecycle.fire(triggerBroken)
		return resultcode.Fail(resultcode.TargetProtocol, "the service switched protocols")
	}
	if isCloseDelimited(resp, p.req.Method) {
		p.lifecycle.fire(triggerBroken)
		p.result.TargetFailed = true
		return resultcode.Fail(resultcode.TargetProtocol, "the response has no length")
	}
	return nil
}

// isCloseDelimited reports whether the body ends when the connection is closed.
//
// Such a response is rejected: if the connection breaks, a truncated body cannot
// be distinguished from a complete one.
func isCloseDelimited(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// forwardResponse copies the response to the sink. An error means that the
// response is incomplete; net/http reports a body that is shorter than its length
// or lacks its last chunk.
func (p *plainAttempt) forwardResponse(x *exchange) error {
	header := p.sink.Header()
	for name, values := range endToEndHeaders(x.resp.Header) {
		header[name] = values
	}
	p.sink.WriteHeader(x.resp.StatusCode)
	flusher, _ := p.sink.(http.Flusher)
	if x.resp.ContentLength >= 0 {
		flusher = nil
	}
	buf := make([]byte, copyBufferSize)
	for {
		x.extendDeadline(cmp.Or(p.req.ProgressTimeout, p.cfg.PlainProgressTimeout))
		n, err := x.resp.Body.Read(buf)
		if writeErr := p.forwardData(buf[:n], flusher); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.causeOr(err)
		}
	}
}

func (p *plainAttempt) forwardData(data []byte, flusher http.Flusher) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := p.sink.Write(data); err != nil {
		return &sinkError{cause: err}
	}
	if flusher != nil {
		flusher.Flush()
	}
	return nil
}

// incompleteFailure returns the failure for a response that was not forwarded
// completely.
func (p *plainAttempt) incompleteFailure(ctx context.Context, err error) *resultcode.Failure {
	var sinkErr *sinkError
	if ctx.Err() != nil || errors.As(err, &sinkErr) {
		p.lifecycle.fire(triggerCanceled)
		return newFailure(resultcode.AnswerCut, err)
	}
	p.lifecycle.fire(triggerCut)
	p.result.TargetFailed = true
	if errors.Is(err, errInactivityTimeout) {
		p.handleSilentConn(p.req.Address)
		return newFailure(resultcode.TargetStalled, err)
	}
	return newFailure(resultcode.AnswerCut, err)
}
