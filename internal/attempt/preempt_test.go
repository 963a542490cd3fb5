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

// stopAt runs an attempt and stops it for another request once the answer has so
// many tokens.
func stopAt(t *testing.T, r *attempt.Runner, req attempt.ModelRequest, sink *text, tokens uint64) attempt.Result {
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

// after is the request that goes on with what the sink has.
func after(address, prompt string, sink *text) attempt.ModelRequest {
	req := modelRequest(address, prompt, draftTokens)
	if sink.offset == 0 {
		return req
	}
	body := map[string]any{}
	_ = json.Unmarshal(req.Body, &body)
	body["answer"] = sink.b.String()
	req.Body, _ = json.Marshal(body)
	req.After = sink.offset
	return req
}

// A draft is stopped twice for questions and goes on each time on another engine
// that has nothing of it. Its caller gets every token once; the engines that were
// left have free slots when the attempts have returned.
func TestStoppedTwiceAndExact(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, quick())
	sink := &text{}
	var engines []*enginestandin.Engine
	for _, stop := range []uint64{7, 23, 0} {
		e, address := newEngine(t, enginestandin.Config{})
		engines = append(engines, e)
		req := after(address, "draft", sink)
		if stop == 0 {
			result := r.Model(t.Context(), req, sink)
			is.True(result.Failure == nil)
			is.Equal(result.Tokens, draftTokens-int(req.After))
			continue
		}
		stopAt(t, r, req, sink, stop)
		is.Equal(e.Counts().Canceled, 1) // the engine knows before the slot is given away
	}
	is.NoErr(sink.err)
	is.Equal(sink.b.String(), enginestandin.Text("draft", draftTokens))
	is.Equal(engines[0].Counts().Reread, 0)
	is.True(engines[1].Counts().Reread >= enginestandin.PromptTokens("draft")+7)
	is.Equal(engines[2].Counts().Continued, 1)
}

// The connection breaks at the very token at which the draft is stopped, and the
// one that goes on breaks again and leaves out a token. Every token comes once.
func TestStoppedWhileTheConnectionBreaks(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, quick())
	first, address := newEngine(t, enginestandin.Config{})
	first.Inject(enginestandin.Fault{Kind: enginestandin.FaultCut, AfterTokens: 10})
	sink := &text{}
	stopAt(t, r, after(address, "draft", sink), sink, 10)
	is.Equal(sink.offset, uint64(10))

	second, address := newEngine(t, enginestandin.Config{})
	second.Inject(enginestandin.Fault{Kind: enginestandin.FaultCut, AfterTokens: 10})
	second.Inject(enginestandin.Fault{Kind: enginestandin.FaultSkip, AfterTokens: 30})
	result := r.Model(t.Context(), after(address, "draft", sink), sink)
	is.True(result.Failure == nil)
	is.Equal(result.Resumed, 2)
	is.NoErr(sink.err)
	is.Equal(sink.b.String(), enginestandin.Text("draft", draftTokens))
}

// The stop comes when the stream is lost on a silent connection and is being
// asked for again. Nothing is handed over twice by the attempt that goes on.
func TestStoppedWhileResuming(t *testing.T) {
	is := is.New(t)
	cfg := quick()
	cfg.ResumeWindow = time.Minute
	r := newRunner(t, cfg)
	e, address := newEngine(t, enginestandin.Config{})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultCut, AfterTokens: 5})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultMute, Times: 100})
	sink := &text{}
	ctx, cancel := context.WithCancelCause(t.Context())
	ended := make(chan attempt.Result, 1)
	go func() { ended <- r.Model(ctx, after(address, "draft", sink), sink) }()
	eventually(t, "two tries to resume", func() bool { return e.Counts().Resumed >= 2 })
	cancel(attempt.ErrPreempted)
	result := <-ended
	is.True(result.Preempted)
	is.Equal(result.Tokens, 5)

	_, address = newEngine(t, enginestandin.Config{})
	is.True(r.Model(t.Context(), after(address, "draft", sink), sink).Failure == nil)
	is.NoErr(sink.err)
	is.Equal(sink.b.String(), enginestandin.Text("draft", draftTokens))
}

// The service says that its engines can go on, and one cannot: it begins another
// answer. The caller must not get a text put together from two.
func TestEngineThatDoesNotGoOnIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, quick())
	_, address := newEngine(t, enginestandin.Config{})
	sink := &text{}
	stopAt(t, r, after(address, "draft", sink), sink, 10)
	had := sink.offset

	_, address = newEngine(t, enginestandin.Config{NoContinue: true})
	result := r.Model(t.Context(), after(address, "draft", sink), sink)
	is.Equal(result.Failure.Code, resultcode.TargetProtocol)
	is.Equal(result.Tokens, 0)
	is.Equal(sink.offset, had)
	is.True(strings.HasPrefix(enginestandin.Text("draft", draftTokens), sink.b.String()))
}

// A caller leaves: that is no preemption, and nobody goes on with the stream.
func TestCallerThatLeavesIsNoPreemption(t *testing.T) {
	is := is.New(t)
	r := newRunner(t, quick())
	_, address := newEngine(t, enginestandin.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	sink := &text{onChunk: func(uint64) error { cancel(); return nil }}
	result := r.Model(ctx, after(address, "draft", sink), sink)
	is.True(!result.Preempted)
	is.Equal(result.Failure.Code, resultcode.AnswerCut)
}
