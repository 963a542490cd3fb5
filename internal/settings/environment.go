package settings

import "github.com/savorystall/savorystall/internal/ident"

// Environment variables that override the file. Their prefix is not that of the
// operators' tool, so that a variable exported for the tool changes no daemon.
const (
	EnvDaemon    = "SAVORYSTALLD_DAEMON"
	EnvZone      = "SAVORYSTALLD_ZONE"
	EnvCallers   = "SAVORYSTALLD_CALLERS"
	EnvOperators = "SAVORYSTALLD_OPERATORS"
	EnvFleet     = "SAVORYSTALLD_FLEET"
	EnvPlatform  = "SAVORYSTALLD_PLATFORM"
	EnvLogLevel  = "SAVORYSTALLD_LOG_LEVEL"
)

// FromEnvironment returns the override for the variables that are set.
func FromEnvironment(lookup func(string) (string, bool)) Override {
	return func(s *Settings) {
		set := func(name string, assign func(string)) {
			if value, ok := lookup(name); ok {
				assign(value)
			}
		}
		set(EnvDaemon, func(v string) { s.Daemon = ident.Daemon(v) })
		set(EnvZone, func(v string) { s.Zone = ident.Zone(v) })
		set(EnvCallers, func(v string) { s.Callers.Listen = v })
		set(EnvOperators, func(v string) { s.Operators.Listen = v })
		set(EnvFleet, func(v string) { s.Fleet.Listen = v })
		set(EnvPlatform, func(v string) { s.Platform.URL = v })
		set(EnvLogLevel, func(v string) { s.Log.Level = v })
	}
}
