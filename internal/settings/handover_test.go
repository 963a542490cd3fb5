package settings_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/settings"
)

// Settings that were valid before there was a takeover listener must stay valid.
func TestTheLastPortStaysValid(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte("daemon: d1\nzone: z\nfleet: {listen: \"127.0.0.1:65535\"}\nplatform: {url: \"http://127.0.0.1:1\"}\n"))
	is.NoErr(err)
}

// Two daemons on one host, or the operators' port after the fleet's: the default of a listener
// that the file doesn't name must not take a port that it names.
func TestTheDefaultTakesNoNamedPort(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte("daemon: d1\nzone: z\noperators: {listen: \"127.0.0.1:7401\"}\nfleet: {listen: \"127.0.0.1:7400\"}\nplatform: {url: \"http://127.0.0.1:1\"}\n"))
	is.NoErr(err)
	is.True(s.Fleet.Handover != s.Operators.Listen)
}
