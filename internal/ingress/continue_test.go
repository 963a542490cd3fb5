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

// A draft is stopped before its first token and twice within its answer. Engines
// read its prompt four times; its workspace is charged for it once, and for each
// token once, with the engine's own count of the prompt at the end.
func TestStoppedRequestIsChargedOnce(t *testing.T) {
	is := is.New(t)
	so := &soFar{prompt: 100, keep: true}
	is.True(!so.begin())
	is.Equal(so.end(attempt.Result{Preempted: true}), 0.0)
	is.Equal(so.reread(), int64(0))
	is.True(!so.begin())
	is.Equal(so.end(attempt.Result{Preempted: true, Tokens: 30}), 130.0)
	is.True(so.begin())
	is.Equal(so.end(attempt.Result{Preempted: true, Tokens: 20}), 20.0)
	is.Equal(so.tokens, uint64(50))
	is.Equal(so.reread(), int64(150))
	is.True(so.begin())
	is.Equal(so.end(attempt.Result{Tokens: 50, PromptTokens: 120}), 70.0)
}

// The text of an attempt that failed is not a part of what the next one goes on
// with; that of one that was stopped is.
func TestOnlyStoppedAttemptsAreContinued(t *testing.T) {
	is := is.New(t)
	so := &soFar{keep: true}
	take := func(data string) {
		is.NoErr(so.take(attempt.Chunk{Tokens: 1, Data: []byte(data)}))
	}
	so.begin()
	take(`{"choices":[{"text":"lost "}]}`)
	so.end(attempt.Result{Tokens: 1})
	so.begin()
	take(`{"choices":[{"text":"a \"quoted\" "}]}`)
	take(`{"choices":[{"delta":{"content":"word"}}]}`)
	so.end(attempt.Result{Tokens: 2, Preempted: true})
	body, err := so.body([]byte(`{"prompt":"p","seed":7}`))
	is.NoErr(err)
	is.Equal(string(body), `{"answer":"a \"quoted\" word","prompt":"p","seed":7}`)
}

// A stream is paused for longer than a proxy on the way keeps a silent connection.
func TestPausedStreamShowsLife(t *testing.T) {
	is := is.New(t)
	caller := httptest.NewRecorder()
	j := &job{w: newResponse(caller, ident.NewRequest()), streams: true}
	j.keepAlive(time.Nanosecond)() // nothing has begun: an error could still be answered
	is.Equal(caller.Body.Len(), 0)
	_, err := j.w.Write([]byte("id: 1\ndata: {}\n\n"))
	is.NoErr(err)
	end := j.keepAlive(time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	end()
	is.True(strings.HasPrefix(caller.Body.String(), "id: 1\ndata: {}\n\n: paused\n\n"))
}

// What it costs to keep the text of a request that can be stopped.
func BenchmarkKeepChunk(b *testing.B) {
	so := &soFar{keep: true}
	chunk := attempt.Chunk{Tokens: 1, Data: []byte(`{"id":"cmpl-0123456789abcdef","object":"text_completion","created":1767225600,"model":"recap-1","choices":[{"index":0,"text":"0123abcd ","finish_reason":null}]}`)}
	b.ReportAllocs()
	for b.Loop() {
		if err := so.take(chunk); err != nil {
			b.Fatal(err)
		}
		so.latest.Reset()
	}
}
