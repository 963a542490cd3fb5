package daemon

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/gorilla/mux"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// operators serves the operators' port.
type operators struct {
	identity identity
	life     *Lifecycle
	loop     *control.Loop
	store    *config.Store
	bridge   *bridge
	metrics  *telemetry.Metrics
}

func (o *operators) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", o.healthy).Methods(http.MethodGet)
	r.HandleFunc("/readyz", o.ready).Methods(http.MethodGet)
	r.Handle("/metrics", o.metrics.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/status", o.status).Methods(http.MethodGet)
	return r
}

func (o *operators) healthy(w http.ResponseWriter, _ *http.Request) {
	writeHealth(w, o.loop.Inspect(func(*scheduler.Core) {}))
}

// writeHealth reports the daemon as healthy while the control loop responds. A daemon whose
// loop hangs serves no requests and has to be replaced.
func writeHealth(w http.ResponseWriter, alive bool) {
	if !alive {
		http.Error(w, "the control loop has ended", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the caller may have disconnected
}

func (o *operators) ready(w http.ResponseWriter, _ *http.Request) {
	writeReadiness(w, string(o.life.State()), o.life.State() == StateReady)
}

// writeReadiness reports to the load balancer whether the daemon accepts new connections, and
// the reason if it does not.
func writeReadiness(w http.ResponseWriter, reason string, ready bool) {
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // the caller may have disconnected
}

func (o *operators) status(w http.ResponseWriter, _ *http.Request) {
	status := admin.Status{
		Daemon:          o.identity.Daemon,
		Incarnation:     o.identity.Incarnation,
		Zone:            o.identity.Zone,
		State:           string(o.life.State()),
		Head:            o.store.Head(),
		ActiveRevisions: map[ident.Service]uint64{},
	}
	for service, revision := range o.store.Revisions() {
		status.ActiveRevisions[service] = revision
	}
	status.Members = append(status.Members, admin.Member{
		ID: o.identity.Daemon, Zone: o.identity.Zone, Incarnation: o.identity.Incarnation, State: admin.MemberLive,
	})
	for _, p := range o.bridge.members() {
		state := admin.MemberLive
		if p.Leaving {
			state = admin.MemberLeaving
		}
		status.Members = append(status.Members, admin.Member{ID: p.ID, Zone: p.Zone, Incarnation: p.Incarnation, State: state})
	}
	sort.Slice(status.Members, func(i, j int) bool { return status.Members[i].ID < status.Members[j].ID })
	o.loop.Inspect(func(c *scheduler.Core) { status.Queues, status.Targets = c.Status() })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}
