package settings

import "github.com/savorystall/savorystall/internal/ident"

// Environment variables that override the file. Their prefix differs from that of
// the operators' tool, so that a variable exported for the tool does not change the
// settings of a daemon.
const (
	EnvDaemon    = "SAVORYSTALLD_DAEMON"
	EnvZone      = "SAVORYSTALLD_ZONE"
	EnvCallers   = "SAVORYSTALLD_CALLERS"
	EnvOperators = "SAVORYSTALLD_OPERATORS"
	EnvFleet     = "SAVORYSTALLD_FLEET"
	EnvPlatform  = "SAVORYSTALLD_PLATFORM"
	EnvLogLevel  = "SAVORYSTALLD_LOG_LEVEL"
)

// FromEnvironment returns an Override that applies the variables that are set.
func FromEnvironment(lookup func(string) (string, bool)) Override {
	return func(s *Settings) {
		override := func(name string, assign func(string)) {
			if value, ok := lookup(name); ok {
				assign(value)
			}
		}
		override(EnvDaemon, func(v string) { s.Daemon = ident.Daemon(v) })
		override(EnvZone, func(v string) { s.Zone = ident.Zone(v) })
		override(EnvCallers, func(v string) { s.Callers.Listen = v })
		override(EnvOperators, func(v string) { s.Operators.Listen = v })
		override(EnvFleet, func(v string) { s.Fleet.Listen = v })
		override(EnvPlatform, func(v string) { s.Platform.URL = v })
		override(EnvLogLevel, func(v string) { s.Log.Level = v })
	}
}
