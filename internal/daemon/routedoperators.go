package daemon

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// routedOperators serves the operators' port of a daemon that serves routes.
type routedOperators struct {
	life    *Lifecycle
	loop    *control.BookingLoop
	load    *loadMonitor
	metrics *telemetry.Metrics
}

func (o *routedOperators) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", o.healthy).Methods(http.MethodGet)
	r.HandleFunc("/readyz", o.ready).Methods(http.MethodGet)
	r.Handle("/metrics", o.metrics.Handler()).Methods(http.MethodGet)
	return r
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
