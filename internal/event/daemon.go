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

// SettingsRead is logged at each reload.
var SettingsRead = define(108, slog.LevelInfo, "settings were read again and are valid; changes take effect at the next start", "none")

// Events of a daemon's load.
var (
	Overloaded    = define(109, slog.LevelWarn, "the daemon has too little processor time for what reaches it; the balancer is told to pass it over", "give the VM more processor time, or the zone more VMs, if it lasts")
	OverloadEnded = define(110, slog.LevelInfo, "the daemon has processor time again", "none")
)

// Events of connections that are passed on to neighbours.
var (
	HandoverReport = define(111, slog.LevelInfo, "new connections were passed on to neighbours for want of processor time", "none; give the VM more processor time if it lasts")
	HandoverLost   = define(112, slog.LevelWarn, "a neighbour ended a connection that it had taken over, without an answer", "look at the neighbour that the line names")
)

// Events of callers and their requests.
var (
	RequestFailed  = define(201, slog.LevelWarn, "request failed after dispatch", "look at the target that the line names")
	RequestServed  = define(203, slog.LevelInfo, "request served", "none")
	RequestRefused = define(204, slog.LevelInfo, "request refused before it ran", "none, unless one workspace or service is refused above its part: see docs/OPERATIONS.md")
	LinesDropped   = define(205, slog.LevelWarn, "lines about requests were left out to bound the log", "none; the counters on the metrics address are complete")
	RequestPanic   = define(202, slog.LevelError, "request handler panicked", "report a defect with the stack in the line")
)
