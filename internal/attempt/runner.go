// Package attempt runs one request on one target and reports its outcome reliably.
//
// Three rules always hold. The outcome is "not run" only if no write of the request
// to the target's transport was started, or if the target declares that it did not
// process the request. An attempt sends its request once: neither the HTTP
// transport below it nor the attempt itself repeats the request; a broken stream
// is resumed by its attempt ID at the exact offset. An answer is complete only with
// its end mark; everything else is a failure.
//
// docs/ENGINE-API.md describes the protocol between daemons and engines,
// docs/design/target-hop.md the design alternatives that were considered.
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
	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Config holds the timeouts and limits of a Runner.
type Config struct {
	// ConnectTimeout bounds the time to establish a connection. Default: 1 s.
	ConnectTimeout time.Duration
	// FirstByteTimeout bounds the wait for the response header of an engine, which
	// responds as soon as it has accepted a request. Default: 5 s.
	FirstByteTimeout time.Duration
	// ProgressTimeout bounds the time without data on an engine's stream. An
	// engine sends a heartbeat every second, whatever its step time. Default: 4 s.
	ProgressTimeout time.Duration
	// TokenTimeout bounds the wait for the next token while heartbeats arrive. It
	// is long because the step time of the engines is not known. Default: 2 min.
	TokenTimeout time.Duration
	// ResumeWindow is how long after the last new token a broken stream is still
	// resumed. Default: 10 s.
	ResumeWindow time.Duration
	// PlainFirstByteTimeout bounds the wait for the response header of a plain
	// service. Default: 60 s.
	PlainFirstByteTimeout time.Duration
	// PlainProgressTimeout bounds the time without data within the response body
	// of a plain service. Default: 20 s.
	PlainProgressTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long transmitted data may remain
	// unacknowledged before the connection is considered broken. Default: 5 s.
	UserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It is shorter than the
	// usual idle timeouts of servers, so that a request is rarely sent on a
	// connection that the target is closing. Default: 4 s.
	IdleTimeout time.Duration
	// MaxIdlePerTarget bounds the idle connections to one target. Default: 64.
	MaxIdlePerTarget int
	// MaxEventBytes bounds one event of a stream, which is kept until it is complete.
	// Default: 1 MiB.
	MaxEventBytes int
	// Tracer creates the span of each attempt. Default: a tracer of the global
	// provider.
	Tracer trace.Tracer
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

func (c Config) withDefaults() Config {
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, time.Second)
	c.FirstByteTimeout = cmp.Or(c.FirstByteTimeout, 5*time.Second)
	c.ProgressTimeout = cmp.Or(c.ProgressTimeout, 4*time.Second)
	c.TokenTimeout = cmp.Or(c.TokenTimeout, 2*time.Minute)
	c.ResumeWindow = cmp.Or(c.ResumeWindow, 10*time.Second)
	c.PlainFirstByteTimeout = cmp.Or(c.PlainFirstByteTimeout, time.Minute)
	c.PlainProgressTimeout = cmp.Or(c.PlainProgressTimeout, 20*time.Second)
	c.UserTimeout = cmp.Or(c.UserTimeout, 5*time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 4*time.Second)
	c.MaxIdlePerTarget = cmp.Or(c.MaxIdlePerTarget, 64)
	c.MaxEventBytes = cmp.Or(c.MaxEventBytes, 1<<20)
	if c.Tracer == nil {
		c.Tracer = otel.Tracer("github.com/savorystall/savorystall/internal/attempt")
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}

// Result describes how an attempt ended.
type Result struct {
	// Outcome is what is known about whether the request ran.
	Outcome resultcode.Outcome
	// Failure is nil if the complete answer was delivered.
	Failure *resultcode.Failure
	// Status is the HTTP status of the response; zero if there was none.
	Status int
	// Tokens is the number of tokens that this attempt passed to the sink.
	// PromptTokens is the number reported by the engine; zero if it reported none.
	Tokens, PromptTokens int
	// FirstByte is the time from the start to the first chunk or to the response
	// header (zero if there was none), Elapsed the time to the end.
	FirstByte, Elapsed time.Duration
	// ResumeCount is the number of connections after the first.
	ResumeCount int
	// TargetFailed reports that the target or the network path to it failed, as
	// opposed to the caller or the request.
	TargetFailed bool
	// Leaving reports that the target rejected the request because it is leaving.
	Leaving bool
	// Preempted reports that the attempt was stopped with ErrPreempted.
	Preempted bool
}

// Chunk is a part of an engine's answer.
type Chunk struct {
	// Offset is the number of tokens of the answer up to and including this chunk.
	Offset uint64
	// Tokens is the number of tokens in this chunk.
	Tokens int
	// Data is the JSON of the event. The receiver may retain it.
	Data []byte
}

// Sink receives the chunks of an answer in order, each exactly once.
type Sink interface {
	// Chunk receives one chunk. An error ends the attempt and cancels the stream.
	Chunk(Chunk) error
}

// ModelRequest is a request to a model engine.
type ModelRequest struct {
	// Attempt identifies the stream; it must never be reused.
	Attempt ident.Attempt
	// Address is host:port of the target.
	Address string
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path   string
	Header http.Header
	// Body is the JSON body. It must request a stream.
	Body []byte
	// FirstTokenTimeout bounds the wait for the first token, NextTokenTimeout that
	// for each later one, while heartbeats arrive. Zero means Config.TokenTimeout.
	FirstTokenTimeout, NextTokenTimeout time.Duration
	// Unrepeatable requests a new connection, as in PlainRequest.
	Unrepeatable bool
	// StartOffset is how many tokens of the answer earlier attempts have delivered.
	// The engine continues after them; Body contains what it needs for that.
	StartOffset uint64
}

// ErrPreempted is the cancellation cause of an attempt's context that preempts the
// attempt for another request. Result.Preempted is then set, and a stream that may
// exist has been canceled at the engine when the attempt returns.
var ErrPreempted = merry.New("preempted by another request")

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Attempt ident.Attempt
	// Address is host:port of the target.
	Address string
	Method  string
	// Path is the escaped path, RawQuery the encoded query without "?".
	Path, RawQuery string
	Header         http.Header
	Body           []byte
	// Unrepeatable requests a new connection. A reused one may be closing or may
	// have gone silent; it would then be unknown whether the request ran, and the
	// request could not be retried.
	Unrepeatable bool
	// FirstByteTimeout bounds the wait for the response header, ProgressTimeout the
	// time without data within the body. Zero means Config.PlainFirstByteTimeout
	// and Config.PlainProgressTimeout.
	FirstByteTimeout, ProgressTimeout time.Duration
}

// PlainSink receives the response of a plain service. Every http.ResponseWriter
// implements it. WriteHeader is called at most once, and not at all if the attempt
// fails before the response header.
type PlainSink interface {
	Header() http.Header
	WriteHeader(status int)
	Write([]byte) (int, error)
}

// Runner runs attempts. It is safe for concurrent use.
type Runner struct {
	cfg    Config
	dialer *dialer
	// unpooled opens a new connection for each request.
	unpooled *responsehead.Transport
	// cancelContext is the context of the requests that cancel streams. It ends
	// with the runner.
	cancelContext     context.Context
	stopCancellations context.CancelFunc
	cancellations     sync.WaitGroup
	metrics           metrics

	mu    sync.Mutex
	pools map[string]*pool
}

type metrics struct {
	resumed, stalled, lateChunks, violations, notRun, unknown tally.Counter
}

// NewRunner returns a Runner. Close releases its connections.
func NewRunner(cfg Config) *Runner {
	cfg = cfg.withDefaults()
	r := &Runner{
		cfg:    cfg,
		dialer: newDialer(cfg),
		pools:  map[string]*pool{},
		metrics: metrics{
			resumed:    cfg.Scope.Counter("attempt_streams_resumed"),
			stalled:    cfg.Scope.Counter("attempt_connections_silent"),
			lateChunks: cfg.Scope.Counter("attempt_late_chunks_dropped"),
			violations: cfg.Scope.Counter("attempt_streams_invalid"),
			notRun:     cfg.Scope.Counter("attempt_not_run"),
			unknown:    cfg.Scope.Counter("attempt_outcome_unknown"),
		},
	}
	r.cancelContext, r.stopCancellations = context.WithCancel(context.Background())
	r.unpooled = r.newTransport()
	r.unpooled.DisableKeepAlives = true
	return r
}

// Close waits up to cancelTimeout for pending stream cancellations and closes idle
// connections. All attempts must have ended.
func (r *Runner) Close() {
	done := make(chan struct{})
	go func() {
		r.cancellations.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(cancelTimeout):
	}
	r.stopCancellations()
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.transport.CloseIdleConnections()
	}
}
