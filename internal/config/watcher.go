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
	// archiveReadTimeout limits the read of the archive at startup.
	archiveReadTimeout = 2 * time.Second
	// pollJitter is the maximum deviation of a poll interval in either
	// direction, as a fraction of the interval. It keeps daemons that started
	// at the same time from polling at the same time.
	pollJitter = 0.2
	// behindPollThreshold is the number of consecutive polls that find the
	// table older than the active configuration before this is logged. It
	// exceeds the duration of any stale read.
	behindPollThreshold = 30
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Table is the platform's table; required.
	Table platform.Table
	// Store receives the documents; required.
	Store *Store
	// Interval is the mean time between two reads of the head row; default 1s.
	// 360 daemons then use 360 of the 2,000 reads a second that the table
	// serves.
	Interval time.Duration
	// Timeout limits one read including its retries; default 10s. It applies to
	// each read rather than to a whole poll, because on a slow table a poll that
	// timed out would start over each time and never reach the documents.
	Timeout time.Duration
	// Objects is the object store with the archive to start from. If nil, the
	// daemon starts from the table alone.
	Objects platform.Objects
	// ArchiveGrace is how long a daemon that cannot read the table waits for
	// its peers before it applies the archive; default 3s.
	ArchiveGrace time.Duration
	// Clock defaults to clock.Real.
	Clock clock.Clock
	// Random returns a number in [0,1); default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// Scope receives the metrics; by default they are discarded.
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

// Watcher keeps a Store up to date with the table. Request processing never
// waits for it: a daemon that cannot read the table keeps using its active
// configuration.
type Watcher struct {
	config  WatcherConfig
	metrics watcherMetrics
	failing bool
	// archive is kept until the head row was read or ArchiveGrace has expired.
	archive *archive
	started time.Time
	// behind counts the consecutive polls that found a head older than the
	// active configuration.
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

// Run polls until ctx is done and then returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.started = w.config.Clock.Now()
	w.readArchive(ctx)
	for {
		w.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-w.config.Clock.After(w.nextDelay()):
		}
	}
}

func (w *Watcher) nextDelay() time.Duration {
	factor := 1 + pollJitter*(2*w.config.Random()-1)
	return time.Duration(float64(w.config.Interval) * factor)
}

func (w *Watcher) pollOnce(ctx context.Context) {
	w.metrics.polls.Inc(1)
	err := w.Poll(ctx)
	if err != nil {
		w.fallBackToArchive()
	}
	w.metrics.revision.Update(float64(w.config.Store.Head()))
	w.recordResult(err)
}

// recordResult counts failures. It logs the start and the end of an outage, not
// each failure during it.
func (w *Watcher) recordResult(err error) {
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

// Poll reads the head row once and applies any changes.
func (w *Watcher) Poll(ctx context.Context) error {
	rows, err := w.get(ctx, headKey)
	if err != nil {
		return merry.Prepend(err, "read head row")
	}
	if len(rows) == 0 {
		return nil
	}
	latest, err := decode[headRow](rows[0])
	if err != nil {
		return err
	}
	w.applyArchive()
	w.archive = nil
	if latest.Revision <= w.config.Store.verifiedHead() || w.upToDate(latest) {
		return nil
	}
	return w.catchUp(ctx, latest)
}

// catchUp applies the recent changes, and reads all documents if these are not
// sufficient. The digest of the head row decides: after a stale or failed read
// the digests differ and Head stays unchanged, so that the next poll retries.
func (w *Watcher) catchUp(ctx context.Context, latest headRow) error {
	if w.config.Store.newestRevision() > 0 {
		if err := w.fetchRecent(ctx); err != nil {
			return err
		}
		if w.upToDate(latest) {
			return nil
		}
	}
	if err := w.fetchAll(ctx); err != nil {
		return err
	}
	if !w.upToDate(latest) {
		event.ConfigIncomplete.Log(w.config.Logger, "revision", latest.Revision)
	}
	return nil
}

// upToDate reports whether no documents have to be read: either the Store has
// seen every change up to latest, which is then marked as verified, or it has
// seen later changes. Those come from a peer or from a later state of the table
// and are checked against the next head.
func (w *Watcher) upToDate(latest headRow) bool {
	seen := w.config.Store.seenRevisions()
	if digestRevisions(seen) == latest.Digest {
		w.config.Store.markVerified(latest.Revision)
		w.behind = 0
		return true
	}
	if w.config.Store.newestRevision() <= latest.Revision {
		return false
	}
	w.behind++
	if w.behind == behindPollThreshold {
		event.ConfigTableOutdated.Log(w.config.Logger, "table", latest.Revision, "in_force", w.config.Store.newestRevision())
	}
	return true
}
