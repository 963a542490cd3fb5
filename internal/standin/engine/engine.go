// Package enginestandin takes the place of a model engine in tests and in the
// daemon's development mode. It batches continuously, knows no priorities,
// admits requests as they arrive, streams answers that a client can verify
// token by token, and keeps a record of all that it ran. Faults are injected
// by its methods.
package enginestandin

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Config describes one stand-in.
type Config struct {
	// Step is the time in which every running stream gains one token.
	// Default: 2 ms.
	Step time.Duration
	// StepPerStream is added to Step for each running stream. Default: none.
	StepPerStream time.Duration
	// Slots is the number of streams in the batch. Default: 64.
	Slots int
	// Queue is the number of requests that wait for the batch. Default: 1024.
	Queue int
	// Models are served before any order. Default: any model is.
	Models []string
	// EnforceFencing refuses an order with an old fencing number.
	EnforceFencing bool
	// KeepDetached is how long a stream without a connection is kept, to be
	// resumed. Default: 10 s.
	KeepDetached time.Duration
	// Heartbeat is the longest silence on a healthy stream. Default: 1 s.
	Heartbeat time.Duration
	// StatusLag is the age of the figures of GET /status. Default: 200 ms.
	StatusLag time.Duration
	// CacheEntries bounds the prefixes in the cache. Default: 64.
	CacheEntries int
	// CacheLag is the age at which cache events are published. Default: 500 ms.
	CacheLag time.Duration
	// CacheGap drops each n-th cache event. Default: 7; below zero: none.
	CacheGap int
	// NoContinue ignores the offset of a request and begins its answer anew, as
	// an engine does that does not know of it.
	NoContinue bool
}

// Defaults of Config.
const (
	defaultStep         = 2 * time.Millisecond
	defaultSlots        = 64
	defaultQueue        = 1024
	defaultKeepDetached = 10 * time.Second
	defaultHeartbeat    = time.Second
	defaultStatusLag    = 200 * time.Millisecond
	defaultCacheEntries = 64
	defaultCacheLag     = 500 * time.Millisecond
	defaultCacheGap     = 7
)

func (c Config) withDefaults() Config {
	c.Step = cmp.Or(c.Step, defaultStep)
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Queue = cmp.Or(c.Queue, defaultQueue)
	c.KeepDetached = cmp.Or(c.KeepDetached, defaultKeepDetached)
	c.Heartbeat = cmp.Or(c.Heartbeat, defaultHeartbeat)
	c.StatusLag = cmp.Or(c.StatusLag, defaultStatusLag)
	c.CacheEntries = cmp.Or(c.CacheEntries, defaultCacheEntries)
	c.CacheLag = cmp.Or(c.CacheLag, defaultCacheLag)
	c.CacheGap = cmp.Or(c.CacheGap, defaultCacheGap)
	return c
}

// Counts is what the engine did since it started.
type Counts struct {
	// Started and Finished count streams; Canceled those that were deleted or
	// that nobody resumed.
	Started, Finished, Canceled int
	// Resumed counts connections that resumed a stream.
	Resumed int
	// Continued counts streams that went on after an earlier one was canceled,
	// and Reread the tokens of prompts and answers that were read again for them.
	Continued, Reread int
	// Refused counts requests that were not processed.
	Refused int
	// Repeated counts requests with an attempt that was known already.
	Repeated int
	// MaxRunning is the largest batch.
	MaxRunning int
	// Tokens counts generated tokens.
	Tokens int
}

// Engine is a stand-in. It is an http.Handler.
type Engine struct {
	cfg    Config
	router *mux.Router
	wake   chan struct{}
	stop   chan struct{}
	done   chan struct{}

	mu                             sync.Mutex
	streams                        map[string]*stream
	running                        []*stream
	waiting                        []*stream
	ran                            map[string]int
	traces                         map[string]string
	counts                         Counts
	faults                         []*Fault
	leaving                        bool
	step                           time.Duration
	lastStep                       time.Duration
	status                         Status
	steppedAt, statusSeen, sweptAt time.Time
	orders                         []Orders
	cache                          cache
}

// New starts an engine. Close ends it.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		streams: map[string]*stream{},
		ran:     map[string]int{},
		traces:  map[string]string{},
		step:    cfg.Step,
		cache:   newCache(cfg),
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

// Close ends the engine and its open connections.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// Ran returns how often a request with this mark was run. The mark of a
// request is its prompt.
func (e *Engine) Ran(mark string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[mark]
}

// Trace returns the traceparent header of the last request with this mark.
func (e *Engine) Trace(mark string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.traces[mark]
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Running returns the number of streams that run or wait for the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// SetLeaving makes the engine refuse new work, or take it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetStep changes the time of a step.
func (e *Engine) SetStep(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = step
}

// Orders returns the orders that were accepted, oldest first.
func (e *Engine) Orders() []Orders {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Orders(nil), e.orders...)
}
