package event

import "log/slog"

// Events of a daemon's life.
var (
	DaemonStarting = define(101, slog.LevelInfo, "daemon starts", "none")
	DaemonReady    = define(102, slog.LevelInfo, "daemon is ready", "none")
	DaemonDraining = define(103, slog.LevelInfo, "planned stop begins", "none")
	DaemonStopped  = define(104, slog.LevelInfo, "daemon has stopped", "none")
	SettingsBad    = define(105, slog.LevelError, "settings are not valid", "correct the field that the line names")
	FleetInsecure  = define(106, slog.LevelWarn, "links between daemons are not encrypted", "set fleet.tls in the settings")
	DrainStuck     = define(107, slog.LevelWarn, "planned stop waits for requests", "see docs/OPERATIONS.md, a stuck drain")
)

// Events of callers and their requests.
var (
	RequestFailed = define(201, slog.LevelWarn, "request failed after dispatch", "look at the target that the line names")
	RequestPanic  = define(202, slog.LevelError, "request handler panicked", "report a defect with the stack in the line")
)
