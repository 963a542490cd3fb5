package attempt_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/resultcode"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

const draftTokens = 60

// preemptAt runs an attempt and preempts it once the answer has the given number of
// tokens.
func preemptAt(t *testing.T, r *attempt.Runner, req attempt.ModelRequest, sink *collectingSink, tokens uint64) attempt.Result {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	sink.onChunk = func(n uint64) error {
		if n >= tokens {
			cancel(attempt.ErrPreempted)
		}
		return nil
	}
	result := r.Model(ctx, req, sink)
	sink.onChunk = nil
	is.New(t).True(result.Preempted)
	is.New(t).Equal(result.Outcome, resultcode.MayHaveRun)
	return result
}

// continuationRequest returns the request that continues the answer after the text
// that the sink already has.
func continuationRequest(address, prompt string, sink *collectingSink) attempt.ModelRequest {
	req := modelRequest(address, prompt, draftTokens)
	if sink.offset == 0 {
		return req
	}
	body := map[string]any{}
	_ = json.Unmarshal(req.Body, &body)
	body["answer"] = sink.text.String()
	req.Body, _ = json.Marshal(body)
	req.StartOffset = sink.offset
	return req
}

// A request is preempted twice and continues each time on another engine that has
// no state of it. The caller must get every token exactly once, and each preempted
// stream must be canceled before its attempt returns.
func TestPreemptedTwiceKeepsAnswerExact(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	sink := &collectingSink{}
	var engines []*enginestandin.Engine
	for _, preemptOffset := range []uint64{7, 23, 0} {
		e, address := newEngine(t, enginestandin.Config{})
		engines = append(engines, e)
		req := continuationRequest(address, "draft", sink)
		if preemptOffset == 0 {
			result := r.Model(t.Context(), req, sink)
			is.True(result.Failure == nil)
			is.Equal(result.Tokens, draftTokens-int(req.StartOffset))
			continue
		}
		preemptAt(t, r, req, sink, preemptOffset)
		is.Equal(e.Counts().Canceled, 1) // the stream is canceled before its slot is reassigned
	}
	is.NoErr(sink.err)
	is.Equal(sink.text.String(), enginestandin.Text("draft", draftTokens))
	is.Equal(engines[0].Counts().RecomputedTokens, 0)
	is.True(engines[1].Counts().RecomputedTokens >= enginestandin.PromptTokens("draft")+7)
	is.Equal(engines[2].Counts().Continued, 1)
}

// The connection breaks at the token at which the request is preempted, and the
// attempt that continues has a broken connection and a skipped token. The caller
// must get every token exactly once.
func TestPreemptedWhileConnectionBreaks(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	first, address := newEngine(t, enginestandin.Config{})
	first.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: 10})
	sink := &collectingSink{}
	preemptAt(t, r, continuationRequest(address, "draft", sink), sink, 10)
	is.Equal(sink.offset, uint64(10))

	second, address := newEngine(t, enginestandin.Config{})
	second.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: 10})
	second.Inject(enginestandin.Fault{Kind: enginestandin.FaultSkipToken, AfterTokens: 30})
	result := r.Model(t.Context(), continuationRequest(address, "draft", sink), sink)
	is.True(result.Failure == nil)
	is.Equal(result.ResumeCount, 2)
	is.NoErr(sink.err)
	is.Equal(sink.text.String(), enginestandin.Text("draft", draftTokens))
}

// The request is preempted while the attempt tries to resume its stream after a
// broken connection. The attempt that continues must not deliver any token twice.
func TestPreemptedWhileResuming(t *testing.T) {
	is := is.New(t)
	cfg := shortTimeouts()
	cfg.ResumeWindow = time.Minute
	r := newRunner(t, cfg)
	e, address := newEngine(t, enginestandin.Config{})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: 5})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultNoResponse, Times: 100})
	sink := &collectingSink{}
	ctx, cancel := context.WithCancelCause(t.Context())
	ended := make(chan attempt.Result, 1)
	go func() { ended <- r.Model(ctx, continuationRequest(address, "draft", sink), sink) }()
	eventually(t, "two attempts to resume", func() bool { return e.Counts().Resumed >= 2 })
	cancel(attempt.ErrPreempted)
	result := <-ended
	is.True(result.Preempted)
	is.Equal(result.Tokens, 5)

	_, address = newEngine(t, enginestandin.Config{})
	is.True(r.Model(t.Context(), continuationRequest(address, "draft", sink), sink).Failure == nil)
	is.NoErr(sink.err)
	is.Equal(sink.text.String(), enginestandin.Text("draft", draftTokens))
}

// The service declares that its engines can continue an answer, but one cannot and
// starts a new one. The caller must not get a mixture of two answers.
func TestEngineThatDoesNotContinueIsRejected(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	_, address := newEngine(t, enginestandin.Config{})
	sink := &collectingSink{}
	preemptAt(t, r, continuationRequest(address, "draft", sink), sink, 10)
	offsetBefore := sink.offset

	_, address = newEngine(t, enginestandin.Config{IgnoreOffset: true})
	result := r.Model(t.Context(), continuationRequest(address, "draft", sink), sink)
	is.Equal(result.Failure.Code, resultcode.TargetProtocol)
	is.Equal(result.Tokens, 0)
	is.Equal(sink.offset, offsetBefore)
	is.True(strings.HasPrefix(enginestandin.Text("draft", draftTokens), sink.text.String()))
}

// A cancellation by the caller must not be reported as a preemption, because the
// stream must not be continued.
func TestCallerCancellationIsNotPreemption(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, shortTimeouts())
	_, address := newEngine(t, enginestandin.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	sink := &collectingSink{onChunk: func(uint64) error { cancel(); return nil }}
	result := r.Model(ctx, continuationRequest(address, "draft", sink), sink)
	is.True(!result.Preempted)
	is.Equal(result.Failure.Code, resultcode.AnswerCut)
}
