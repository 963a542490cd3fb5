package daemon_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/settings"
)

// A VM is replaced by one with a new name during an outage of the platform and can read
// neither the documents nor the list of VMs. It must load the configuration from the peer
// that its settings name as a seed, and serve its callers with that peer's slots.
func TestDaemonStartsFromSeedDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	_, first := startDev(t)
	second := startDaemon(t, func(s *settings.Settings) {
		s.Daemon = "replacement"
		s.Platform.URL = "http://127.0.0.1:9" // nothing listens there
		s.Fleet.Seeds = []settings.Seed{{Daemon: ident.Daemon("dev"), Address: first.Fleet}}
	})
	status, _, body := postCompletion(t, second.Callers, "seeded", nil, "")
	is.Equal(status, http.StatusOK)
	is.True(len(completionText(t, body)) > 0)
}
