package relay_test

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
)

var errRefused = errors.New("refused")

// fakeStore is an in-memory table whose calls can be refused or left unanswered for
// individual daemons.
type fakeStore struct {
	mu   sync.Mutex
	rows map[string]platform.FeedRow
	// era and revision are the store's current ones; changes up to historyStart are lost.
	era, revision, historyStart uint64
	changed                     chan struct{}
	refused                     map[ident.Daemon]bool
	hanging                     map[ident.Daemon]bool
	calls                       map[ident.Daemon]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		rows: map[string]platform.FeedRow{}, revision: 1, changed: make(chan struct{}),
		refused: map[ident.Daemon]bool{}, hanging: map[ident.Daemon]bool{}, calls: map[ident.Daemon]int{},
	}
}

func (s *fakeStore) put(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.rows[key] = platform.FeedRow{Key: key, Value: []byte(value), Revision: platform.NewRevision(s.era, s.revision), Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setFaults(id ident.Daemon, refused, hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[id], s.hanging[id] = refused, hanging
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup returns a copy of the store's current state for restore.
func (s *fakeStore) backup() (rows map[string]platform.FeedRow, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.revision
}

// restore resets the store to a backup and starts a new era.
func (s *fakeStore) restore(rows map[string]platform.FeedRow, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.revision = maps.Clone(rows), revision
	for key, row := range s.rows {
		row.Revision = platform.NewRevision(s.era, row.Revision.Number())
		s.rows[key] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseHistory drops the changes up to now and ends the calls that wait for changes.
func (s *fakeStore) loseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.historyStart = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) callCount(id ident.Daemon) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[id]
}

// storeClient is the store as one daemon reaches it.
type storeClient struct {
	*fakeStore
	daemon ident.Daemon
}

// ReadTable implements platform.Feed.
func (v storeClient) ReadTable(ctx context.Context, _ string) ([]platform.FeedRow, platform.Revision, error) {
	if err := v.startCall(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var rows []platform.FeedRow
	for _, row := range v.rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, v.currentRevision(), nil
}

// currentRevision returns the store's current revision. The caller holds the lock.
func (s *fakeStore) currentRevision() platform.Revision {
	return platform.NewRevision(s.era, s.revision)
}

func (v storeClient) startCall(ctx context.Context) error {
	v.mu.Lock()
	v.calls[v.daemon]++
	refused, hanging := v.refused[v.daemon], v.hanging[v.daemon]
	v.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	if refused {
		return errRefused
	}
	return nil
}

// Changes implements platform.Feed.
func (v storeClient) Changes(ctx context.Context, _ string, after platform.Revision, wait time.Duration) ([]platform.FeedRow, platform.Revision, error) {
	if err := v.startCall(ctx); err != nil {
		return nil, platform.Revision{}, err
	}
	timeout := time.After(wait)
	for {
		v.mu.Lock()
		var rows []platform.FeedRow
		for _, row := range v.rows {
			if row.Revision.Number() > after.Number() {
				rows = append(rows, row)
			}
		}
		revision, changed, refused, hanging, lostUntil := v.currentRevision(), v.changed, v.refused[v.daemon], v.hanging[v.daemon], v.historyStart
		v.mu.Unlock()
		switch {
		case refused:
			return nil, platform.Revision{}, errRefused
		case hanging:
			<-ctx.Done()
			return nil, platform.Revision{}, ctx.Err()
		case revision.Number() < after.Number() || after.Number() < lostUntil:
			return nil, platform.Revision{}, platform.ErrHistoryLost
		case len(rows) > 0:
			return rows, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, platform.Revision{}, ctx.Err()
		case <-timeout:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// zone is a set of daemons that follow one table.
type zone struct {
	store       *fakeStore
	feeds       map[ident.Daemon]*relay.Feed
	subscribers map[ident.Daemon]*subscriber
	mu          sync.Mutex
	// frozen daemons do not answer queries.
	frozen map[ident.Daemon]bool
	// groups connect the followers of each daemon.
	groups map[ident.Daemon]*platform.FeedGroup
	// fullReads is the number of whole tables that followers have read from a reader.
	fullReads int
}

// subscriber holds the rows that a daemon of the zone has received.
type subscriber struct {
	mu   sync.Mutex
	rows map[string]string
	// lastRevisions holds the last revision of each row; regressed is set when an older one
	// follows.
	lastRevisions map[string]platform.Revision
	regressed     bool
}

// Replace implements platform.Subscriber.
func (d *subscriber) Replace(rows []platform.FeedRow, _ platform.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.rows)
	for _, row := range rows {
		d.apply(row)
	}
}

// Change implements platform.Subscriber.
func (d *subscriber) Change(rows []platform.FeedRow) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		d.apply(row)
	}
}

// StoreUnreachable implements platform.Subscriber.
func (d *subscriber) StoreUnreachable() {}

// StoreReachable implements platform.Subscriber.
func (d *subscriber) StoreReachable(time.Time) {}

// StoreRestored implements platform.Subscriber.
func (d *subscriber) StoreRestored(platform.Restore) {}

func (d *subscriber) apply(row platform.FeedRow) {
	d.regressed = d.regressed || row.Revision.Before(d.lastRevisions[row.Key])
	d.lastRevisions[row.Key] = row.Revision
	if row.Deleted {
		delete(d.rows, row.Key)
		return
	}
	d.rows[row.Key] = string(row.Value)
}

func (d *subscriber) value(key string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows[key]
}

// Follow implements relay.Peers.
func (z *zone) Follow(ctx context.Context, reader ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	z.mu.Lock()
	frozen, feed := z.frozen[reader], z.feeds[reader]
	if q.FullTable {
		z.fullReads++
	}
	z.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return platform.FeedAnswer{}, ctx.Err()
	}
	return feed.ServeQuery(ctx, q)
}

func (z *zone) freeze(id ident.Daemon, frozen bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.frozen[id] = frozen
}

const heartbeatTable = "table"

// followWait is the wait of the followers' calls.
const followWait = 2800 * time.Millisecond

// newZone starts daemons that know each other and follow the table until ctx ends.
func newZone(ctx context.Context, names ...ident.Daemon) *zone {
	z := newUnelectedZone(names...)
	z.elect(names...)
	z.follow(ctx)
	return z
}

// newUnelectedZone returns a zone of daemons that do not know each other.
func newUnelectedZone(names ...ident.Daemon) *zone {
	z := &zone{
		store: newFakeStore(), feeds: map[ident.Daemon]*relay.Feed{}, subscribers: map[ident.Daemon]*subscriber{},
		frozen: map[ident.Daemon]bool{},
	}
	for _, name := range names {
		z.feeds[name] = relay.New(relay.Config{
			Self: name, Zone: "z", Store: storeClient{z.store, name}, Peers: z, HeartbeatTable: heartbeatTable, Logger: slog.New(slog.DiscardHandler),
		})
		z.subscribers[name] = &subscriber{rows: map[string]string{}, lastRevisions: map[string]platform.Revision{}}
	}
	return z
}

// follow makes the daemons follow the table until ctx ends.
func (z *zone) follow(ctx context.Context) { z.followCoalescing(ctx, time.Millisecond) }

// followCoalescing is follow with a pause after each change.
func (z *zone) followCoalescing(ctx context.Context, delay time.Duration) {
	z.groups = map[ident.Daemon]*platform.FeedGroup{}
	for name := range z.feeds {
		z.groups[name] = platform.NewFeedGroup()
		follower := platform.NewFollower(platform.FollowerConfig{
			Feed: z.feeds[name], Table: heartbeatTable, Wait: followWait, CoalesceDelay: delay,
			Group: z.groups[name], Heartbeat: true, Logger: slog.New(slog.DiscardHandler),
		}, z.subscribers[name])
		go follower.Run(ctx)
	}
}

// followSecondTable makes the daemons follow a table besides the heartbeat table.
func (z *zone) followSecondTable(ctx context.Context) {
	for name := range z.feeds {
		follower := platform.NewFollower(platform.FollowerConfig{
			Feed: z.feeds[name], Table: "targets", Wait: 25 * time.Second, CoalesceDelay: time.Millisecond,
			Group: z.groups[name], Logger: slog.New(slog.DiscardHandler),
		}, &subscriber{rows: map[string]string{}, lastRevisions: map[string]platform.Revision{}})
		go follower.Run(ctx)
	}
}

// electedReader returns the daemon that a zone of these daemons elects.
func electedReader(names []ident.Daemon) ident.Daemon {
	var members []membership.Member
	for _, name := range names {
		members = append(members, membership.Member{ID: name, Zone: "z"})
	}
	return membership.NewOwners(members).Lookup("", "store", "z")
}

// elect passes the list of live daemons to each of them.
func (z *zone) elect(live ...ident.Daemon) { z.electExcept("", live...) }

// electExcept passes the list of live daemons to each of them but one.
func (z *zone) electExcept(late ident.Daemon, live ...ident.Daemon) {
	for _, name := range live {
		if name == late {
			continue
		}
		var others []membership.Member
		for _, other := range live {
			if other != name {
				others = append(others, membership.Member{ID: other, Zone: "z"})
			}
		}
		z.feeds[name].Elect(others)
	}
}

// reader returns the daemon that makes the most store calls in the next seconds.
func (z *zone) reader() ident.Daemon {
	before := map[ident.Daemon]int{}
	for name := range z.feeds {
		before[name] = z.store.callCount(name)
	}
	time.Sleep(5 * time.Second)
	return slices.MaxFunc(slices.Collect(maps.Keys(z.feeds)), func(a, b ident.Daemon) int {
		return (z.store.callCount(a) - before[a]) - (z.store.callCount(b) - before[b])
	})
}

// expectValue checks that every daemon that is not in except has the given value.
func (z *zone) expectValue(t *testing.T, key, value string, except ...ident.Daemon) {
	t.Helper()
	for name, d := range z.subscribers {
		if got := d.value(key); got != value && !slices.Contains(except, name) {
			t.Errorf("%s has value %q for %s, want %q", name, got, key, value)
		}
	}
}

var fiveDaemons = []ident.Daemon{"d1", "d2", "d3", "d4", "d5"}

// runZone runs a test on a zone of five daemons in simulated time.
func runZone(t *testing.T, f func(z *zone, reader ident.Daemon)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		z := newZone(ctx, fiveDaemons...)
		f(z, z.reader())
		for name, d := range z.subscribers {
			d.mu.Lock()
			if d.regressed {
				t.Errorf("%s returned to an older revision of a row", name)
			}
			d.mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}
