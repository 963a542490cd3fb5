// Package gateway serves callers over routes: it finds the route and workspace of
// a request, lets the scheduler place it, passes it to the target and hands the
// target's answer back unchanged. It decides nothing about shares or targets; what
// it may wait for is decided by package patience, whether a failed attempt is
// followed by another by package retry.
//
// Headers are translated by a Dialect, so that no name of a platform stands here.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetconn"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// Call is what a caller's headers say of its request.
type Call struct {
	// Attempt is the caller's name of the request, which targets echo.
	Attempt string
	// Patience is how long the caller waits; zero: not stated.
	Patience time.Duration
	// Key is the bearer key.
	Key string
	// LastEvent is the id of the last event that the caller has; zero: none.
	LastEvent uint64
	// PromptTokens and OutputTokens are the size of the prompt and the expected
	// one of the answer; zero: not stated.
	PromptTokens, OutputTokens int
	// Parts are those of the prompt, the first one first.
	Parts []booking.PromptPart
}

// Forward is what a target is told beside the caller's own headers.
type Forward struct {
	// Identity is the target that is to run the request; any other refuses.
	Identity  ident.Target
	Workspace ident.Workspace
	// Patience is how much of the caller's time is left.
	Patience time.Duration
	// LastEvent is the id of the last event that arrived; zero: from the start.
	LastEvent uint64
	// Source is the address of a target that keeps more of the prompt, to copy it
	// from; empty: none.
	Source string
}

// Answer is what the headers of a target's answer say.
type Answer struct {
	// Attempt is the request that the target names; empty: none.
	Attempt string
	// NotRun tells that the target has not run the request and never will.
	NotRun bool
	// Signed tells that the target vouches for the answer.
	Signed bool
}

// Dialect translates between headers and typed values.
type Dialect interface {
	Call(h http.Header) Call
	// ForTarget changes the caller's headers to those for a target.
	ForTarget(h http.Header, f Forward)
	Answer(status int, h http.Header) Answer
}

// Placer finds targets for requests.
type Placer interface {
	Place(ctx context.Context, r booking.Request) control.Placement
	First(id ident.Request, took time.Duration)
	Finish(id ident.Request, result booking.Result)
	// Wanted counts what was asked for and refused without asking for a place.
	Wanted(service ident.Service, workspace ident.Workspace, cost float64)
}

// Config bounds what the gateway does.
type Config struct {
	// Repeats is the fleet's budget of repeats for each service.
	Repeats retry.WindowConfig
	// ConnectionShare is how many daemons may share a target's connections at
	// most; each opens that part of the bound.
	ConnectionShare int
}

// maxPending bounds the requests that are being read or placed at once. It takes a
// few milliseconds each, so that more of them mean that the daemon does not keep up;
// their bodies, 24 kB on average and 140 kB at most where prompts are long, would
// then fill a small VM's memory, and the garbage collector would take what is left of
// the processor time. At 256 they take 6 MB, and 36 MB at the worst.
const maxPending = 256

// Deps are what the gateway works with.
type Deps struct {
	Config  Config
	Routes  *route.Holder
	Dialect Dialect
	Placer  Placer
	Pool    *targetconn.Pool
	// Gone tells whether the caller of a request has left, by its context.
	Gone func(ctx context.Context) bool
	// Watch calls end once when the caller of a request, by its context, has left, until
	// stop is called, which tells that end was not called; it may be nil.
	Watch func(ctx context.Context, end func()) (stop func() bool)
	// Sheds tells whether a new request is to be refused for want of processor time,
	// by its context.
	Sheds func(ctx context.Context) bool
	// Busy tells whether a part of new requests is refused so.
	Busy func() bool
	// Stale tells whether the routes may have changed without this daemon having had the
	// processor time to read them; it may be nil.
	Stale func() bool
	// Late tells how long ago a request has come that is read now, by its context; it may be
	// nil.
	Late func(ctx context.Context) time.Duration
	// Left tells whether the balancer leads no new connections here.
	Left    func() bool
	Metrics *telemetry.Metrics
	Tracing *telemetry.Tracing
	Log     *slog.Logger
}

// Lines a second about requests: failures are rare and each matters, refusals
// come by the thousand under overload, and of what went well a sample is enough.
const (
	failedLines  = 50
	refusedLines = 15
	servedLines  = 5
)

// lines bounds what is logged about requests.
type lines struct{ failed, refused, served *logging.Budget }

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	Deps
	targets atomic.Pointer[Targets]
	daemons atomic.Int64
	// closing is set when no new request is taken any more.
	closing atomic.Bool
	// pending counts the requests that are being read or placed.
	pending atomic.Int64
	lines   lines

	mu      sync.Mutex
	budgets map[ident.Service]*retry.Window
}

// Targets are the registered targets at one moment. It is immutable.
type Targets struct {
	ByIdentity map[ident.Target]registry.Entry
	// Usable are the services with a target that takes requests.
	Usable map[ident.Service]bool
}

// New returns the handler.
func New(deps Deps) *Server {
	s := &Server{Deps: deps, budgets: map[ident.Service]*retry.Window{}}
	s.lines = lines{
		failed: logging.NewBudget(failedLines), refused: logging.NewBudget(refusedLines), served: logging.NewBudget(servedLines),
	}
	s.targets.Store(&Targets{})
	s.daemons.Store(1)
	return s
}

// TellLeftOut logs how many lines were left out since the last call.
func (s *Server) TellLeftOut() {
	failed, refused, served := s.lines.failed.LeftOut(), s.lines.refused.LeftOut(), s.lines.served.LeftOut()
	if failed+refused+served > 0 {
		event.LinesDropped.Log(s.Log, "failed", failed, "refused", refused, "served", served)
	}
}

// SetTargets puts a new set of targets in force.
func (s *Server) SetTargets(t *Targets) { s.targets.Store(t) }

// SetDaemons tells how many daemons serve callers.
func (s *Server) SetDaemons(n int) { s.daemons.Store(int64(n)) }

// Close refuses all requests from now on. Those that were taken before go on.
func (s *Server) Close() { s.closing.Store(true) }

// Daemons returns how many daemons serve callers, this one included.
func (s *Server) Daemons() int { return int(s.daemons.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recover(r)
	if s.Sheds(r.Context()) {
		s.shed(w, r)
		return
	}
	ctx := s.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanIngress, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	j, failure := s.accept(w, r)
	if failure == nil {
		failure = s.run(ctx, j)
	}
	if failure != nil {
		span.SetAttributes(attribute.Int("code", failure.Code.Number))
	}
	s.end(w, r, j, failure)
}

// accepted counts a request in its service's budget of repeats.
func (s *Server) accepted(service ident.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Accepted(now)
}

// mayRepeat takes one repeat from its service's budget.
func (s *Server) mayRepeat(service ident.Service, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget(service).Allow(now)
}

func (s *Server) budget(service ident.Service) *retry.Window {
	b := s.budgets[service]
	if b == nil {
		b = retry.NewWindow(s.Config.Repeats)
		s.budgets[service] = b
	}
	b.SetDaemons(int(s.daemons.Load()))
	return b
}

// unanswered is a failure without an answer: the caller has left, or the answer
// has begun and must not look complete.
func unanswered(f *resultcode.Failure, j *job) bool {
	return f.Code == resultcode.CallerGone || j != nil && j.began
}
