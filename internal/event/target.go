package event

import "log/slog"

// Events of targets, as observed by the probes of their owners.
var (
	TargetLeaving      = define(301, slog.LevelInfo, "target reports that it is leaving", "none")
	TargetReturned     = define(302, slog.LevelInfo, "target is no longer leaving", "none")
	TargetUnresponsive = define(303, slog.LevelWarn, "target does not respond to its probe", "check the target and the network path from this VM to it")
	TargetResponsive   = define(304, slog.LevelInfo, "target responds to its probe again", "none")
)

// Events of targets that register themselves.
var (
	TargetsChanged     = define(310, slog.LevelInfo, "the registered targets of a service have changed", "none")
	ResponseMismatched = define(311, slog.LevelWarn, "a target sent a response that belongs to another request; the response is discarded", "check the target that the line names")
	ResponseMalformed  = define(312, slog.LevelWarn, "a target sent bytes that are not a valid response; its connection is closed", "check the target that the line names")
	TargetPaused       = define(314, slog.LevelInfo, "a target has refused a request and asked for a pause; this daemon sends it nothing until then", "none; if it recurs, the service has too few targets")
	PauseMalformed     = define(315, slog.LevelWarn, "a target states no sensible time for the pause that it asks for; it gets none", "check the target that the line names")
	StreamMalformed    = define(317, slog.LevelWarn, "a target sent bytes within an event stream that are no event of it", "check the target that the line names; see docs/incidents/foreign-bytes.md")
	TargetSpeedChanged = define(316, slog.LevelInfo, "the weight of a target that this daemon owns has changed with its estimated speed; it gets requests in proportion", "none; if a target stays below 0.7, check it")
	VersionsChanged    = define(313, slog.LevelInfo, "the software versions of a service at which streams may have begun have changed", "none")
)
