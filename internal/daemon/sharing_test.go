package daemon

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/event"
)

// Guards against changes to the fields of the log line about shares, from which incidents
// are analysed.
func TestSharingLogFields(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: benchZones[0]}, rand.New(rand.NewPCG(1, 1)))
	service := benchService()
	c.Configure(now, []booking.Service{service})
	c.RecordShed(now, service.Name, service.Workspaces[0].Name, 50e6)
	var out bytes.Buffer
	for _, b := range c.ShareReports(now) {
		event.ServiceShares.Log(slog.New(slog.NewJSONHandler(&out, nil)), sharingFields(b, 0.95)...)
	}
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["event"], 701.0)
	is.Equal(line["service"], "redactor")
	is.Equal(line["sheds"], 0.95)
	is.Equal(line["most"].([]any)[0], map[string]any{"workspace": "workspace-00", "asked": 25e6, "shed": 25e6, "granted": 0.0, "unused": 0.0})
	is.Equal(line["own"], []any{map[string]any{"workspace": "workspace-00", "shed": 50e6}})
	is.Equal(line["targets"], map[string]any{"owned": 60.0, "taken": 0.0, "use": 0.0})
}
