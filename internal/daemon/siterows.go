package daemon

import (
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
type routeRows struct{ site *site }

// Away implements store.Subscriber.
func (r *routeRows) Away() {}

// Back implements store.Subscriber.
func (r *routeRows) Back(time.Time) {}

// Replace implements store.Subscriber.
func (r *routeRows) Replace(rows []store.FeedRow) {
	for _, row := range rows {
		r.Change(row)
	}
}

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
	if !r.site.p.Routes.Offer(table) {
		if present := r.site.p.Routes.Current(); present.Version > table.Version {
			event.RoutesOlder.Log(log, "version", table.Version, "in_force", present.Version, "revision", row.Revision)
		}
		return
	}
	event.RoutesInForce.Log(log, "version", table.Version, "revision", row.Revision,
		"routes", len(table.Routes), "services", len(table.Services), "workspaces", len(table.Workspaces))
	r.site.view.apply()
}

// targetRows takes the targets in.
type targetRows struct {
	site *site
	// read decodes what a target says of itself.
	read func(key string, value []byte) (registry.Entry, error)
}

// Away implements store.Subscriber: what is known stays.
func (t *targetRows) Away() {}

// Back implements store.Subscriber.
func (t *targetRows) Back(notBefore time.Time) {
	t.site.mu.Lock()
	t.site.registry.Returned(time.Now(), notBefore)
	t.site.mu.Unlock()
}

// Replace implements store.Subscriber.
func (t *targetRows) Replace(rows []store.FeedRow) {
	var entries []registry.Entry
	for _, row := range rows {
		if e, ok := t.decode(row); ok {
			entries = append(entries, e)
		}
	}
	t.site.mu.Lock()
	t.site.registry.Replace(time.Now(), entries)
	t.site.heard = true
	kept := t.site.registry.Lapsed()
	t.site.mu.Unlock()
	t.site.targetsChanged("read", len(rows), "kept", kept)
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
}

// Away implements store.Subscriber.
func (d *daemonRows) Away() {}

// Back implements store.Subscriber.
func (d *daemonRows) Back(time.Time) {}

// Replace implements store.Subscriber.
func (d *daemonRows) Replace(rows []store.FeedRow) {
	clear(d.rows)
	for _, row := range rows {
		d.take(row)
	}
	d.tell()
}

// Change implements store.Subscriber.
func (d *daemonRows) Change(row store.FeedRow) {
	d.take(row)
	d.tell()
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
	takers := map[ident.Daemon]string{}
	for name, row := range d.rows {
		takers[ident.Daemon(name)] = row.Handover
		vms = append(vms, store.VM{Name: name, Zone: row.Zone, Address: row.Address, Role: store.RoleDaemon, State: store.VMLive})
	}
	slices.SortFunc(vms, func(a, b store.VM) int { return strings.Compare(a.Name, b.Name) })
	d.site.p.Node.SetVMs(vms)
	d.site.p.Handovers.setAddresses(takers)
}
