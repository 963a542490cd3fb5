package daemon

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/savorystall/savorystall/internal/admin"
	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/evacuation"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// routedOperators serves the operators' port of a daemon that serves routes.
type routedOperators struct {
	life    *Lifecycle
	loop    *control.BookingLoop
	load    *loadMonitor
	metrics *telemetry.Metrics
	// evacuated returns the evacuated availability zones.
	evacuated func() evacuation.Zones
	routes    *route.Holder
}

func (o *routedOperators) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", o.healthy).Methods(http.MethodGet)
	r.HandleFunc("/readyz", o.ready).Methods(http.MethodGet)
	r.HandleFunc("/holds", o.listHolds).Methods(http.MethodGet)
	r.HandleFunc("/holds/{fingerprint}", o.releaseHold).Methods(http.MethodDelete)
	r.HandleFunc(admin.EvacuationsPath, o.listEvacuations).Methods(http.MethodGet)
	r.HandleFunc(admin.WherePath, o.where).Methods(http.MethodPost)
	r.Handle("/metrics", o.metrics.Handler()).Methods(http.MethodGet)
	return r
}

// holdView is what is held back, as operators see it.
type holdView struct {
	Fingerprint string `json:"fingerprint"`
	// Parts are the hexadecimal IDs of the parts that a request must have to be held back.
	Parts     []string        `json:"parts,omitempty"`
	Workspace ident.Workspace `json:"workspace"`
	Route     string          `json:"route"`
	Targets   []ident.Target  `json:"targets"`
}

// listHolds lists what is held back.
func (o *routedOperators) listHolds(w http.ResponseWriter, _ *http.Request) {
	views := []holdView{}
	for _, h := range o.loop.PoisonTable().Holds() {
		views = append(views, holdView{h.Key().String(), partIDs(h), h.Workspace, h.Route, h.Targets()})
	}
	slices.SortFunc(views, func(a, b holdView) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(views)
}

// listEvacuations lists the evacuated availability zones.
func (o *routedOperators) listEvacuations(w http.ResponseWriter, _ *http.Request) {
	list := []admin.Evacuation{}
	for zone, since := range o.evacuated().Since() {
		list = append(list, admin.Evacuation{Zone: zone, Since: since.UTC()})
	}
	slices.SortFunc(list, func(a, b admin.Evacuation) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}

// partIDs returns the hexadecimal IDs of the parts that are held together; nil for a request.
func partIDs(h poison.Hold) (ids []string) {
	for _, id := range h.Parts() {
		ids = append(ids, strconv.FormatUint(id, 16))
	}
	return ids
}

// releaseHold lets go what is held back, in the whole fleet.
func (o *routedOperators) releaseHold(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := poison.ParseFingerprint(mux.Vars(r)["fingerprint"])
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !o.loop.ReleaseHold(fingerprint):
		http.Error(w, "nothing with this fingerprint is held back", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (o *routedOperators) healthy(w http.ResponseWriter, _ *http.Request) {
	writeHealth(w, o.loop.Inspect(func(*booking.Core) {}))
}

func (o *routedOperators) ready(w http.ResponseWriter, _ *http.Request) {
	state := o.life.State()
	if state == StateReady && o.load.overloaded() {
		writeReadiness(w, "overloaded", false)
		return
	}
	writeReadiness(w, string(state), state == StateReady)
}
