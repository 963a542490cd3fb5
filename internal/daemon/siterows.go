package daemon

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/platform"
)

// routeRows takes the routes in.
type routeRows struct {
	site *site
	// text is the document in force, passed the revision of the row that was passed over last.
	text   []byte
	passed store.Revision
}

// Away implements store.Subscriber.
func (r *routeRows) Away() {}

// Back implements store.Subscriber.
func (r *routeRows) Back(time.Time) {}

// Replace implements store.Subscriber.
func (r *routeRows) Replace(rows []store.FeedRow, _ store.Revision) {
	for _, row := range rows {
		r.Change(row)
	}
}

// Restored implements store.Subscriber. What is in force stays: the copy's routes are of a
// lower version, until the operator's are written again.
func (r *routeRows) Restored(store.Restore) { r.site.p.Metrics.Restored() }

// Change implements store.Subscriber.
func (r *routeRows) Change(row store.FeedRow) {
	if row.Key != platform.KeyRoutes || row.Deleted {
		return
	}
	log := r.site.p.Log
	document, err := platform.DecodeRoutes(row.Value)
	if err != nil {
		event.RowUnreadable.Log(log, "table", platform.TableOperator, "key", row.Key, "revision", row.Revision, "error", err)
		return
	}
	table, err := route.NewTable(document)
	if err != nil {
		event.RowUnreadable.Log(log, "table", platform.TableOperator, "key", row.Key, "revision", row.Revision, "error", err)
		return
	}
	if !r.site.p.Routes.UpdateIfNewer(table) {
		r.passOver(table.Version, row)
		return
	}
	r.text = row.Value
	event.RoutesInForce.Log(log, "version", table.Version, "revision", row.Revision,
		"routes", len(table.Routes), "services", len(table.Services), "workspaces", len(table.Workspaces))
	r.site.view.apply()
}

// passOver logs a row whose routes do not come into force, unless they are those in force.
func (r *routeRows) passOver(version uint64, row store.FeedRow) {
	if row.Revision == r.passed {
		return // it was read twice
	}
	r.passed = row.Revision
	log := r.site.p.Log
	present := r.site.p.Routes.Current()
	switch {
	case version < present.Version:
		event.RoutesOlder.Log(log, "version", version, "in_force", present.Version, "revision", row.Revision)
	case version == present.Version && !bytes.Equal(row.Value, r.text):
		event.RoutesDiffer.Log(log, "version", version, "revision", row.Revision)
	}
}

// targetRows takes the targets in.
type targetRows struct {
	site *site
	// read decodes what a target says of itself.
	read func(key string, value []byte) (registry.Entry, error)
	// restore is the return from a copy whose rows come next; nil: none.
	restore *store.Restore
}

// Away implements store.Subscriber: what is known stays.
func (t *targetRows) Away() {
	t.site.mu.Lock()
	t.site.registry.StoreUnreachable(time.Now())
	t.site.mu.Unlock()
}

// Back implements store.Subscriber.
func (t *targetRows) Back(notBefore time.Time) {
	t.site.mu.Lock()
	t.site.registry.StoreRecovered(time.Now(), notBefore)
	t.site.mu.Unlock()
}

// Restored implements store.Subscriber.
func (t *targetRows) Restored(r store.Restore) {
	t.site.mu.Lock()
	t.site.registry.StoreRestored(time.Now(), r.NotBefore)
	t.site.mu.Unlock()
	t.restore = &r
}

// Replace implements store.Subscriber.
func (t *targetRows) Replace(rows []store.FeedRow, _ store.Revision) {
	var entries []registry.Entry
	for _, row := range rows {
		if e, ok := t.decode(row); ok {
			entries = append(entries, e)
		}
	}
	t.site.mu.Lock()
	t.doubt(rows)
	t.site.registry.Replace(time.Now(), entries)
	t.site.heard = true
	kept, shadowed := t.site.registry.Lapsed(), t.site.registry.Quarantined()
	t.site.mu.Unlock()
	if len(shadowed) > 0 {
		event.TargetsShadowed.Log(t.site.p.Log, "targets", shadowed)
	}
	t.site.targetsChanged("read", len(rows), "kept", kept)
}

// doubt tells which of a copy's rows may be older than what is known. The caller holds the
// site's lock.
func (t *targetRows) doubt(rows []store.FeedRow) {
	if t.restore == nil {
		return
	}
	for _, row := range rows {
		if t.restore.MayPrecede(row) {
			t.site.registry.Distrust(ident.Target(row.Key))
		}
	}
	t.restore = nil
}

// Change implements store.Subscriber.
func (t *targetRows) Change(row store.FeedRow) {
	e, ok := t.decode(row)
	t.site.mu.Lock()
	if ok {
		t.site.registry.Put(e)
	} else {
		t.site.registry.Remove(time.Now(), ident.Target(row.Key))
	}
	t.site.mu.Unlock()
	t.site.targetsChanged("target", row.Key, "revision", row.Revision, "listed", ok, "draining", e.Draining, "service", e.Service)
}

// decode returns false for a row that names no target to use.
func (t *targetRows) decode(row store.FeedRow) (registry.Entry, bool) {
	if row.Deleted {
		return registry.Entry{}, false
	}
	e, err := t.read(row.Key, row.Value)
	if err != nil {
		event.RowUnreadable.Log(t.site.p.Log, "table", platform.TableTargets, "key", row.Key, "revision", row.Revision, "error", err)
		return registry.Entry{}, false
	}
	return e, true
}

// daemonRows takes the list of daemons in.
type daemonRows struct {
	site *site
	rows map[string]daemonRow
	// list takes whom to look for, and where each takes connections over.
	list func(vms []store.VM, takeovers map[ident.Daemon]string)
}

func newDaemonRows(s *site, list func([]store.VM, map[ident.Daemon]string)) *daemonRows {
	return &daemonRows{site: s, rows: map[string]daemonRow{}, list: list}
}

// Away implements store.Subscriber.
func (d *daemonRows) Away() {}

// Back implements store.Subscriber.
func (d *daemonRows) Back(time.Time) {}

// Restored implements store.Subscriber. Who is missing from the copy writes its row again;
// whether it lives is told by the links meanwhile.
func (d *daemonRows) Restored(store.Restore) {}

// Replace implements store.Subscriber.
func (d *daemonRows) Replace(rows []store.FeedRow, at store.Revision) {
	before := len(d.rows)
	clear(d.rows)
	for _, row := range rows {
		d.take(row)
	}
	d.site.own.told(d.holdsOwn(), at, max(before, len(d.rows)))
	d.tell()
}

// Change implements store.Subscriber.
func (d *daemonRows) Change(row store.FeedRow) {
	d.take(row)
	if row.Key == string(d.site.p.Identity.Daemon) {
		d.site.own.told(d.holdsOwn(), row.Revision, len(d.rows))
	}
	d.tell()
}

// holdsOwn tells whether the store holds this daemon's row. That of a later incarnation
// counts as well: two processes under one name would else write in turn without end.
func (d *daemonRows) holdsOwn() bool {
	id := d.site.p.Identity
	row, listed := d.rows[string(id.Daemon)]
	return listed && row.Incarnation >= id.Incarnation
}

func (d *daemonRows) take(row store.FeedRow) {
	if row.Deleted {
		delete(d.rows, row.Key)
		return
	}
	var decoded daemonRow
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		event.RowUnreadable.Log(d.site.p.Log, "table", platform.TableDaemons, "key", row.Key, "revision", row.Revision, "error", err)
		return
	}
	d.rows[row.Key] = decoded
}

func (d *daemonRows) tell() {
	var vms []store.VM
	takeovers := map[ident.Daemon]string{}
	for name, row := range d.rows {
		takeovers[ident.Daemon(name)] = row.Handover
		vms = append(vms, store.VM{Name: name, Zone: row.Zone, Address: row.Address, Role: store.RoleDaemon, State: store.VMLive})
	}
	slices.SortFunc(vms, func(a, b store.VM) int { return strings.Compare(a.Name, b.Name) })
	d.list(vms, takeovers)
}
