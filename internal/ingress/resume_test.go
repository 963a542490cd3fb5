package ingress

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/ident"
)

// A request is preempted before its first token and twice during its response, so
// engines process its prompt four times. The workspace must be charged once for
// the prompt and once for each token; at the end, the engine's own count of prompt
// tokens replaces the estimate.
func TestPreemptedRequestIsChargedOnce(t *testing.T) {
	is := is.New(t)
	resume := &resumeState{promptCost: 100, keepText: true}
	is.True(!resume.beginAttempt())
	is.Equal(resume.endAttempt(attempt.Result{Preempted: true}), 0.0)
	is.Equal(resume.reprocessedTokens(), int64(0))
	is.True(!resume.beginAttempt())
	is.Equal(resume.endAttempt(attempt.Result{Preempted: true, Tokens: 30}), 130.0)
	is.True(resume.beginAttempt())
	is.Equal(resume.endAttempt(attempt.Result{Preempted: true, Tokens: 20}), 20.0)
	is.Equal(resume.preemptedTokens, uint64(50))
	is.Equal(resume.reprocessedTokens(), int64(150))
	is.True(resume.beginAttempt())
	is.Equal(resume.endAttempt(attempt.Result{Tokens: 50, PromptTokens: 120}), 70.0)
}

// The next attempt continues the output of preempted attempts. The output of a
// failed attempt must not be part of it.
func TestOnlyPreemptedAttemptsAreResumed(t *testing.T) {
	is := is.New(t)
	resume := &resumeState{keepText: true}
	take := func(data string) {
		is.NoErr(resume.addChunk(attempt.Chunk{Tokens: 1, Data: []byte(data)}))
	}
	resume.beginAttempt()
	take(`{"choices":[{"text":"lost "}]}`)
	resume.endAttempt(attempt.Result{Tokens: 1})
	resume.beginAttempt()
	take(`{"choices":[{"text":"a \"quoted\" "}]}`)
	take(`{"choices":[{"delta":{"content":"word"}}]}`)
	resume.endAttempt(attempt.Result{Tokens: 2, Preempted: true})
	body, err := resume.resumeBody([]byte(`{"prompt":"p","seed":7}`))
	is.NoErr(err)
	is.Equal(string(body), `{"answer":"a \"quoted\" word","prompt":"p","seed":7}`)
}

// A proxy closes a connection that is idle for too long. A stream that is paused for
// longer than that must send heartbeats.
func TestPausedStreamSendsHeartbeats(t *testing.T) {
	is := is.New(t)
	caller := httptest.NewRecorder()
	j := &job{w: newResponse(caller, ident.NewRequest()), streaming: true}
	j.startHeartbeat(time.Nanosecond)() // no heartbeat before the response starts: it may still become an error
	is.Equal(caller.Body.Len(), 0)
	_, err := j.w.Write([]byte("id: 1\ndata: {}\n\n"))
	is.NoErr(err)
	end := j.startHeartbeat(time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	end()
	is.True(strings.HasPrefix(caller.Body.String(), "id: 1\ndata: {}\n\n: paused\n\n"))
}

// BenchmarkAddChunk measures recording the output of a preemptible request.
func BenchmarkAddChunk(b *testing.B) {
	resume := &resumeState{keepText: true}
	chunk := attempt.Chunk{Tokens: 1, Data: []byte(`{"id":"cmpl-0123456789abcdef","object":"text_completion","created":1767225600,"model":"recap-1","choices":[{"index":0,"text":"0123abcd ","finish_reason":null}]}`)}
	b.ReportAllocs()
	for b.Loop() {
		if err := resume.addChunk(chunk); err != nil {
			b.Fatal(err)
		}
		resume.currentText.Reset()
	}
}
