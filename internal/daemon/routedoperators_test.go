package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// noActions carries nothing out.
type noActions struct{}

func (noActions) SendBookingMessage(ident.Daemon, booking.Message) {}
func (noActions) CheckWarmth(booking.CheckWarmth)                  {}
func (noActions) SendOriginMessage(ident.Daemon, origin.Message)   {}
func (noActions) SendPoisonMessage(ident.Daemon, poison.Message)   {}
func (noActions) PoisonEffect(poison.Effect)                       {}

// Guards against a request that is held back by mistake and cannot be let go.
func TestOperatorsListAndReleaseHolds(t *testing.T) {
	is := is.New(t)
	core := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, nil)
	loop := control.NewBookingLoop(control.Config{}, core, origin.New(origin.Config{Self: "a", Zone: "z"}, time.Now()), "a", noActions{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go loop.Run(ctx)
	handler := (&routedOperators{loop: loop, metrics: telemetry.NewMetrics()}).handler()
	request := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	list := func() (holds []holdView) {
		status, body := request(http.MethodGet, "/holds")
		is.Equal(status, http.StatusOK)
		is.NoErr(json.Unmarshal([]byte(body), &holds))
		return holds
	}
	is.Equal(len(list()), 0)
	hold := testHold()
	loop.RecallHolds([]poison.Hold{hold})
	loop.ReleaseHold(poison.Fingerprint{}) // by then the table has been published
	is.Equal(list(), []holdView{{hold.Fingerprint.String(), nil, "club", "r", hold.Targets()}})

	for path, want := range map[string]int{
		"/holds/zz": http.StatusBadRequest,
		"/holds/" + (poison.Fingerprint{}).String(): http.StatusNotFound,
	} {
		status, _ := request(http.MethodDelete, path)
		is.Equal(status, want)
	}
	status, _ := request(http.MethodDelete, "/holds/"+hold.Fingerprint.String())
	is.Equal(status, http.StatusNoContent)
	loop.ReleaseHold(poison.Fingerprint{})
	is.Equal(len(list()), 0)
}
