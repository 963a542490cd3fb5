// Package enginestandin simulates a model engine for tests and for the daemon's
// development mode. It uses continuous batching, has no priorities, admits
// requests in order of arrival, streams answers that a client can verify token
// by token, and records every request that it ran. Faults are injected through
// its methods.
package enginestandin

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Config configures an Engine.
type Config struct {
	// Step is the duration of a step, in which every running stream generates one
	// token. Default: 2 ms.
	Step time.Duration
	// StepPerStream is added to Step for each running stream. Default: none.
	StepPerStream time.Duration
	// Slots is the maximum number of streams in the batch. Default: 64.
	Slots int
	// QueueLimit is the maximum number of requests that wait for a slot in the
	// batch. Default: 1024.
	QueueLimit int
	// Models lists the models that are served before any orders arrive. Default:
	// any model.
	Models []string
	// EnforceFencing rejects orders with an outdated fencing token.
	EnforceFencing bool
	// DetachedTimeout is how long a stream without a connection can be resumed
	// before it is dropped. Default: 10 s.
	DetachedTimeout time.Duration
	// HeartbeatInterval is the maximum time without data on a healthy stream.
	// Default: 1 s.
	HeartbeatInterval time.Duration
	// StatusLag is the maximum age of the figures of GET /status. Default: 200 ms.
	StatusLag time.Duration
	// CacheEntries is the maximum number of prefixes in the cache. Default: 64.
	CacheEntries int
	// CacheEventDelay is the time after which a cache event is published. Default:
	// 500 ms.
	CacheEventDelay time.Duration
	// CacheEventDropInterval drops every n-th cache event. Default: 7; a negative
	// value drops none.
	CacheEventDropInterval int
	// IgnoreOffset ignores the offset of a request and generates its answer from
	// the start, as an engine without support for continuation does.
	IgnoreOffset bool
	// GarbageFraction is the fraction of connections on which the engine sends bytes
	// that are no event of the stream. Default: none.
	GarbageFraction float64
	// GarbageSeed seeds the choice of these connections and bytes.
	GarbageSeed uint64
}

// Defaults of Config.
const (
	defaultStep                   = 2 * time.Millisecond
	defaultSlots                  = 64
	defaultQueueLimit             = 1024
	defaultDetachedTimeout        = 10 * time.Second
	defaultHeartbeatInterval      = time.Second
	defaultStatusLag              = 200 * time.Millisecond
	defaultCacheEntries           = 64
	defaultCacheEventDelay        = 500 * time.Millisecond
	defaultCacheEventDropInterval = 7
)

func (c Config) withDefaults() Config {
	c.Step = cmp.Or(c.Step, defaultStep)
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.QueueLimit = cmp.Or(c.QueueLimit, defaultQueueLimit)
	c.DetachedTimeout = cmp.Or(c.DetachedTimeout, defaultDetachedTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.StatusLag = cmp.Or(c.StatusLag, defaultStatusLag)
	c.CacheEntries = cmp.Or(c.CacheEntries, defaultCacheEntries)
	c.CacheEventDelay = cmp.Or(c.CacheEventDelay, defaultCacheEventDelay)
	c.CacheEventDropInterval = cmp.Or(c.CacheEventDropInterval, defaultCacheEventDropInterval)
	return c
}

// Counts holds the engine's counters since its start.
type Counts struct {
	// Started and Finished count streams; Canceled counts those that were deleted
	// or not resumed in time.
	Started, Finished, Canceled int
	// Resumed counts connections that resumed a stream.
	Resumed int
	// Continued counts streams that continued the answer of an earlier, canceled
	// one. RecomputedTokens counts the tokens of the prompts and partial answers
	// that were processed again for them.
	Continued, RecomputedTokens int
	// Rejected counts requests that were not run.
	Rejected int
	// Duplicates counts requests with the attempt ID of an existing stream.
	Duplicates int
	// MaxRunning is the size of the largest batch.
	MaxRunning int
	// Tokens counts generated tokens.
	Tokens int
}

// Engine is a simulated model engine. It is an http.Handler.
type Engine struct {
	cfg    Config
	router *mux.Router
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	mu                                       sync.Mutex
	streams                                  map[string]*stream
	running                                  []*stream
	waiting                                  []*stream
	runCounts                                map[string]int
	traceParents                             map[string]string
	counts                                   Counts
	faults                                   []*Fault
	leaving                                  bool
	stepTime                                 time.Duration
	lastStep                                 time.Duration
	status                                   Status
	lastStepAt, statusUpdatedAt, lastSweepAt time.Time
	orders                                   []Orders
	cache                                    cache
	rng                                      *rand.Rand
}

// New starts an engine. Close stops it.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:          cfg,
		wake:         make(chan struct{}, 1),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		streams:      map[string]*stream{},
		runCounts:    map[string]int{},
		traceParents: map[string]string{},
		stepTime:     cfg.Step,
		cache:        newCache(cfg),
		rng:          newGarbageRand(cfg.GarbageSeed),
	}
	e.router = e.routes()
	go e.run()
	return e
}

func (e *Engine) routes() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", e.generate).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", e.generate).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{attempt}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{attempt}", e.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/status", e.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.postOrders).Methods(http.MethodPost)
	r.HandleFunc("/orders", e.getOrders).Methods(http.MethodGet)
	r.HandleFunc("/cache/events", e.serveCache).Methods(http.MethodGet)
	return r
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close stops the engine and aborts its open connections.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// RunCount returns the number of requests with this prompt that were run.
func (e *Engine) RunCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[prompt]
}

// TraceParent returns the traceparent header of the last request with this
// prompt.
func (e *Engine) TraceParent(prompt string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.traceParents[prompt]
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// ActiveStreams returns the number of streams that run or wait for a slot.
func (e *Engine) ActiveStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// SetLeaving makes the engine reject new requests, or accept them again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetStepTime changes the duration of a step.
func (e *Engine) SetStepTime(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepTime = step
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []Orders {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Orders(nil), e.orders...)
}
