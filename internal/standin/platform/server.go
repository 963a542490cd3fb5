// Package platformstandin is a small stand-in for the platform's services: a
// transactional table, an object store, a list of VMs and a weight store, all
// in memory behind the published HTTP binding. Tests use it with faults, and a
// daemon in development mode runs it within its own process.
package platformstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/platform/wire"
)

// Config configures a Server.
type Config struct {
	// Clock times the TTL of rows; default the real one.
	Clock clock.Clock
	// WeightInterval is the least time between two fetches that the weight
	// store's rate limit allows; default none.
	WeightInterval time.Duration
	// ReadsPerSecond and WritesPerSecond bound the table; calls above them are
	// answered by 429. Zero means no bound.
	ReadsPerSecond, WritesPerSecond float64
}

// limiter allows bursts of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	config Config
	router *mux.Router
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	table   *table
	objects map[string][]byte
	vms     []wire.VM
	fetches map[string]int
	nextFor time.Time
	faults  map[Store]*Faults
	calls   map[Store]int
	late    sync.WaitGroup
}

// New returns an empty Server.
func New(c Config) *Server {
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	s := &Server{
		config:  c,
		reads:   limiter(c.ReadsPerSecond),
		writes:  limiter(c.WritesPerSecond),
		table:   newTable(),
		objects: map[string][]byte{},
		fetches: map[string]int{},
		faults:  map[Store]*Faults{},
		calls:   map[Store]int{},
	}
	s.router = mux.NewRouter().UseEncodedPath()
	s.route(http.MethodPost, wire.PathCommit, Table, s.commit)
	s.route(http.MethodPost, wire.PathGet, Table, s.get)
	s.route(http.MethodGet, wire.PathScan, Table, s.scan)
	s.route(http.MethodPut, wire.PathObjects+"{name}", Objects, s.putObject)
	s.route(http.MethodGet, wire.PathObjects+"{name}", Objects, s.getObject)
	s.route(http.MethodGet, wire.PathVMs, VMs, s.listVMs)
	s.route(http.MethodPost, wire.PathWeights+"{name}", Weights, s.fetchWeights)
	return s
}

func (s *Server) route(method, path string, store Store, handle http.HandlerFunc) {
	s.router.Methods(method).Path(path).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r, store) {
			handle(w, r)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Wait waits for the writes that take effect late.
func (s *Server) Wait() { s.late.Wait() }

// SetVMs replaces the list of VMs.
func (s *Server) SetVMs(list ...wire.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append([]wire.VM(nil), list...)
}

// Fetches returns how often the weights of a name were fetched.
func (s *Server) Fetches(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches[name]
}

// Overwrite writes a row as another client of the platform would.
func (s *Server) Overwrite(key string, value []byte) {
	s.apply(wire.Commit{Operation: "overwrite", Puts: []wire.Put{{Key: key, Value: value}}})
}

// name returns the last segment of the path, which may hold encoded slashes.
func name(r *http.Request) string {
	text, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		breakConnection()
	}
	return text
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		breakConnection()
	}
	s.mu.Lock()
	s.objects[name(r)] = body
	s.mu.Unlock()
	if s.loseAnswer(Objects) {
		breakConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.objects[name(r)]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, wire.VMs{VMs: s.vms})
}

// fetchWeights answers how long the caller has to wait for the rate limit.
func (s *Server) fetchWeights(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	wait := max(s.nextFor.Sub(now), 0)
	s.nextFor = now.Add(wait + s.config.WeightInterval)
	s.fetches[name(r)]++
	reply(w, http.StatusOK, wire.FetchReply{WaitMillis: wait.Milliseconds()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
