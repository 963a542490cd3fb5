package attempt_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/resultcode"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/test/faultlink"
)

const answerTokens = 40

// checkWhole requires the whole and exact answer of one run.
func checkWhole(t *testing.T, e *enginestandin.Engine, prompt string, sink *text, got attempt.Result) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.True(got.Failure == nil)
	is.Equal(got.Outcome, resultcode.Ran)
	is.NoErr(sink.err)
	is.Equal(sink.b.String(), enginestandin.Text(prompt, answerTokens)) // each token once, in order
	is.Equal(got.Tokens, answerTokens)
	is.Equal(got.PromptTokens, enginestandin.PromptTokens(prompt))
	is.Equal(e.Ran(prompt), 1) // the engine ran it once
}

func TestModelAnswerIsWhole(t *testing.T) {
	e, address := newEngine(t, enginestandin.Config{})
	sink := &text{}
	got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, "plain", answerTokens), sink)
	checkWhole(t, e, "plain", sink, got)
	is.New(t).Equal(got.Resumed, 0)
}

// A user watches an answer grow and its connection to the engine is cut, goes
// silent, ends in good order without the end mark, or loses a token on the way.
// The stream runs on in the engine. Shown as an end, the answer would be short;
// sent again, the request would run twice. The attempt asks for the rest at the
// exact offset on a new connection.
func TestModelResumesBrokenStream(t *testing.T) {
	faults := map[string]enginestandin.FaultKind{
		"cut":                enginestandin.FaultCut,
		"silent connection":  enginestandin.FaultSilence,
		"no end mark":        enginestandin.FaultEndEarly,
		"left out token":     enginestandin.FaultSkip,
		"reset after write":  enginestandin.FaultReset,
		"mute after write":   enginestandin.FaultMute,
		"cut at last token":  enginestandin.FaultCut,
		"cut before a token": enginestandin.FaultCut,
	}
	after := map[string]int{"cut at last token": answerTokens - 1, "cut before a token": 0}
	for name, kind := range faults {
		t.Run(name, func(t *testing.T) {
			e, address := newEngine(t, enginestandin.Config{})
			at, set := after[name]
			if !set {
				at = 10
			}
			e.Inject(enginestandin.Fault{Kind: kind, AfterTokens: at})
			sink := &text{}
			got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, name, answerTokens), sink)
			checkWhole(t, e, name, sink, got)
			is.New(t).Equal(got.Resumed, 1)
		})
	}
}

// A user's answer breaks off and every connection that resumes it breaks as
// well, after a token each. Each break must go on at the offset reached.
func TestModelResumesAgainAndAgain(t *testing.T) {
	e, address := newEngine(t, enginestandin.Config{})
	for at := 1; at < 20; at++ {
		e.Inject(enginestandin.Fault{Kind: enginestandin.FaultCut, AfterTokens: at})
	}
	sink := &text{}
	got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, "again", answerTokens), sink)
	checkWhole(t, e, "again", sink, got)
	is.New(t).Equal(got.Resumed, 19)
}

// An engine restarts within an answer and knows the stream no longer, reports
// an error within it, or fails on the request. The rest will never come, so that
// the user must get an error that says the request may have run.
func TestModelAnswerThatCannotBeCompletedFails(t *testing.T) {
	cases := map[string]struct {
		kind   enginestandin.FaultKind
		tokens int
		code   resultcode.Code
	}{
		"restart within the answer": {enginestandin.FaultForget, 10, resultcode.AnswerCut},
		"restart before the answer": {enginestandin.FaultForget, 0, resultcode.ConnectionLost},
		"error event":               {enginestandin.FaultErrorEvent, 10, resultcode.TargetError},
		"status 500":                {enginestandin.FaultFail, 0, resultcode.TargetError},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, address := newEngine(t, enginestandin.Config{})
			e.Inject(enginestandin.Fault{Kind: c.kind, AfterTokens: c.tokens})
			sink := &text{}
			got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, name, answerTokens), sink)
			is.True(got.Failure != nil)
			is.Equal(got.Failure.Code.Name, c.code.Name)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
			is.Equal(sink.b.String(), enginestandin.Text(name, c.tokens)) // what came is right
			is.True(got.TargetFailed)
			is.Equal(e.Ran(name), 1)
		})
	}
}

// An engine goes away for good within an answer: its connections end and new
// ones are refused. The attempt must give up once the resume window has passed.
func TestModelGivesUpAfterResumeWindow(t *testing.T) {
	is := is.New(t)
	cfg := quick()
	cfg.ResumeWindow = 200 * time.Millisecond
	e, address := newEngine(t, enginestandin.Config{})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultCut, AfterTokens: 10})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultMute, Times: 1 << 20})
	sink := &text{}
	got := newRunner(t, cfg).Model(t.Context(), modelRequest(address, "gone", answerTokens), sink)
	is.True(got.Failure != nil)
	is.Equal(got.Failure.Code.Name, resultcode.TargetStalled.Name)
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.Equal(sink.offset, uint64(10))
}

// A caller is told "not run" and files the request anew elsewhere. That is a
// double unless no byte has left, or the engine says it did not process it.
func TestModelNotRun(t *testing.T) {
	t.Run("dial refused", func(t *testing.T) {
		is := is.New(t)
		got := newRunner(t, quick()).Model(t.Context(), modelRequest(faultlink.FreeAddress(t), "x", 1), &text{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.Equal(got.Failure.Code.Name, resultcode.TargetRefused.Name)
		is.True(got.TargetFailed)
	})
	t.Run("full", func(t *testing.T) {
		is := is.New(t)
		e, address := newEngine(t, enginestandin.Config{})
		e.Inject(enginestandin.Fault{Kind: enginestandin.FaultRefuse})
		got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, "x", 1), &text{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.True(!got.Leaving)
		is.True(!got.TargetFailed)
		is.Equal(e.Ran("x"), 0)
	})
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		e, address := newEngine(t, enginestandin.Config{})
		e.SetLeaving(true)
		got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, "x", 1), &text{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.True(got.Leaving)
		is.Equal(e.Ran("x"), 0)
	})
	t.Run("caller gone before", func(t *testing.T) {
		is := is.New(t)
		e, address := newEngine(t, enginestandin.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		got := newRunner(t, quick()).Model(ctx, modelRequest(address, "x", 1), &text{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.Equal(e.Ran("x"), 0)
	})
}

// The target takes a request in and its host resets the connection before an
// answer. The request may be running, so that "not run" would be false. The
// stream cannot be asked for either.
func TestModelResetAfterWriteMayHaveRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", faultlink.FreeAddress(t)) // it must stay dead once it is closed
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		_ = l.Close()
	}()
	cfg := quick()
	cfg.ResumeWindow = 100 * time.Millisecond
	got := newRunner(t, cfg).Model(t.Context(), modelRequest(l.Addr().String(), "x", 1), &text{})
	<-done
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.Equal(got.Failure.Code.Name, resultcode.ConnectionLost.Name)
}

// An engine shows life and generates nothing. Its heartbeats must not hold the
// caller for ever.
func TestModelWithoutTokensIsGivenUp(t *testing.T) {
	is := is.New(t)
	e, address := newEngine(t, enginestandin.Config{Step: time.Hour})
	req := modelRequest(address, "x", 1)
	req.FirstToken = 100 * time.Millisecond
	got := newRunner(t, quick()).Model(t.Context(), req, &text{})
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.Equal(got.Failure.Code.Name, resultcode.TargetStalled.Name)
	is.Equal(got.Resumed, 0)
	eventually(t, "the slot is free", func() bool { return e.Counts().Canceled == 1 })
}

// A caller hangs up within an answer. The engine must not go on generating
// what nobody reads, since others wait for its slots.
func TestModelCallerGoneCancelsStream(t *testing.T) {
	ways := map[string]func(*text, context.CancelFunc){
		"context ended": func(s *text, cancel context.CancelFunc) {
			s.onChunk = func(uint64) error { cancel(); return nil }
		},
		"sink refused": func(s *text, _ context.CancelFunc) {
			s.onChunk = func(uint64) error { return errors.New("pipe closed") }
		},
	}
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, address := newEngine(t, enginestandin.Config{KeepDetached: time.Hour})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sink := &text{}
			leave(sink, cancel)
			got := newRunner(t, quick()).Model(ctx, modelRequest(address, "x", 1<<20), sink)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
			is.True(!got.TargetFailed) // the target is not to blame
			eventually(t, "the engine's slot is free", func() bool { return e.Counts().Canceled == 1 && e.Running() == 0 })
		})
	}
}

// An old connection of a stream is slow, the stream is resumed on another, and
// then chunks that were sent before arrive once more. Handed over, the user
// would read the same words twice.
func TestModelDropsRepeatedChunks(t *testing.T) {
	is := is.New(t)
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodPost {
			_, _ = w.Write([]byte("id: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\nid: 2\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n"))
			return
		}
		_, _ = w.Write([]byte("id: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\nid: 2\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\n" +
			"id: 4\ndata: {\"tokens\":2,\"choices\":[{\"text\":\"cd\",\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":4}}\n\ndata: [DONE]\n\n"))
	}), func() {})
	sink := &text{}
	got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, "x", 4), sink)
	is.True(got.Failure == nil)
	is.Equal(sink.b.String(), "abcd")
	is.Equal(got.Tokens, 4)
	is.Equal(got.PromptTokens, 7)
}

// An engine breaks its protocol. What it sent cannot be trusted to be whole.
func TestModelProtocolViolations(t *testing.T) {
	cases := map[string]struct{ contentType, body string }{
		"not a stream":         {"application/json", "{}"},
		"end mark too early":   {"text/event-stream", "id: 1\ndata: {\"choices\":[{}]}\n\ndata: [DONE]\n\n"},
		"no offset":            {"text/event-stream", "data: {\"choices\":[{}]}\n\n"},
		"not JSON":             {"text/event-stream", "id: 1\ndata: hello\n\n"},
		"usage does not match": {"text/event-stream", "id: 1\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n"},
		"negative tokens":      {"text/event-stream", "id: 1\ndata: {\"tokens\":-1}\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.contentType)
				_, _ = w.Write([]byte(c.body))
			}), func() {})
			got := newRunner(t, quick()).Model(t.Context(), modelRequest(address, "x", 1), &text{})
			is.True(got.Failure != nil)
			is.Equal(got.Failure.Code.Name, resultcode.TargetProtocol.Name)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
		})
	}
}
