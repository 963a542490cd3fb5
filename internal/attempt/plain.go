package attempt

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// copyBuffer is the size of the pieces in which a body is passed on.
const copyBuffer = 16 << 10

// plainAttempt is the state of one Plain call.
type plainAttempt struct {
	*Runner
	req    PlainRequest
	sink   PlainSink
	life   life
	result Result
	start  time.Time
}

// Plain runs a request on a plain service and passes its response to the sink,
// whatever its status is. A Failure after the response's header means that the
// body is not whole: the caller's connection must then be aborted.
func (r *Runner) Plain(ctx context.Context, req PlainRequest, sink PlainSink) Result {
	ctx, span := r.startSpan(ctx, req.Address, string(req.Attempt))
	defer span.End()
	p := &plainAttempt{Runner: r, req: req, sink: sink, life: newLife(), start: time.Now()}
	p.result.Failure = p.run(ctx)
	p.result.Elapsed = time.Since(p.start)
	p.result.Outcome = p.life.outcome()
	r.record(span, p.result)
	return p.result
}

func (p *plainAttempt) run(ctx context.Context) *resultcode.Failure {
	req, err := p.request(ctx)
	if err != nil {
		p.life.fire(onRefused)
		return fail(resultcode.BadRequest, err)
	}
	x := p.newExchange(ctx, cmp.Or(p.req.FirstByte, p.cfg.PlainFirstByte))
	if err := x.send(p.transport(), req); err != nil {
		defer x.abort()
		return p.unanswered(ctx, x, err)
	}
	p.life.fire(onConnected)
	p.result.First = time.Since(p.start)
	p.result.Status = x.resp.StatusCode
	if failure := p.inadmissible(x.resp); failure != nil {
		x.abort()
		return failure
	}
	p.life.fire(onAnswered)
	if err := p.pass(x); err != nil {
		x.abort()
		return p.cut(ctx, err)
	}
	x.finish()
	p.life.fire(onEnded)
	return nil
}

// transport returns one that never reuses a connection for requests that must
// not be repeated, and for TRACE, which net/http would repeat by itself.
func (p *plainAttempt) transport() *http.Transport {
	if p.req.Unrepeatable || p.req.Method == http.MethodTrace {
		return p.fresh
	}
	return p.pooled(p.req.Address)
}

func (p *plainAttempt) request(ctx context.Context) (*http.Request, error) {
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

// unanswered gives the verdict on a request without a response header.
func (p *plainAttempt) unanswered(ctx context.Context, x *exchange, err error) *resultcode.Failure {
	sent := x.sent()
	if sent {
		p.life.fire(onConnected)
	}
	if ctx.Err() != nil {
		p.life.fire(onCanceled)
		if sent {
			return fail(resultcode.ConnectionLost, context.Cause(ctx))
		}
		return fail(resultcode.CallerGone, context.Cause(ctx))
	}
	p.result.TargetFailed = !localCause(err)
	if !sent {
		p.life.fire(onRefused)
		return fail(resultcode.TargetRefused, err)
	}
	p.life.fire(onBroken)
	if errors.Is(err, errSilent) {
		p.distrust(p.req.Address)
		return fail(resultcode.TargetStalled, err)
	}
	return fail(resultcode.ConnectionLost, err)
}

// inadmissible gives the verdict on a response that is not passed on.
func (p *plainAttempt) inadmissible(resp *http.Response) *resultcode.Failure {
	if notProcessed(resp) {
		p.life.fire(onNotProcessed)
		p.result.Leaving = resp.Header.Get(headerLeaving) == "true"
		return resultcode.Fail(resultcode.TargetRefused, "%s", p.req.Address)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		p.life.fire(onBroken)
		return resultcode.Fail(resultcode.TargetProtocol, "the service switched protocols")
	}
	if unframed(resp, p.req.Method) {
		p.life.fire(onBroken)
		p.result.TargetFailed = true
		return resultcode.Fail(resultcode.TargetProtocol, "the response has no length")
	}
	return nil
}

// unframed tells whether the end of the connection is the end of the body.
//
// Such a body is refused: a connection that breaks would make a short answer
// look whole, and nothing in the response could show it.
func unframed(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// pass hands the response over. An error means that it is not whole; net/http
// reports a body that is shorter than its length or lacks its last chunk.
func (p *plainAttempt) pass(x *exchange) error {
	header := p.sink.Header()
	for name, values := range endToEnd(x.resp.Header) {
		header[name] = values
	}
	p.sink.WriteHeader(x.resp.StatusCode)
	flusher, _ := p.sink.(http.Flusher)
	if x.resp.ContentLength >= 0 {
		flusher = nil
	}
	buf := make([]byte, copyBuffer)
	for {
		x.alive(cmp.Or(p.req.Progress, p.cfg.PlainProgress))
		n, err := x.resp.Body.Read(buf)
		if failed := p.write(buf[:n], flusher); failed != nil {
			return failed
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.explain(err)
		}
	}
}

func (p *plainAttempt) write(piece []byte, flusher http.Flusher) error {
	if len(piece) == 0 {
		return nil
	}
	if _, err := p.sink.Write(piece); err != nil {
		return &sinkError{cause: err}
	}
	if flusher != nil {
		flusher.Flush()
	}
	return nil
}

// cut gives the verdict on a response that did not arrive whole.
func (p *plainAttempt) cut(ctx context.Context, err error) *resultcode.Failure {
	var taken *sinkError
	if ctx.Err() != nil || errors.As(err, &taken) {
		p.life.fire(onCanceled)
		return fail(resultcode.AnswerCut, err)
	}
	p.life.fire(onCut)
	p.result.TargetFailed = true
	if errors.Is(err, errSilent) {
		p.distrust(p.req.Address)
		return fail(resultcode.TargetStalled, err)
	}
	return fail(resultcode.AnswerCut, err)
}
