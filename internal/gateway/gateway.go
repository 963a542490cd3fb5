// Package gateway implements the reverse proxy that serves callers according to routes. It
// determines the route and workspace of a request, has the scheduler place it, forwards it
// to the target and relays the target's response unchanged. It decides neither on shares nor
// on targets; package patience decides how long a request may wait, and package retry
// whether a failed attempt is retried.
//
// Headers are translated by a Dialect, so that the package is independent of any platform's
// header names.
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
	"github.com/savorystall/savorystall/internal/evacuation"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/eventmemory"
	"github.com/savorystall/savorystall/internal/eventstream"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/logging"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetconn"
	"github.com/savorystall/savorystall/internal/targetnotice"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// RequestInfo is the content of a caller's request headers.
type RequestInfo struct {
	// AttemptID is the caller's identifier of the request, which targets echo.
	AttemptID string
	// Remaining is how much longer the caller waits for the response; zero if not stated.
	Remaining time.Duration
	// Key is the bearer key.
	Key string
	// LastEventID is the ID of the last event that the caller has received. It is unknown if the
	// caller states 0 and resumes no attempt, as many do that have none.
	LastEventID eventstream.ID
	// Resumes is the AttemptID of the request that brought the first event of the stream that
	// this one resumes; empty if not stated.
	Resumes string
	// Malformed describes the first header that must be refused; empty if there is none.
	Malformed string
	// PromptTokens is the size of the prompt and OutputTokens the expected size of the
	// response; zero if not stated.
	PromptTokens, OutputTokens int
	// Parts lists the parts of the prompt in order.
	Parts []booking.PromptPart
}

// sharedParts returns the parts of the prompt without the last one, which belongs to the request
// itself or to its session.
func (i *RequestInfo) sharedParts() []booking.PromptPart {
	return i.Parts[:max(0, len(i.Parts)-1)]
}

// ForwardInfo is what a target is told in addition to the caller's own headers.
type ForwardInfo struct {
	// Identity is the target that must run the request; any other target refuses it.
	Identity  ident.Target
	Workspace ident.Workspace
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// LastEventID is the ID of the event after which the target is to begin; unknown to begin with the
	// first event.
	LastEventID eventstream.ID
	// PrefixSource is the address of a target that has cached more of the prompt, from which
	// it can be copied; empty if there is none.
	PrefixSource string
}

// ResponseInfo is the content of a target's response headers.
type ResponseInfo struct {
	// AttemptID is the identifier that the target echoes; empty if none.
	AttemptID string
	// NotRun reports that the target has not run the request and will not run it.
	NotRun bool
	// MisdirectedTo is the identity that a target states when it refuses a request that is meant for
	// another target; empty if it states none.
	MisdirectedTo ident.Target
	// Signed reports that the response carries the target's signature.
	Signed bool
	// Encoded reports that the body has a content encoding.
	Encoded bool
	// Leaving reports that the target says that it leaves.
	Leaving bool
	// Pause is how long the target, which refuses the request, wants no requests; zero if it does
	// not say. PauseMalformed is what it says instead of a time; empty if nothing.
	Pause          time.Duration
	PauseMalformed string
}

// answers reports whether the response is that to the request with an attempt ID. One that names no attempt is
// the target's own, such as a rejection, if no earlier request was sent on its connection; on a reused one, it
// may be a late response to that.
func (i *ResponseInfo) answers(attemptID string, reused bool) bool {
	if i.AttemptID != "" || attemptID == "" {
		return i.AttemptID == attemptID
	}
	return !reused && !i.Signed
}

// refusedBy reports whether the response states that the request, which is meant for the target of this
// identity, has not run. A target's own status 421 without another identity does not: its application may
// have run the request.
func (i *ResponseInfo) refusedBy(id ident.Target) bool {
	return i.NotRun || i.MisdirectedTo != "" && i.MisdirectedTo != id
}

// Dialect converts between a platform's headers and typed values.
type Dialect interface {
	ParseRequest(h http.Header) RequestInfo
	// SetTargetHeaders turns the caller's headers into those for a target.
	SetTargetHeaders(h http.Header, f ForwardInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
	// SignsSuccesses reports whether targets sign their responses with a status of 2xx and leave their
	// bodies unencoded, so that any other one is not theirs.
	SignsSuccesses() bool
	// IsEventField reports whether a line of an event with this name and value is a field that the streams
	// of this platform's targets have in addition to the standard ones, as the first line of an event.
	IsEventField(name, value []byte) bool
	// RemoveTargetNotices removes the headers that targets mean for daemons only.
	RemoveTargetNotices(h http.Header)
}

// Placer assigns requests to targets.
type Placer interface {
	Place(ctx context.Context, r booking.Request) control.Placement
	FirstByte(id ident.Request, took time.Duration)
	Finish(id ident.Request, result booking.Result)
	// RecordShed counts the cost of a request that was shed without placement as demand of
	// its workspace.
	RecordShed(service ident.Service, workspace ident.Workspace, cost float64)
}

// Origins remembers which service and software version began each stream.
type Origins interface {
	// Began records that the first event of a stream, or the first one after it was taken up
	// again, has been received from a target of this origin.
	Began(key origin.Key, o origin.Origin)
	// FindOrigin searches for the origin of a stream of a route.
	FindOrigin(ctx context.Context, id ident.Request, key origin.Key, route string) origin.Finding
}

// Config holds the limits of the gateway.
type Config struct {
	// RetryBudget is the fleet-wide retry budget of each service.
	RetryBudget retry.WindowConfig
	// ConnectionShare is the maximum number of daemons that share the connection limit of a
	// target; each uses an equal part of it.
	ConnectionShare int
}

// maxPending bounds the requests that are being read or placed concurrently. Either takes
// only a few milliseconds, so more of them mean that the daemon cannot keep up. Their
// bodies, 24 kB on average and 140 kB at most where prompts are long, would then fill the
// memory of a small VM, and garbage collection would use up the remaining processor time.
// 256 bodies take 6 MB, and 36 MB in the worst case.
const maxPending = 256

// Deps holds the dependencies of a Server.
type Deps struct {
	Config  Config
	Routes  *route.Holder
	Dialect Dialect
	Placer  Placer
	Origins Origins
	// Poison may be nil; no request is held back then.
	Poison Poison
	Pool   *targetconn.Pool
	// Health converts the headers of health checks. May be nil if CheckWarmth is not called.
	Health HealthDialect
	// EventMemory bounds the memory of the events of all streams. Default: the budget of a VM whose memory is not
	// known.
	EventMemory *eventmemory.Budget
	// Notices learns what targets say about themselves.
	Notices *targetnotice.Table
	// CallerGone reports whether the caller of the request with this context has
	// disconnected.
	CallerGone func(ctx context.Context) bool
	// OnCallerGone calls end once when the caller of the request with this context
	// disconnects, unless stop is called first; stop reports whether it prevented the call.
	// May be nil.
	OnCallerGone func(ctx context.Context, end func()) (stop func() bool)
	// OnBody is called when the memory that the request with this context occupies with its body changes.
	// Receiving is set while the body is being received. May be nil.
	OnBody func(ctx context.Context, workspace ident.Workspace, bytes int, receiving bool)
	// OnAbort is called before the connection of the request with this context is aborted
	// because the request gets no complete response. May be nil.
	OnAbort func(ctx context.Context, a AbortedRequest)
	// ShouldShed reports whether the new request with this context is to be refused for lack
	// of processor time.
	ShouldShed func(ctx context.Context) bool
	// LinkFull reports whether the network link of this VM is full, or was lately. May be nil.
	LinkFull func() bool
	// OutOfTouch reports whether this daemon's own messages are late or get no answer. May be nil.
	OutOfTouch func() bool
	// Shedding reports whether a fraction of the new requests is currently shed.
	Shedding func() bool
	// RoutesMayBeStale reports whether the routes may have changed while the daemon had no
	// processor time to read them. May be nil.
	RoutesMayBeStale func() bool
	// RoutesBehind reports whether newer routes than those known here may be in force elsewhere, so that
	// no request can be handled. May be nil.
	RoutesBehind func() bool
	// ReadDelay returns how long ago the request with this context, which is read now,
	// arrived. May be nil.
	ReadDelay func(ctx context.Context) time.Duration
	// OutOfRotation reports whether the load balancer has stopped sending new connections to
	// this daemon.
	OutOfRotation func() bool
	Metrics       *telemetry.Metrics
	Tracing       *telemetry.Tracing
	Log           *slog.Logger
}

// Maximum log lines per second about requests. Failures are rare and each one matters;
// refusals come by the thousand under overload; of served requests a sample is enough.
const (
	failedLogRate  = 50
	refusedLogRate = 15
	servedLogRate  = 5
)

// logBudgets limits the rate of log lines about requests.
type logBudgets struct{ failed, refused, served *logging.RateLimiter }

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	Deps
	targets atomic.Pointer[Targets]
	daemons atomic.Int64
	// closing is set once no new requests are accepted.
	closing atomic.Bool
	grace   *graceLimiter
	// pending counts the requests that are being read or placed.
	pending    atomic.Int64
	logBudgets logBudgets
	streams    streamCounts
	// resumeCredits bounds what callers gain by stating that they take up a stream.
	resumeCredits resumeCredits
	crashChecks   crashChecks
	unproven      unprovenCrashes
	// usualWaits holds a patience.Usual for the name of each route.
	usualWaits sync.Map

	mu           sync.Mutex
	retryBudgets map[ident.Service]*retry.Window
}

// Targets is an immutable snapshot of the registered targets.
type Targets struct {
	ByIdentity map[ident.Target]registry.Entry
	// Usable holds the services with at least one target that requests may be sent to.
	Usable map[ident.Service]bool
	// Evacuated are the availability zones to whose targets nothing may be sent. Regions maps
	// zones to their regions.
	Evacuated evacuation.Zones
	Regions   map[ident.Zone]ident.Region
}

// New returns a Server that knows no targets yet and no other daemon.
func New(deps Deps) *Server {
	s := &Server{Deps: deps, grace: newGraceLimiter(), resumeCredits: resumeCredits{byWorkspace: map[ident.Workspace]float64{}}, retryBudgets: map[ident.Service]*retry.Window{}}
	s.logBudgets = logBudgets{
		failed: logging.NewRateLimiter(failedLogRate), refused: logging.NewRateLimiter(refusedLogRate), served: logging.NewRateLimiter(servedLogRate),
	}
	if s.Poison == nil {
		s.Poison = noPoison{}
	}
	if s.Notices == nil {
		s.Notices = targetnotice.New()
	}
	if s.EventMemory == nil {
		s.EventMemory = eventmemory.New(0, time.Now)
	}
	s.targets.Store(&Targets{})
	s.daemons.Store(1)
	return s
}

// LogDroppedLines logs how many lines about requests were dropped since the last call.
func (s *Server) LogDroppedLines() {
	failed, refused, served := s.logBudgets.failed.TakeSuppressed(), s.logBudgets.refused.TakeSuppressed(), s.logBudgets.served.TakeSuppressed()
	if failed+refused+served > 0 {
		event.LinesSuppressed.Log(s.Log, "failed", failed, "refused", refused, "served", served)
	}
}

// SetTargets replaces the set of targets.
func (s *Server) SetTargets(t *Targets) {
	s.targets.Store(t)
	s.reportProvenCrashes()
}

// Evacuated returns the evacuated availability zones.
func (s *Server) Evacuated() evacuation.Zones { return s.targets.Load().Evacuated }

// SetDaemons sets how many daemons serve callers, this one included.
func (s *Server) SetDaemons(n int) { s.daemons.Store(int64(n)) }

// Close makes the server refuse all new requests. Requests accepted before continue.
func (s *Server) Close() { s.closing.Store(true) }

// Daemons returns how many daemons serve callers, this one included.
func (s *Server) Daemons() int { return int(s.daemons.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverPanic(r)
	if s.ShouldShed(r.Context()) {
		s.shed(w, r)
		return
	}
	ctx := s.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanIngress, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	pr, failure := s.accept(w, r)
	if failure == nil {
		failure = s.run(ctx, pr)
	}
	if failure != nil {
		span.SetAttributes(attribute.Int("code", failure.Code.Number))
	}
	s.finish(w, r, pr, failure)
}

// creditRetryBudget counts an accepted request in the retry budget of its service.
func (s *Server) creditRetryBudget(service ident.Service, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).Accepted(now)
}

// takeRetry takes one retry from the budget of the service and reports whether the budget
// allows it.
func (s *Server) takeRetry(service ident.Service, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Allow(now)
}

func (s *Server) retryBudget(service ident.Service) *retry.Window {
	b := s.retryBudgets[service]
	if b == nil {
		b = retry.NewWindow(s.Config.RetryBudget)
		s.retryBudgets[service] = b
	}
	b.SetDaemons(int(s.daemons.Load()))
	return b
}

// mustAbort reports whether a failure gets no response of its own and the connection is
// aborted instead: the caller has disconnected, or the response has started and must not
// appear complete.
func mustAbort(f *resultcode.Failure, pr *proxyRequest) bool {
	return f.Code == resultcode.CallerGone || pr != nil && pr.responseStarted
}
