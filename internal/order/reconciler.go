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
	DefaultReadBack    = 10 * time.Second
	DefaultReadTimeout = 2 * time.Second
	DefaultBackoff     = 500 * time.Millisecond
	DefaultBackoffMax  = 30 * time.Second
)

// releaseTimeout bounds the release of a lease when a worker ends.
const releaseTimeout = 2 * time.Second

// Config holds the settings of a Reconciler. A zero field gets its default.
type Config struct {
	// Daemon and Incarnation identify this process.
	Daemon      ident.Daemon
	Incarnation uint64
	// Term is the term of a lease; default 20 s.
	Term time.Duration
	// ReadBack is the mean time between two readings of a target's state;
	// default 10 s.
	ReadBack time.Duration
	// ReadTimeout bounds one reading; default 2 s.
	ReadTimeout time.Duration
	// Backoff is the mean wait after the first failure in a row; it doubles up
	// to BackoffMax. Defaults 500 ms and 30 s.
	Backoff, BackoffMax time.Duration
	// Clock defaults to the real one; its results carry a monotonic reading.
	Clock clock.Clock
	// Random returns a number in [0,1) for the jitter; default math/rand/v2.
	Random func() float64
}

func (c *Config) applyDefaults() {
	orDefault(&c.ReadBack, DefaultReadBack)
	orDefault(&c.ReadTimeout, DefaultReadTimeout)
	orDefault(&c.Backoff, DefaultBackoff)
	orDefault(&c.BackoffMax, DefaultBackoffMax)
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

type targetID struct {
	service ident.Service
	target  ident.Target
}

// Reconciler keeps some targets in their wanted state, each by a goroutine of
// its own. It is safe for concurrent use.
type Reconciler struct {
	cfg     Config
	table   platform.Table
	weights *weightGate
	orderer Orderer
	log     *slog.Logger

	// ctx ends with stop.
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	workers map[targetID]*worker
	running sync.WaitGroup
}

// New returns a Reconciler without targets.
func New(cfg Config, table platform.Table, weights platform.Weights, orderer Orderer, log *slog.Logger) *Reconciler {
	cfg.applyDefaults()
	ctx, stop := context.WithCancel(context.Background())
	return &Reconciler{
		cfg: cfg, table: table, orderer: orderer, log: log,
		weights: newWeightGate(weights, cfg.Clock),
		ctx:     ctx, stop: stop,
		workers: make(map[targetID]*worker),
	}
}

// Set replaces the list of targets to keep. A target that is no longer in it is
// left as it is.
func (r *Reconciler) Set(wanted []Wanted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	listed := make(map[targetID]bool, len(wanted))
	for _, w := range wanted {
		id := targetID{w.Service, w.Target}
		listed[id] = true
		r.set(id, w)
	}
	for id, k := range r.workers {
		if !listed[id] {
			k.stop()
			delete(r.workers, id)
		}
	}
}

func (r *Reconciler) set(id targetID, w Wanted) {
	if k := r.workers[id]; k != nil {
		k.want(w)
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	k := &worker{
		Reconciler: r,
		lease:      lease.New(r.table, r.cfg.Clock, id.service, id.target, r.cfg.Term),
		stop:       stop,
		changed:    make(chan struct{}, 1),
	}
	k.want(w)
	r.workers[id] = k
	r.running.Go(func() {
		defer stop()
		k.run(ctx)
	})
}

// Stop gives every lease up and returns when no order will leave any more.
func (r *Reconciler) Stop() {
	r.stop()
	r.running.Wait()
}
