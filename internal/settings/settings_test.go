package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/settings"
)

const minimalSettings = "daemon: entry-1\nzone: hall-a\nplatform: {url: http://127.0.0.1:9000}\n"

func TestMinimalSettingsGetDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse([]byte(minimalSettings))
	is.NoErr(err)
	is.Equal(s.Callers.Listen, "127.0.0.1:8080")
	is.Equal(s.Fleet.Advertise, s.Fleet.Listen)
	is.Equal(s.Claims.Wait, 5*time.Second)
}

func TestEnvironmentOverridesTheFileAndFlagsOverrideBoth(t *testing.T) {
	is := is.New(t)
	environment := map[string]string{settings.EnvZone: "hall-b", settings.EnvDaemon: "entry-2"}
	lookup := func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	}
	flag := func(s *settings.Settings) { s.Daemon = "entry-3" }
	s, err := settings.Parse([]byte(minimalSettings), settings.FromEnvironment(lookup), flag)
	is.NoErr(err)
	is.Equal(string(s.Zone), "hall-b")
	is.Equal(string(s.Daemon), "entry-3")
}

func TestErrorsOfInvalidSettingsNameTheField(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown field":     {minimalSettings + "colour: red\n", "colour"},
		"no daemon":         {"zone: z\nplatform: {url: http://127.0.0.1:9000}\n", "Daemon"},
		"no platform":       {"daemon: d\nzone: z\n", "URL"},
		"bad address":       {minimalSettings + "callers: {listen: nowhere}\n", "Callers.Listen"},
		"negative duration": {minimalSettings + "claims: {wait: -1s}\n", "Claims.Wait"},
		"not a duration":    {minimalSettings + "claims: {wait: soon}\n", "soon"},
		"bad level":         {minimalSettings + "log: {level: loud}\n", "Log.Level"},
		"half of TLS":       {minimalSettings + "fleet: {tls: {key: k}}\n", "TLS.Certificate"},
		"sample above one":  {minimalSettings + "trace: {sample: 2}\n", "Trace.Sample"},
		"seed without name": {minimalSettings + "fleet: {seeds: [{address: \"127.0.0.1:1\"}]}\n", "Seeds[0].Daemon"},
		"short lease":       {minimalSettings + "orders: {lease_term: 1ms}\n", "Orders.LeaseTerm"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse([]byte(c.text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error specifies the field
		})
	}
}
