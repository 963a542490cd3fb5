// Package platformstandin simulates the platform's services: a transactional
// table, an object store, a list of VMs and a weight store. All are in memory
// behind the published HTTP binding. Tests inject faults into it, and a daemon in
// development mode runs it in its own process.
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
	// Clock is used for the TTL of rows, the rate limit of the weight store and
	// Faults.Delay. Default: the system clock.
	Clock clock.Clock
	// WeightInterval is the minimum time between two fetches that the weight
	// store's rate limit allows. Default: none.
	WeightInterval time.Duration
	// ReadsPerSecond and WritesPerSecond limit the calls of the table; calls above
	// them are rejected with status 429. Zero means no limit.
	ReadsPerSecond, WritesPerSecond float64
}

// newLimiter returns a rate limiter that allows bursts of a tenth of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Server simulates the platform's services. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	config Config
	router *mux.Router
	reads  *rate.Limiter
	writes *rate.Limiter

	mu            sync.Mutex
	table         *table
	objects       map[string][]byte
	vms           []wire.VM
	fetches       map[string]int
	nextFetchAt   time.Time
	faults        map[Store]*Faults
	calls         map[Store]int
	delayedWrites sync.WaitGroup
}

// New returns an empty Server.
func New(c Config) *Server {
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	s := &Server{
		config:  c,
		reads:   newLimiter(c.ReadsPerSecond),
		writes:  newLimiter(c.WritesPerSecond),
		table:   newTable(),
		objects: map[string][]byte{},
		fetches: map[string]int{},
		faults:  map[Store]*Faults{},
		calls:   map[Store]int{},
	}
	s.router = mux.NewRouter().UseEncodedPath()
	s.handle(http.MethodPost, wire.PathCommit, Table, s.commit)
	s.handle(http.MethodPost, wire.PathGet, Table, s.get)
	s.handle(http.MethodGet, wire.PathScan, Table, s.scan)
	s.handle(http.MethodPut, wire.PathObjects+"{name}", Objects, s.putObject)
	s.handle(http.MethodGet, wire.PathObjects+"{name}", Objects, s.getObject)
	s.handle(http.MethodGet, wire.PathVMs, VMs, s.listVMs)
	s.handle(http.MethodPost, wire.PathWeights+"{name}", Weights, s.fetchWeights)
	return s
}

func (s *Server) handle(method, path string, store Store, handler http.HandlerFunc) {
	s.router.Methods(method).Path(path).HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.applyFaults(w, r, store) {
			handler(w, r)
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// WaitForDelayedWrites waits until the writes delayed by LostWriteDelay have taken
// effect.
func (s *Server) WaitForDelayedWrites() { s.delayedWrites.Wait() }

// SetVMs replaces the list of VMs.
func (s *Server) SetVMs(vms ...wire.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append([]wire.VM(nil), vms...)
}

// Fetches returns the number of fetches of the weights with this name.
func (s *Server) Fetches(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches[name]
}

// Overwrite writes a row unconditionally, as another client of the platform could.
func (s *Server) Overwrite(key string, value []byte) {
	s.apply(wire.Commit{Operation: "overwrite", Puts: []wire.Put{{Key: key, Value: value}}})
}

// pathName returns the last segment of the path, which may contain encoded
// slashes.
func pathName(r *http.Request) string {
	text, err := url.PathUnescape(mux.Vars(r)["name"])
	if err != nil {
		abortConnection()
	}
	return text
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abortConnection()
	}
	s.mu.Lock()
	s.objects[pathName(r)] = body
	s.mu.Unlock()
	if s.consumeLostResponse(Objects) {
		abortConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.objects[pathName(r)]
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
	writeJSON(w, http.StatusOK, wire.VMs{VMs: s.vms})
}

// fetchWeights responds with the time for which the rate limit requires the caller
// to wait.
func (s *Server) fetchWeights(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	wait := max(s.nextFetchAt.Sub(now), 0)
	s.nextFetchAt = now.Add(wait + s.config.WeightInterval)
	s.fetches[pathName(r)]++
	writeJSON(w, http.StatusOK, wire.FetchReply{WaitMillis: wait.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
