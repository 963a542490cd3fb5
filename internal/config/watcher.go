package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/platform"
)

// Defaults of WatcherConfig.
const (
	DefaultPollInterval = time.Second
	DefaultReadTimeout  = 10 * time.Second
	DefaultArchiveGrace = 3 * time.Second
	// archiveReadTimeout bounds the read of the archive at the start.
	archiveReadTimeout = 2 * time.Second
	// pollJitter spreads polls by this part of the interval to either side, so
	// that daemons started together do not read together.
	pollJitter = 0.2
	// behindPolls is how many polls in a row may find the table behind what is
	// in force before it is logged: more than any stale read lasts.
	behindPolls = 30
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Table is the platform's table; required.
	Table platform.Table
	// Store takes what is read; required.
	Store *Store
	// Interval is the mean time between two reads of the head row; default 1s.
	// 360 daemons then do 360 reads a second of the table's 2,000.
	Interval time.Duration
	// Timeout bounds one read with all its tries; default 10s. It bounds each
	// read by itself, because a poll that was cut short in a slow table would
	// begin anew each time and never get to the documents.
	Timeout time.Duration
	// Objects holds the archive to start from; nil starts from the table alone.
	Objects platform.Objects
	// ArchiveGrace is how long a daemon that cannot read the table waits for
	// its peers before it puts the archive in force; default 3s.
	ArchiveGrace time.Duration
	// Clock defaults to the real one.
	Clock clock.Clock
	// Random returns a number in [0,1); default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// Scope takes the metrics; default none.
	Scope tally.Scope
}

func (c *WatcherConfig) applyDefaults() {
	if c.Interval <= 0 {
		c.Interval = DefaultPollInterval
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultReadTimeout
	}
	if c.ArchiveGrace <= 0 {
		c.ArchiveGrace = DefaultArchiveGrace
	}
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
}

// Watcher keeps a Store up to date with the table. Nothing on the path of a
// request waits for it: a daemon that cannot read serves what is in force.
type Watcher struct {
	config  WatcherConfig
	metrics watcherMetrics
	failing bool
	// archive is held until the table's head was read or the grace is over.
	archive *archive
	started time.Time
	// behind counts the polls in a row that found an older head than what is in
	// force.
	behind int
}

type watcherMetrics struct {
	polls, failures, documents, scans tally.Counter
	revision                          tally.Gauge
}

// NewWatcher returns a Watcher; Run starts it.
func NewWatcher(c WatcherConfig) *Watcher {
	c.applyDefaults()
	scope := c.Scope.SubScope("config")
	return &Watcher{config: c, metrics: watcherMetrics{
		polls:     scope.Counter("polls"),
		failures:  scope.Counter("poll_failures"),
		documents: scope.Counter("documents_read"),
		scans:     scope.Counter("scans"),
		revision:  scope.Gauge("revision"),
	}}
}

// Run polls until ctx ends and then returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.started = w.config.Clock.Now()
	w.readArchive(ctx)
	for {
		w.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-w.config.Clock.After(w.wait()):
		}
	}
}

func (w *Watcher) wait() time.Duration {
	spread := 1 + pollJitter*(2*w.config.Random()-1)
	return time.Duration(float64(w.config.Interval) * spread)
}

func (w *Watcher) pollOnce(ctx context.Context) {
	w.metrics.polls.Inc(1)
	err := w.Poll(ctx)
	if err != nil {
		w.fallBack()
	}
	w.metrics.revision.Update(float64(w.config.Store.Head()))
	w.note(err)
}

// note logs the begin and the end of an outage, not each failure in it.
func (w *Watcher) note(err error) {
	if err != nil {
		w.metrics.failures.Inc(1)
	}
	if failing := err != nil; failing != w.failing {
		w.failing = failing
		if failing {
			event.ConfigUnreachable.Log(w.config.Logger, "error", err)
		} else {
			event.ConfigReachable.Log(w.config.Logger, "revision", w.config.Store.Head())
		}
	}
}

// Poll reads the head row once and takes what has changed.
func (w *Watcher) Poll(ctx context.Context) error {
	rows, err := w.get(ctx, headKey)
	if err != nil {
		return merry.Prepend(err, "head row")
	}
	if len(rows) == 0 {
		return nil
	}
	latest, err := decode[head](rows[0])
	if err != nil {
		return err
	}
	w.useArchive()
	w.archive = nil
	if latest.Revision <= w.config.Store.provenHead() || w.complete(latest) {
		return nil
	}
	return w.catchUp(ctx, latest)
}

// catchUp takes the listed changes, and reads all documents where these do not
// suffice. The head's digest decides: a read that was stale or lost leaves the
// digests unequal and Head where it was, so that the next poll tries again.
func (w *Watcher) catchUp(ctx context.Context, latest head) error {
	if w.config.Store.newest() > 0 {
		if err := w.takeRecent(ctx); err != nil {
			return err
		}
		if w.complete(latest) {
			return nil
		}
	}
	if err := w.takeAll(ctx); err != nil {
		return err
	}
	if !w.complete(latest) {
		event.ConfigIncomplete.Log(w.config.Logger, "revision", latest.Revision)
	}
	return nil
}

// complete tells whether nothing is to be read: the Store has seen every change
// up to the head, which is then proven, or it has seen later ones. These come
// from a peer or from a later state of the table, and the next head will tell.
func (w *Watcher) complete(latest head) bool {
	seen := w.config.Store.seen()
	if digestOf(seen) == latest.Digest {
		w.config.Store.prove(latest.Revision)
		w.behind = 0
		return true
	}
	if w.config.Store.newest() <= latest.Revision {
		return false
	}
	w.behind++
	if w.behind == behindPolls {
		event.ConfigBehind.Log(w.config.Logger, "table", latest.Revision, "in_force", w.config.Store.newest())
	}
	return true
}
