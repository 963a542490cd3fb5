package order

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/lease"
	"github.com/savorystall/savorystall/internal/platform"
)

// Defaults of Config.
const (
	DefaultReadInterval = 10 * time.Second
	DefaultReadTimeout  = 2 * time.Second
	DefaultBackoff      = 500 * time.Millisecond
	DefaultBackoffMax   = 30 * time.Second
)

// releaseTimeout limits the release of a lease.
const releaseTimeout = 2 * time.Second

// Config configures a Reconciler. Zero fields take their defaults.
type Config struct {
	// Daemon and Incarnation identify this process.
	Daemon      ident.Daemon
	Incarnation uint64
	// LeaseTerm is the term of a lease; default 20 s.
	LeaseTerm time.Duration
	// ReadInterval is the mean interval between two reads of a target's state;
	// default 10 s.
	ReadInterval time.Duration
	// ReadTimeout limits one read; default 2 s.
	ReadTimeout time.Duration
	// Backoff is the mean delay after the first of consecutive failures; it
	// doubles up to BackoffMax. Defaults 500 ms and 30 s.
	Backoff, BackoffMax time.Duration
	// Clock defaults to the system clock. Its times must have a monotonic clock
	// reading.
	Clock clock.Clock
	// Random returns a number in [0,1) for jitter; default math/rand/v2.
	Random func() float64
}

func (c *Config) applyDefaults() {
	setDefault(&c.ReadInterval, DefaultReadInterval)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.Backoff, DefaultBackoff)
	setDefault(&c.BackoffMax, DefaultBackoffMax)
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

type targetKey struct {
	service ident.Service
	target  ident.Target
}

// Reconciler keeps a set of targets in their desired state, with one goroutine
// per target. It is safe for concurrent use.
type Reconciler struct {
	cfg           Config
	leaseTable    platform.Table
	weightFetcher *weightFetcher
	targetClient  TargetClient
	log           *slog.Logger

	// ctx is canceled by cancel.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	workers map[targetKey]*worker
	wg      sync.WaitGroup
}

// New returns a Reconciler without targets.
func New(cfg Config, table platform.Table, weights platform.Weights, client TargetClient, log *slog.Logger) *Reconciler {
	cfg.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Reconciler{
		cfg: cfg, leaseTable: table, targetClient: client, log: log,
		weightFetcher: newWeightFetcher(weights, cfg.Clock),
		ctx:           ctx, cancel: cancel,
		workers: make(map[targetKey]*worker),
	}
}

// SetTargets replaces the list of targets to reconcile. A target that is no
// longer in the list keeps its state.
func (r *Reconciler) SetTargets(desired []Desired) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	listed := make(map[targetKey]bool, len(desired))
	for _, d := range desired {
		key := targetKey{d.Service, d.Target}
		listed[key] = true
		r.setTarget(key, d)
	}
	for key, w := range r.workers {
		if !listed[key] {
			w.cancel()
			delete(r.workers, key)
		}
	}
}

func (r *Reconciler) setTarget(key targetKey, d Desired) {
	if w := r.workers[key]; w != nil {
		w.setDesired(d)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	w := &worker{
		Reconciler: r,
		lease:      lease.New(r.leaseTable, r.cfg.Clock, key.service, key.target, r.cfg.LeaseTerm),
		cancel:     cancel,
		changed:    make(chan struct{}, 1),
	}
	w.setDesired(d)
	r.workers[key] = w
	r.wg.Go(func() {
		defer cancel()
		w.run(ctx)
	})
}

// Stop releases all leases and returns once no further orders will be sent.
func (r *Reconciler) Stop() {
	r.cancel()
	r.wg.Wait()
}
