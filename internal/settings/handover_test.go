package settings_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/settings"
)

// Settings that were valid before the handover listener was introduced must remain
// valid: Listen on the last port leaves no next port for its default.
func TestLastPortIsValid(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte("daemon: d1\nzone: z\nfleet: {listen: \"127.0.0.1:65535\"}\nplatform: {url: \"http://127.0.0.1:1\"}\n"))
	is.NoErr(err)
}

// With two daemons on one host, or with the operators' port next to the fleet's, the default
// address of the handover listener must not take a port that the file configures.
func TestDefaultHandoverDoesNotTakeConfiguredPort(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte("daemon: d1\nzone: z\noperators: {listen: \"127.0.0.1:7401\"}\nfleet: {listen: \"127.0.0.1:7400\"}\nplatform: {url: \"http://127.0.0.1:1\"}\n"))
	is.NoErr(err)
	is.True(s.Fleet.Handover != s.Operators.Listen)
}
