// Package ingress serves callers: it authenticates them, bounds and classifies
// their requests, lets the scheduler place them, runs them on the target and
// hands back the answer. It decides nothing about shares or targets.
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
	// HeaderOperation names the operation of a model service's document.
	HeaderOperation = "X-Savorystall-Operation"
	// HeaderIdempotencyKey makes a repeat of an unrepeatable request safe.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequest carries the request id in every answer.
	HeaderRequest = "X-Savorystall-Request"
)

// Placer is the scheduler as the ingress sees it.
type Placer interface {
	Place(ctx context.Context, r scheduler.Request, again bool) control.Assignment
	Progress(id ident.Request, served float64)
	Finish(id ident.Request, result scheduler.Result)
	TargetHealth(service ident.Service, target ident.Target, health scheduler.Health)
}

// Claims guards unrepeatable requests.
type Claims interface {
	Claim(ctx context.Context, key claim.Key, digest []byte, id ident.Attempt) (claim.Decision, error)
}

// Config bounds what callers may send.
type Config struct {
	// BodyTimeout bounds the arrival of a body.
	BodyTimeout time.Duration
}

// Deps are what the ingress works with.
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
	estimates *estimates
	retries   *retries
	router    *mux.Router
}

// NewServer returns the handler.
func NewServer(deps Deps) *Server {
	s := &Server{Deps: deps, estimates: newEstimates(), retries: newRetries(), router: mux.NewRouter()}
	s.router.UseEncodedPath()
	s.router.SkipClean(true)
	s.router.HandleFunc("/v1/completions", s.model).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/chat/completions", s.model).Methods(http.MethodPost)
	s.router.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	s.router.PathPrefix("/services/{service}").HandlerFunc(s.plain)
	s.router.NotFoundHandler = s.refuseAll(resultcode.NotFound)
	s.router.MethodNotAllowedHandler = s.refuseAll(resultcode.MethodNotAllowed)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recover(w, r)
	s.router.ServeHTTP(w, r)
}

func (s *Server) refuseAll(code resultcode.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.answerFailure(newResponse(w, ident.NewRequest()), "", resultcode.Fail(code, "%s %s", r.Method, r.URL.Path))
	})
}
