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

// checkCompleteAnswer requires that the request ran once and that its answer is
// complete and exact.
func checkCompleteAnswer(t *testing.T, e *enginestandin.Engine, prompt string, sink *collectingSink, got attempt.Result) {
	t.Helper()
	is := is.NewRelaxed(t)
	is.True(got.Failure == nil)
	is.Equal(got.Outcome, resultcode.Ran)
	is.NoErr(sink.err)
	is.Equal(sink.text.String(), enginestandin.Text(prompt, answerTokens)) // each token once, in order
	is.Equal(got.Tokens, answerTokens)
	is.Equal(got.PromptTokens, enginestandin.PromptTokens(prompt))
	is.Equal(e.RunCount(prompt), 1) // the engine ran it once
}

func TestModelAnswerIsComplete(t *testing.T) {
	e, address := newEngine(t, enginestandin.Config{})
	sink := &collectingSink{}
	got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "plain", answerTokens), sink)
	checkCompleteAnswer(t, e, "plain", sink, got)
	is.New(t).Equal(got.ResumeCount, 0)
}

// The connection of a stream is cut, goes silent, ends normally without the end
// mark, or loses a token, while the stream continues in the engine. Treating this
// as the end would truncate the answer, and sending the request again would run
// it twice. The attempt must resume at the exact offset on a new connection.
func TestModelResumesBrokenStream(t *testing.T) {
	faults := map[string]enginestandin.FaultKind{
		"cut":                     enginestandin.FaultDisconnect,
		"silent connection":       enginestandin.FaultStall,
		"no end mark":             enginestandin.FaultEndEarly,
		"skipped token":           enginestandin.FaultSkipToken,
		"reset after write":       enginestandin.FaultReset,
		"no response after write": enginestandin.FaultNoResponse,
		"cut at last token":       enginestandin.FaultDisconnect,
		"cut before a token":      enginestandin.FaultDisconnect,
	}
	offsets := map[string]int{"cut at last token": answerTokens - 1, "cut before a token": 0}
	for name, kind := range faults {
		t.Run(name, func(t *testing.T) {
			e, address := newEngine(t, enginestandin.Config{})
			offset, set := offsets[name]
			if !set {
				offset = 10
			}
			e.Inject(enginestandin.Fault{Kind: kind, AfterTokens: offset})
			sink := &collectingSink{}
			got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, name, answerTokens), sink)
			checkCompleteAnswer(t, e, name, sink, got)
			is.New(t).Equal(got.ResumeCount, 1)
		})
	}
}

// The connection of a stream is cut, and so is each connection that resumes it,
// after one token each. The attempt must resume at the current offset each time.
func TestModelResumesRepeatedly(t *testing.T) {
	e, address := newEngine(t, enginestandin.Config{})
	for offset := 1; offset < 20; offset++ {
		e.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: offset})
	}
	sink := &collectingSink{}
	got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "again", answerTokens), sink)
	checkCompleteAnswer(t, e, "again", sink, got)
	is.New(t).Equal(got.ResumeCount, 19)
}

// An engine restarts and loses the stream, sends an error event within it, or
// fails the request. The rest of the answer will never arrive, so the attempt must
// return an error with the outcome "may have run".
func TestModelAnswerThatCannotBeCompletedFails(t *testing.T) {
	cases := map[string]struct {
		kind   enginestandin.FaultKind
		tokens int
		code   resultcode.Code
	}{
		"restart within the answer": {enginestandin.FaultLoseStream, 10, resultcode.AnswerCut},
		"restart before the answer": {enginestandin.FaultLoseStream, 0, resultcode.ConnectionLost},
		"error event":               {enginestandin.FaultErrorEvent, 10, resultcode.TargetError},
		"status 500":                {enginestandin.FaultServerError, 0, resultcode.TargetError},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, address := newEngine(t, enginestandin.Config{})
			e.Inject(enginestandin.Fault{Kind: c.kind, AfterTokens: c.tokens})
			sink := &collectingSink{}
			got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, name, answerTokens), sink)
			is.True(got.Failure != nil)
			is.Equal(got.Failure.Code.Name, c.code.Name)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
			is.Equal(sink.text.String(), enginestandin.Text(name, c.tokens)) // the received part is correct
			is.True(got.TargetFailed)
			is.Equal(e.RunCount(name), 1)
		})
	}
}

// An engine fails permanently within an answer: its connection is cut, and
// requests on new ones get no response. The attempt must give up after the resume
// window.
func TestModelGivesUpAfterResumeWindow(t *testing.T) {
	is := is.New(t)
	cfg := shortTimeouts()
	cfg.ResumeWindow = 200 * time.Millisecond
	e, address := newEngine(t, enginestandin.Config{})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultDisconnect, AfterTokens: 10})
	e.Inject(enginestandin.Fault{Kind: enginestandin.FaultNoResponse, Times: 1 << 20})
	sink := &collectingSink{}
	got := newRunner(t, cfg).Model(t.Context(), modelRequest(address, "gone", answerTokens), sink)
	is.True(got.Failure != nil)
	is.Equal(got.Failure.Code.Name, resultcode.TargetStalled.Name)
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.Equal(sink.offset, uint64(10))
}

// A caller that gets "not run" may submit the request again elsewhere. To prevent
// duplicate runs, the outcome may be "not run" only if no byte was sent or the
// engine declares that it did not process the request.
func TestModelNotRun(t *testing.T) {
	t.Run("dial refused", func(t *testing.T) {
		is := is.New(t)
		got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(faultlink.FreeAddress(t), "x", 1), &collectingSink{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.Equal(got.Failure.Code.Name, resultcode.TargetRefused.Name)
		is.True(got.TargetFailed)
	})
	t.Run("full", func(t *testing.T) {
		is := is.New(t)
		e, address := newEngine(t, enginestandin.Config{})
		e.Inject(enginestandin.Fault{Kind: enginestandin.FaultReject})
		got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "x", 1), &collectingSink{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.True(!got.Leaving)
		is.True(!got.TargetFailed)
		is.Equal(e.RunCount("x"), 0)
	})
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		e, address := newEngine(t, enginestandin.Config{})
		e.SetLeaving(true)
		got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "x", 1), &collectingSink{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.True(got.Leaving)
		is.Equal(e.RunCount("x"), 0)
	})
	t.Run("caller canceled before dial", func(t *testing.T) {
		is := is.New(t)
		e, address := newEngine(t, enginestandin.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		got := newRunner(t, shortTimeouts()).Model(ctx, modelRequest(address, "x", 1), &collectingSink{})
		is.Equal(got.Outcome, resultcode.NotRun)
		is.Equal(e.RunCount("x"), 0)
	})
}

// The target receives a request, and its connection is reset before a response.
// The request may be running, so "not run" would be false. The stream cannot be
// resumed because the target accepts no new connections.
func TestModelResetAfterWriteMayHaveRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", faultlink.FreeAddress(t)) // the address must refuse connections after it is closed
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
	cfg := shortTimeouts()
	cfg.ResumeWindow = 100 * time.Millisecond
	got := newRunner(t, cfg).Model(t.Context(), modelRequest(l.Addr().String(), "x", 1), &collectingSink{})
	<-done
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.Equal(got.Failure.Code.Name, resultcode.ConnectionLost.Name)
}

// An engine sends heartbeats but generates no token. The heartbeats must not keep
// the attempt waiting forever.
func TestModelWithoutTokensTimesOut(t *testing.T) {
	is := is.New(t)
	e, address := newEngine(t, enginestandin.Config{Step: time.Hour})
	req := modelRequest(address, "x", 1)
	req.FirstTokenTimeout = 100 * time.Millisecond
	got := newRunner(t, shortTimeouts()).Model(t.Context(), req, &collectingSink{})
	is.Equal(got.Outcome, resultcode.MayHaveRun)
	is.Equal(got.Failure.Code.Name, resultcode.TargetStalled.Name)
	is.Equal(got.ResumeCount, 0)
	eventually(t, "the stream is canceled", func() bool { return e.Counts().Canceled == 1 })
}

// A caller disconnects within an answer. The engine must stop generating, because
// other requests wait for its slots.
func TestModelCallerCancellationCancelsStream(t *testing.T) {
	cancellations := map[string]func(*collectingSink, context.CancelFunc){
		"context ended": func(s *collectingSink, cancel context.CancelFunc) {
			s.onChunk = func(uint64) error { cancel(); return nil }
		},
		"sink error": func(s *collectingSink, _ context.CancelFunc) {
			s.onChunk = func(uint64) error { return errors.New("pipe closed") }
		},
	}
	for name, cancelCall := range cancellations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, address := newEngine(t, enginestandin.Config{DetachedTimeout: time.Hour})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			sink := &collectingSink{}
			cancelCall(sink, cancel)
			got := newRunner(t, shortTimeouts()).Model(ctx, modelRequest(address, "x", 1<<20), sink)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
			is.True(!got.TargetFailed) // the target did not cause the failure
			eventually(t, "the engine's slot is free", func() bool { return e.Counts().Canceled == 1 && e.ActiveStreams() == 0 })
		})
	}
}

// A resumed connection repeats chunks that arrived before. They must be dropped,
// or the caller would receive the same text twice.
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
	sink := &collectingSink{}
	got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "x", 4), sink)
	is.True(got.Failure == nil)
	is.Equal(sink.text.String(), "abcd")
	is.Equal(got.Tokens, 4)
	is.Equal(got.PromptTokens, 7)
}

// An engine violates its protocol, so the completeness of its answer cannot be
// verified. The attempt must fail.
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
			got := newRunner(t, shortTimeouts()).Model(t.Context(), modelRequest(address, "x", 1), &collectingSink{})
			is.True(got.Failure != nil)
			is.Equal(got.Failure.Code.Name, resultcode.TargetProtocol.Name)
			is.Equal(got.Outcome, resultcode.MayHaveRun)
		})
	}
}
