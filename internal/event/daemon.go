package event

import "log/slog"

// Events of a daemon's lifecycle.
var (
	DaemonStarting  = define(101, slog.LevelInfo, "daemon starts", "none")
	DaemonReady     = define(102, slog.LevelInfo, "daemon is ready", "none")
	DaemonDraining  = define(103, slog.LevelInfo, "graceful shutdown begins", "none")
	DaemonStopped   = define(104, slog.LevelInfo, "daemon has stopped", "none")
	SettingsInvalid = define(105, slog.LevelError, "settings are not valid", "correct the field that the line names")
	FleetInsecure   = define(106, slog.LevelWarn, "links between daemons are not encrypted", "set fleet.tls in the settings")
	DrainSlow       = define(107, slog.LevelWarn, "graceful shutdown waits for requests", "see docs/OPERATIONS.md, a stuck drain")
)

// GraceOver is logged once per graceful shutdown that refused or ended requests because they could not be completed
// before the end of the grace period. It has their numbers.
var GraceOver = define(114, slog.LevelWarn, "requests were refused or ended because the process is killed at the end of the grace", "see docs/operations/stuck-drain.md")

// SettingsReloaded is logged each time the settings are reloaded.
var SettingsReloaded = define(108, slog.LevelInfo, "settings were read again and are valid; changes take effect at the next start", "none")

// Events of a daemon's load.
var (
	Overloaded    = define(109, slog.LevelWarn, "the daemon has too little processor time for the requests that it receives; the balancer is told to skip it", "give the VM more processor time, or the zone more VMs, if it persists")
	OverloadEnded = define(110, slog.LevelInfo, "the daemon has enough processor time again", "none")
)

// Events of connections that are forwarded to neighbours.
var (
	HandoverSummary        = define(111, slog.LevelInfo, "new connections were forwarded to neighbours for lack of processor time", "none; give the VM more processor time if it persists")
	ConnectionsAbandoned   = define(113, slog.LevelWarn, "connections were closed unread for lack of processor time: their callers had disconnected, or had waited for so long that another daemon serves them sooner", "give the VM more processor time if it persists; see docs/operations/large-fleet.md")
	HandoverConnectionLost = define(112, slog.LevelWarn, "a neighbour closed a connection that it had taken over without sending a response", "check the neighbour that the line names")
)

// Events of callers and their requests.
var (
	RequestFailed   = define(201, slog.LevelWarn, "request failed after dispatch", "check the target that the line names")
	RequestServed   = define(203, slog.LevelInfo, "request served", "none")
	RequestRefused  = define(204, slog.LevelInfo, "request refused before it ran", "none, unless one workspace or service is refused out of proportion to its share: see docs/OPERATIONS.md")
	LinesSuppressed = define(205, slog.LevelWarn, "lines about requests were suppressed to limit the volume of the log", "none; the counters on the metrics address are complete")
	RequestPanic    = define(202, slog.LevelError, "request handler panicked", "report a defect with the stack in the line")

	ConnectionUnanswered = define(206, slog.LevelWarn, "a connection was closed without a complete response to its request although its caller had not disconnected", "none if a target failed or the request is unread; otherwise report a defect with the line")

	ConnectionsUnanswered = define(207, slog.LevelInfo, "connections were closed without a complete response to their requests, counted by cause, by how far the requests had got, and for connections kept after an earlier response", "none; see event 206 for those whose callers had not disconnected")
	// StreamsResumed has the streams that callers began and took up again since the last line.
	StreamsResumed = define(208, slog.LevelInfo, "callers have taken up streams again", "none, unless few are resumed of those asked for: see docs/operations/explain-a-request.md")

	RequestSuspected = define(209, slog.LevelInfo, "targets have ended while they ran a request, or requests with one part in their prompts; the fleet watches whether it runs to its end elsewhere", "none")
	RequestHeld      = define(210, slog.LevelWarn, "a request, or all with certain parts in their prompts, is held back, since targets ended each time that they ran it", "see docs/operations/request-held-back.md")
	RequestReleased  = define(211, slog.LevelInfo, "a request, or all with certain parts in their prompts, is not held back any more", "none")
	// HoldNotWritten means that the hold is lost if all daemons end.
	HoldNotWritten = define(212, slog.LevelWarn, "the row of a hold could not be read or written; the daemon retries", "see docs/OPERATIONS.md, a store outage")

	SlowCallersEnded = define(213, slog.LevelWarn, "callers of a workspace were disconnected because they read or sent too slowly; their responses are incomplete", "tell the workspace that its clients do not read their responses; if many workspaces are named, give the VM more memory")
)
