// Package ingress serves callers: it authenticates them, validates and classifies
// their requests, submits them to the scheduler, runs them on the assigned target
// and returns the response. Shares and the choice of targets are left to the
// scheduler.
package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// Headers that callers may send.
const (
	// HeaderOperation selects an operation from the document of a model service.
	HeaderOperation = "X-Savorystall-Operation"
	// HeaderIdempotencyKey makes it safe to retry a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID carries the request ID in every response.
	HeaderRequestID = "X-Savorystall-Request"
)

// Placer is the part of the scheduler that the ingress uses.
type Placer interface {
	Place(ctx context.Context, r scheduler.Request, requeue bool) control.Assignment
	Progress(id ident.Request, served float64)
	Finish(id ident.Request, result scheduler.Result)
	TargetHealth(service ident.Service, target ident.Target, health scheduler.Health)
}

// Claims ensures that a non-idempotent request runs at most once.
type Claims interface {
	Claim(ctx context.Context, key claim.Key, digest []byte, id ident.Attempt) (claim.Decision, error)
}

// Config holds the limits for requests of callers.
type Config struct {
	// BodyTimeout limits the time to receive a request body.
	BodyTimeout time.Duration
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Config  Config
	Store   *config.Store
	Placer  Placer
	Runner  *attempt.Runner
	Claims  Claims
	Metrics *telemetry.Metrics
	Tracing *telemetry.Tracing
	Log     *slog.Logger
}

// Server is the HTTP handler for callers.
type Server struct {
	Deps
	costs         *costEstimator
	retryPolicies *retryPolicies
	router        *mux.Router
}

// NewServer returns a Server with its routes registered.
func NewServer(deps Deps) *Server {
	s := &Server{Deps: deps, costs: newCostEstimator(), retryPolicies: newRetryPolicies(), router: mux.NewRouter()}
	s.router.UseEncodedPath()
	s.router.SkipClean(true)
	s.router.HandleFunc("/v1/completions", s.handleModel).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/chat/completions", s.handleModel).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/models", s.handleModelList).Methods(http.MethodGet)
	s.router.PathPrefix("/services/{service}").HandlerFunc(s.handlePlain)
	s.router.NotFoundHandler = s.failureHandler(resultcode.NotFound)
	s.router.MethodNotAllowedHandler = s.failureHandler(resultcode.MethodNotAllowed)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverPanic(w, r)
	s.router.ServeHTTP(w, r)
}

func (s *Server) failureHandler(code resultcode.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeFailure(newResponse(w, ident.NewRequest()), "", resultcode.Fail(code, "%s %s", r.Method, r.URL.Path))
	})
}
