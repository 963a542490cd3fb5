package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/gateway"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/platform"
)

// resumeWindow is how long after the end of a response its caller may take the stream up again.
const resumeWindow = 10 * time.Second

// originView returns what new streams can begin at.
func originView(table *route.Table, targets []registry.Entry) origin.View {
	v := origin.View{Routes: map[string][]ident.Service{}, Versions: map[ident.Service][]ident.Version{}, Lifetime: resumeWindow}
	for i := range table.Routes {
		r := &table.Routes[i]
		if r.Retry != route.Stream {
			continue
		}
		v.Lifetime = max(v.Lifetime, resumeWindow+gateway.TimeLimit(r))
		for _, s := range r.Services {
			if s.Weight > 0 {
				v.Routes[r.Name] = append(v.Routes[r.Name], s.Service)
			}
		}
	}
	for _, e := range targets {
		if !slices.Contains(v.Versions[e.Service], e.Version) {
			v.Versions[e.Service] = append(v.Versions[e.Service], e.Version)
		}
	}
	return v
}

// leads reports whether a daemon is the one that writes for the fleet: the first by name of those
// that are not about to leave.
func leads(self ident.Daemon, peers []scheduler.Peer) bool {
	return !slices.ContainsFunc(peers, func(p scheduler.Peer) bool { return !p.Leaving && p.ID < self })
}

// versionRow is the row in the store that names the versions of a service's targets at which
// streams may have begun that can still be taken up.
type versionRow struct {
	Versions []ident.Version `json:"versions"`
}

const (
	// versionCheckInterval is how often the rows are compared with what is in use.
	versionCheckInterval = time.Second
	// firstVersionCheck is how long after its start a daemon writes rows at the earliest: until
	// then it may not know the others, and take itself for the one that writes.
	firstVersionCheck = 3 * time.Second
	// versionWriteTimeout bounds one write of a row.
	versionWriteTimeout = 2 * time.Second
)

// versionKeeper keeps the record of the versions in use in the store, where it outlasts all
// daemons: daemons that all start anew must not take the only version they see for the only one
// that there was. One daemon of the fleet writes it, all read it.
type versionKeeper struct {
	deps routedDependencies

	mu sync.Mutex
	// rows is what the store holds, as last read or written; nil if it has not been read yet.
	rows map[ident.Service][]ident.Version
}

func newVersionKeeper(p routedDependencies) *versionKeeper { return &versionKeeper{deps: p} }

// StoreUnreachable implements store.Subscriber.
func (k *versionKeeper) StoreUnreachable() {}

// StoreReachable implements store.Subscriber.
func (k *versionKeeper) StoreReachable(time.Time) {}

// StoreRestored implements store.Subscriber. What is missing from the backup is written again, since
// the rows are compared with what is in use.
func (k *versionKeeper) StoreRestored(store.Restore) {}

// Replace implements store.Subscriber.
func (k *versionKeeper) Replace(rows []store.FeedRow, _ store.Revision) {
	k.mu.Lock()
	k.rows = map[ident.Service][]ident.Version{}
	k.apply(rows)
	past := maps.Clone(k.rows)
	k.mu.Unlock()
	k.deps.Loop.RecallOrigins(past)
}

// Change implements store.Subscriber. The versions that the daemons saw themselves are not
// recalled, or two daemons would keep each other's past in use.
func (k *versionKeeper) Change(rows []store.FeedRow) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(rows)
}

// apply records rows. The caller holds the lock.
func (k *versionKeeper) apply(rows []store.FeedRow) {
	for _, row := range rows {
		service := ident.Service(row.Key)
		if row.Deleted {
			delete(k.rows, service)
			continue
		}
		var decoded versionRow
		if err := json.Unmarshal(row.Value, &decoded); err != nil {
			event.RowUnreadable.Log(k.deps.Log, "table", platform.TableVersions, "key", row.Key, "revision", row.Revision, "error", err)
			continue
		}
		k.rows[service] = decoded.Versions
	}
}

// maintain writes the rows of services whose versions have changed while this daemon leads.
func (k *versionKeeper) maintain(ctx context.Context) {
	sleepContext(ctx, firstVersionCheck)
	ticker := time.NewTicker(versionCheckInterval)
	defer ticker.Stop()
	for {
		if k.deps.Bridge.leads.Load() {
			k.writeChanged(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// writeChanged writes the rows that differ from what is in use. A row that cannot be written is
// tried again at the next check.
func (k *versionKeeper) writeChanged(ctx context.Context) {
	for service, versions := range k.deps.Loop.Versions() {
		if !k.differs(service, versions) {
			continue
		}
		// Marshalling cannot fail for a list of texts.
		value, _ := json.Marshal(versionRow{Versions: versions})
		writeCtx, cancel := context.WithTimeout(ctx, versionWriteTimeout)
		_, err := k.deps.Calls.PutRow(writeCtx, platform.TableVersions, string(service), value)
		cancel()
		if err != nil {
			event.RowNotWritten.Log(k.deps.Log, "table", platform.TableVersions, "error", err)
			return
		}
		event.VersionsChanged.Log(k.deps.Log, "service", service, "versions", versions)
		k.mu.Lock()
		k.rows[service] = versions
		k.mu.Unlock()
	}
}

func (k *versionKeeper) differs(service ident.Service, versions []ident.Version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.rows == nil {
		return false // not read yet
	}
	return !slices.Equal(k.rows[service], versions)
}
