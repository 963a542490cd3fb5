// Package attempt is the target hop: it runs one request on one target and says
// truthfully what became of it.
//
// Three rules hold throughout. A request is "not run" only where no write of it
// to the target's transport was begun, or where the target's protocol says that
// it was not processed. An attempt sends its request once: nothing below it
// (the HTTP transport) and nothing within it repeats the request; a broken
// stream is resumed by its attempt id at the exact offset. An answer is complete
// only with its end mark; all else is a failure.
//
// docs/ENGINE-API.md is the protocol towards engines and
// docs/design/target-hop.md says which ways were weighed.
package attempt

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Config holds the deadlines of the target hop.
type Config struct {
	// ConnectTimeout bounds the dialling of a connection. Default: 1 s.
	ConnectTimeout time.Duration
	// FirstByte bounds the wait for the response header of an engine, which
	// answers as soon as it has accepted a request. Default: 5 s.
	FirstByte time.Duration
	// Progress bounds the silence on an engine's stream. An engine writes a
	// heartbeat each second, whatever its step time is. Default: 4 s.
	Progress time.Duration
	// TokenDeadline bounds the wait for the next token while heartbeats
	// arrive. The step time of engines is not assumed, so that it is long.
	// Default: 2 min.
	TokenDeadline time.Duration
	// ResumeWindow bounds the time without a new token in which a broken
	// stream is resumed. Default: 10 s.
	ResumeWindow time.Duration
	// PlainFirstByte bounds the wait for the response header of a plain
	// service. Default: 60 s.
	PlainFirstByte time.Duration
	// PlainProgress bounds the silence within the body of a plain service's
	// response. Default: 20 s.
	PlainProgress time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long written bytes may stay without
	// acknowledgement before the connection counts as broken. Default: 5 s.
	UserTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It is shorter than
	// the idle timeouts usual at servers, so that a request seldom meets a
	// connection that the target is closing. Default: 4 s.
	IdleTimeout time.Duration
	// IdlePerTarget bounds the unused connections to one target. Default: 64.
	IdlePerTarget int
	// MaxEvent bounds one line of a stream in bytes. Default: 1 MiB.
	MaxEvent int
	// Tracer makes the span of the hop. Default: the global provider's.
	Tracer trace.Tracer
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

func (c Config) withDefaults() Config {
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, time.Second)
	c.FirstByte = cmp.Or(c.FirstByte, 5*time.Second)
	c.Progress = cmp.Or(c.Progress, 4*time.Second)
	c.TokenDeadline = cmp.Or(c.TokenDeadline, 2*time.Minute)
	c.ResumeWindow = cmp.Or(c.ResumeWindow, 10*time.Second)
	c.PlainFirstByte = cmp.Or(c.PlainFirstByte, time.Minute)
	c.PlainProgress = cmp.Or(c.PlainProgress, 20*time.Second)
	c.UserTimeout = cmp.Or(c.UserTimeout, 5*time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 4*time.Second)
	c.IdlePerTarget = cmp.Or(c.IdlePerTarget, 64)
	c.MaxEvent = cmp.Or(c.MaxEvent, 1<<20)
	if c.Tracer == nil {
		c.Tracer = otel.Tracer("github.com/savorystall/savorystall/internal/attempt")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

// Result tells how an attempt ended.
type Result struct {
	// Outcome is what is known about the run.
	Outcome resultcode.Outcome
	// Failure is nil where the whole answer was handed over.
	Failure *resultcode.Failure
	// Status is the HTTP status of the target; zero where none arrived.
	Status int
	// Tokens were handed to the sink by this attempt; PromptTokens is the engine's count, zero
	// where it did not tell.
	Tokens, PromptTokens int
	// First runs from the start to the first chunk or byte (zero: there was
	// none), Elapsed to the end.
	First, Elapsed time.Duration
	// Resumed counts the connections after the first.
	Resumed int
	// TargetFailed tells that the target or the way to it failed, as opposed to
	// the caller or the request.
	TargetFailed bool
	// Leaving tells that the target refused because it is leaving.
	Leaving bool
	// Preempted tells that the attempt was stopped by ErrPreempted.
	Preempted bool
}

// Chunk is a piece of an engine's answer.
type Chunk struct {
	// Offset counts the tokens of the answer up to and with this chunk.
	Offset uint64
	// Tokens is the number of tokens in this chunk.
	Tokens int
	// Data is the JSON of the event. The receiver may keep it.
	Data []byte
}

// Sink receives the chunks of an answer in order, each once.
type Sink interface {
	// Chunk takes one chunk. An error ends the attempt and cancels the stream.
	Chunk(Chunk) error
}

// ModelRequest is a request to a model engine.
type ModelRequest struct {
	// Attempt names the stream; it is never used twice.
	Attempt ident.Attempt
	// Address is host:port of the target.
	Address string
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path   string
	Header http.Header
	// Body is the JSON body and asks for a stream.
	Body []byte
	// FirstToken bounds the wait for the first token, NextToken that for each
	// later one, while heartbeats arrive. Zero: Config.TokenDeadline.
	FirstToken, NextToken time.Duration
	// Unrepeatable asks for a connection of its own, as in PlainRequest.
	Unrepeatable bool
	// After is how many tokens of the answer earlier attempts have handed over;
	// the engine goes on after them, and Body holds what it needs for that.
	After uint64
}

// ErrPreempted as the cause of the end of an attempt's context stops the attempt
// for another request: Result.Preempted is set, and the engine has been told.
var ErrPreempted = merry.New("stopped for another request")

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Attempt ident.Attempt
	// Address is host:port of the target.
	Address string
	Method  string
	// Path is the escaped path, RawQuery the query without "?".
	Path, RawQuery string
	Header         http.Header
	Body           []byte
	// Unrepeatable asks for a connection of its own: a reused one may be
	// closing already or have gone silent, and then nobody can tell whether the
	// request was run, and it cannot be tried again.
	Unrepeatable bool
	// FirstByte bounds the wait for the response's header, Progress the silence
	// within its body. Zero: Config.PlainFirstByte and Config.PlainProgress.
	FirstByte, Progress time.Duration
}

// PlainSink receives the response of a plain service. An http.ResponseWriter
// is one. WriteHeader is called at most once, and not at all where the attempt
// fails before the response's header.
type PlainSink interface {
	Header() http.Header
	WriteHeader(status int)
	Write([]byte) (int, error)
}

// Runner runs attempts. It is safe for concurrent use.
type Runner struct {
	cfg  Config
	dial *dialer
	// fresh makes a connection for each request.
	fresh *http.Transport
	// background ends with the runner; it bounds the cancelling of streams.
	background context.Context
	end        context.CancelFunc
	canceling  sync.WaitGroup
	metrics    metrics

	mu    sync.Mutex
	pools map[string]*pool
}

type metrics struct {
	resumed, stalled, lateChunks, notRun, unknown tally.Counter
}

// NewRunner returns a runner. Close releases its connections.
func NewRunner(cfg Config) *Runner {
	cfg = cfg.withDefaults()
	r := &Runner{
		cfg:   cfg,
		dial:  newDialer(cfg),
		pools: map[string]*pool{},
		metrics: metrics{
			resumed:    cfg.Scope.Counter("attempt_streams_resumed"),
			stalled:    cfg.Scope.Counter("attempt_connections_silent"),
			lateChunks: cfg.Scope.Counter("attempt_late_chunks_dropped"),
			notRun:     cfg.Scope.Counter("attempt_not_run"),
			unknown:    cfg.Scope.Counter("attempt_outcome_unknown"),
		},
	}
	r.background, r.end = context.WithCancel(context.Background())
	r.fresh = r.newTransport()
	r.fresh.DisableKeepAlives = true
	return r
}

// Close waits a short time for the cancelling of streams and closes unused
// connections. Attempts must have ended.
func (r *Runner) Close() {
	done := make(chan struct{})
	go func() {
		r.canceling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(cancelTimeout):
	}
	r.end()
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.transport.CloseIdleConnections()
	}
}
