package daemon_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/settings"
)

// The platform is out, and a VM is replaced by one under a new name. It can read
// neither the documents nor the list of VMs: it must take the configuration from
// the peer that its settings name, and serve its callers with that one's slots.
func TestNewDaemonStartsFromASeedWhileThePlatformIsOut(t *testing.T) {
	is := is.New(t)
	_, first := startDev(t)
	second := startDaemon(t, func(s *settings.Settings) {
		s.Daemon = "replacement"
		s.Platform.URL = "http://127.0.0.1:9" // nothing listens there
		s.Fleet.Seeds = []settings.Seed{{Daemon: ident.Daemon("dev"), Address: first.Fleet}}
	})
	status, _, body := ask(t, second.Callers, "seeded", nil, "")
	is.Equal(status, http.StatusOK)
	is.True(len(answerText(t, body)) > 0)
}
