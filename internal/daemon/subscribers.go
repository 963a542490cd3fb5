package daemon

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/platform"
)

// operatorSubscriber applies changes that the operator writes: the routes, and which availability
// zones are evacuated.
type operatorSubscriber struct {
	storeSync *storeSync
	// document is the encoded document in force, skippedAt the revision of the last row
	// that was not applied.
	document  []byte
	skippedAt store.Revision
}

// StoreUnreachable implements store.Subscriber.
func (o *operatorSubscriber) StoreUnreachable() {}

// StoreReachable implements store.Subscriber.
func (o *operatorSubscriber) StoreReachable(time.Time) {}

// StoreRestored implements store.Subscriber. The routes in force stay: those of the backup
// have a lower version until the operator's are written again.
func (o *operatorSubscriber) StoreRestored(store.Restore) {
	o.storeSync.deps.Metrics.StoreRestored()
	o.storeSync.evacuations.storeRestored(time.Now())
}

// Replace implements store.Subscriber.
func (o *operatorSubscriber) Replace(rows []store.FeedRow, _ store.Revision) {
	changed := o.storeSync.evacuations.replace(time.Now(), rows)
	o.storeSync.wakeExpiry()
	if !o.applyRoutes(rows) && changed {
		o.storeSync.view.apply()
	}
}

// Change implements store.Subscriber.
func (o *operatorSubscriber) Change(rows []store.FeedRow) {
	changed := false
	for _, row := range rows {
		changed = o.storeSync.evacuations.applyRow(time.Now(), row) || changed
	}
	if !o.applyRoutes(rows) && changed {
		o.storeSync.view.apply()
	}
}

// applyRoutes puts the routes among the rows into force, and reports whether it did.
func (o *operatorSubscriber) applyRoutes(rows []store.FeedRow) (applied bool) {
	for _, row := range rows {
		applied = o.applyRow(row) || applied
	}
	return applied
}

// applyRow puts the routes of a row into force, and reports whether it did.
func (o *operatorSubscriber) applyRow(row store.FeedRow) bool {
	if row.Key != platform.KeyRoutes || row.Deleted {
		return false
	}
	log := o.storeSync.deps.Log
	document, err := platform.DecodeRoutes(row.Value)
	if err != nil {
		event.RowUnreadable.Log(log, "table", platform.TableOperator, "key", row.Key, "revision", row.Revision, "error", err)
		return false
	}
	table, err := route.NewTable(document)
	if err != nil {
		event.RowUnreadable.Log(log, "table", platform.TableOperator, "key", row.Key, "revision", row.Revision, "error", err)
		return false
	}
	if !o.storeSync.deps.Routes.UpdateIfNewer(table) {
		o.logSkipped(table.Version, row)
		return false
	}
	o.document = row.Value
	known := o.storeSync.deps.Relay.Knowledge(time.Now())
	event.RoutesInForce.Log(log, "version", table.Version, "revision", row.Revision,
		"reader", known.Reader, "unconfirmed_ms", known.PreviousAge.Milliseconds(), "reader_age_ms", known.ReaderAge.Milliseconds(), "routes", len(table.Routes), "services", len(table.Services), "workspaces", len(table.Workspaces))
	o.storeSync.view.apply()
	return true
}

// logSkipped logs a row whose routes are not applied, unless they are those in force.
func (o *operatorSubscriber) logSkipped(version uint64, row store.FeedRow) {
	if row.Revision == o.skippedAt {
		return // the row was read twice
	}
	o.skippedAt = row.Revision
	log := o.storeSync.deps.Log
	current := o.storeSync.deps.Routes.Current()
	switch {
	case version < current.Version:
		event.RoutesOutdated.Log(log, "version", version, "in_force", current.Version, "revision", row.Revision)
	case version == current.Version && !bytes.Equal(row.Value, o.document):
		event.RoutesConflict.Log(log, "version", version, "revision", row.Revision)
	}
}

// targetSubscriber applies changes of the targets.
type targetSubscriber struct {
	storeSync *storeSync
	// decodeEntry decodes the row of a target.
	decodeEntry func(key string, value []byte) (registry.Entry, error)
	// restore describes the restore from a backup whose rows come next; nil if there is
	// none.
	restore *store.Restore
}

// StoreUnreachable implements store.Subscriber. The known targets stay in use.
func (t *targetSubscriber) StoreUnreachable() {
	t.storeSync.mu.Lock()
	t.storeSync.registry.StoreUnreachable(time.Now())
	t.storeSync.mu.Unlock()
}

// StoreReachable implements store.Subscriber.
func (t *targetSubscriber) StoreReachable(notBefore time.Time) {
	t.storeSync.mu.Lock()
	t.storeSync.registry.StoreRecovered(time.Now(), notBefore)
	t.storeSync.mu.Unlock()
}

// StoreRestored implements store.Subscriber.
func (t *targetSubscriber) StoreRestored(r store.Restore) {
	t.storeSync.mu.Lock()
	t.storeSync.registry.StoreRestored(time.Now(), r.NotBefore)
	t.storeSync.mu.Unlock()
	t.restore = &r
}

// Replace implements store.Subscriber.
func (t *targetSubscriber) Replace(rows []store.FeedRow, _ store.Revision) {
	var entries []registry.Entry
	for _, row := range rows {
		if e, ok := t.decode(row); ok {
			entries = append(entries, e)
		}
	}
	t.storeSync.mu.Lock()
	t.distrustOlderRows(rows)
	t.storeSync.registry.Replace(time.Now(), entries)
	t.storeSync.targetsRead = true
	lapsed, quarantined := t.storeSync.registry.Lapsed(), t.storeSync.registry.Quarantined()
	t.storeSync.mu.Unlock()
	if len(quarantined) > 0 {
		event.TargetsQuarantined.Log(t.storeSync.deps.Log, "targets", quarantined)
	}
	t.storeSync.applyTargetChange("read", len(rows), "kept", lapsed)
}

// distrustOlderRows marks the rows of a backup that may be older than what is known. The
// caller holds storeSync.mu.
func (t *targetSubscriber) distrustOlderRows(rows []store.FeedRow) {
	if t.restore == nil {
		return
	}
	for _, row := range rows {
		if t.restore.MayPrecede(row) {
			t.storeSync.registry.Distrust(ident.Target(row.Key))
		}
	}
	t.restore = nil
}

// Change implements store.Subscriber. The rows of one answer take effect together, since each
// time the view of all targets is built anew.
func (t *targetSubscriber) Change(rows []store.FeedRow) {
	var listed, draining, removed []ident.Target
	t.storeSync.mu.Lock()
	for _, row := range rows {
		name := ident.Target(row.Key)
		e, ok := t.decode(row)
		switch {
		case !ok:
			t.storeSync.registry.Remove(time.Now(), name)
			removed = append(removed, name)
			continue
		case e.Draining:
			draining = append(draining, name)
		default:
			listed = append(listed, name)
		}
		t.storeSync.registry.Put(e)
	}
	t.storeSync.mu.Unlock()
	t.storeSync.applyTargetChange("listed", listed, "draining", draining, "removed", removed, "revision", rows[len(rows)-1].Revision)
}

// decode decodes a row. It returns false if the row is deleted or unreadable.
func (t *targetSubscriber) decode(row store.FeedRow) (registry.Entry, bool) {
	if row.Deleted {
		return registry.Entry{}, false
	}
	e, err := t.decodeEntry(row.Key, row.Value)
	if err != nil {
		event.RowUnreadable.Log(t.storeSync.deps.Log, "table", platform.TableTargets, "key", row.Key, "revision", row.Revision, "error", err)
		return registry.Entry{}, false
	}
	if e.ColdMalformed != "" {
		event.ColdTimeMalformed.Log(t.storeSync.deps.Log, "target", e.Identity, "value", e.ColdMalformed, "revision", row.Revision)
	}
	if e.ColdLeft > 0 {
		e.ColdUntil = time.Now().Add(e.ColdLeft)
	}
	return e, true
}

// daemonSubscriber applies changes of the list of daemons.
type daemonSubscriber struct {
	storeSync *storeSync
	rows      map[string]daemonRow
	// onUpdate receives the VMs of the daemons and the addresses at which they accept
	// forwarded connections.
	onUpdate func(vms []store.VM, handoverAddresses map[ident.Daemon]string)
}

func newDaemonSubscriber(s *storeSync, onUpdate func([]store.VM, map[ident.Daemon]string)) *daemonSubscriber {
	return &daemonSubscriber{storeSync: s, rows: map[string]daemonRow{}, onUpdate: onUpdate}
}

// StoreUnreachable implements store.Subscriber.
func (d *daemonSubscriber) StoreUnreachable() {}

// StoreReachable implements store.Subscriber.
func (d *daemonSubscriber) StoreReachable(time.Time) {}

// StoreRestored implements store.Subscriber. Daemons that are missing from the backup
// write their rows again; until then, the links show whether they are live.
func (d *daemonSubscriber) StoreRestored(store.Restore) {}

// Replace implements store.Subscriber.
func (d *daemonSubscriber) Replace(rows []store.FeedRow, at store.Revision) {
	before := len(d.rows)
	clear(d.rows)
	for _, row := range rows {
		d.applyRow(row)
	}
	d.storeSync.ownRow.observe(d.hasOwnRow(), at, max(before, len(d.rows)))
	d.publish()
}

// Change implements store.Subscriber.
func (d *daemonSubscriber) Change(rows []store.FeedRow) {
	for _, row := range rows {
		d.applyRow(row)
		if row.Key == string(d.storeSync.deps.Identity.Daemon) {
			d.storeSync.ownRow.observe(d.hasOwnRow(), row.Revision, len(d.rows))
		}
	}
	d.publish()
}

// hasOwnRow reports whether the store holds this daemon's row. The row of a later
// incarnation counts as well, because two processes with the same name would otherwise
// overwrite each other's row forever.
func (d *daemonSubscriber) hasOwnRow() bool {
	id := d.storeSync.deps.Identity
	row, listed := d.rows[string(id.Daemon)]
	return listed && row.Incarnation >= id.Incarnation
}

func (d *daemonSubscriber) applyRow(row store.FeedRow) {
	if row.Deleted {
		delete(d.rows, row.Key)
		return
	}
	var decoded daemonRow
	err := json.Unmarshal(row.Value, &decoded)
	if err == nil && decoded.Address == "" {
		err = merry.New("daemon entry: no address")
	}
	if err != nil {
		event.RowUnreadable.Log(d.storeSync.deps.Log, "table", platform.TableDaemons, "key", row.Key, "revision", row.Revision, "error", err)
		return
	}
	d.rows[row.Key] = decoded
}

func (d *daemonSubscriber) publish() {
	var vms []store.VM
	handoverAddresses := map[ident.Daemon]string{}
	for name, row := range d.rows {
		handoverAddresses[ident.Daemon(name)] = row.Handover
		vms = append(vms, store.VM{Name: name, Zone: row.Zone, Address: row.Address, Role: store.RoleDaemon, State: store.VMLive})
	}
	slices.SortFunc(vms, func(a, b store.VM) int { return strings.Compare(a.Name, b.Name) })
	d.onUpdate(vms, handoverAddresses)
}
