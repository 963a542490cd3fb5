package event

import "log/slog"

// Events of configuration and the platform.
var (
	ConfigInForce        = define(401, slog.LevelInfo, "a document is in force", "none")
	ConfigInvalid        = define(402, slog.LevelError, "a document in the table is not valid for this release", "apply a valid document, or finish the release on this daemon")
	ConfigUnreachable    = define(403, slog.LevelWarn, "the table cannot be read; the present configuration stays in force", "see docs/OPERATIONS.md, a store outage")
	ConfigReachable      = define(404, slog.LevelInfo, "the table can be read again", "none")
	ConfigIncomplete     = define(405, slog.LevelWarn, "the table's documents do not match its head row; they are read again", "none if it ends within a minute; else the table returns stale reads")
	SnapshotWritten      = define(406, slog.LevelInfo, "a snapshot of the configuration was written", "none")
	SnapshotFailed       = define(407, slog.LevelWarn, "no snapshot of the configuration could be written", "none if a later one succeeds; else look at the object store")
	ConfigBehind         = define(408, slog.LevelError, "the table's configuration is older than what is in force", "if the table was restored from a backup, apply every service again until its revision passes the one in force")
	ArchiveUnreadable    = define(415, slog.LevelWarn, "the archive of the configuration cannot be read; the daemon starts from the table", "none if a later start succeeds; else look at the object store")
	ArchiveInForce       = define(416, slog.LevelWarn, "neither the table nor a peer gave the configuration; the archive is in force, which may be minutes old", "see docs/OPERATIONS.md, a store outage")
	PlatformOutage       = define(410, slog.LevelWarn, "a store of the platform is out of reach; it is probed by one call at a time", "see docs/OPERATIONS.md, a store outage")
	PlatformRecovered    = define(411, slog.LevelInfo, "a store of the platform answers again", "none")
	PlatformAnswerLost   = define(412, slog.LevelWarn, "the answer to a write was lost; the write is settled by its operation id", "none")
	PlatformUnsettled    = define(413, slog.LevelWarn, "a write may have taken effect and could not be settled in time", "none; the caller of the write treats it as done and not done")
	PlatformRetriesSpent = define(414, slog.LevelWarn, "the retry budget is spent; calls fail at the first fault", "look at the store's latency and errors")
	FeedUnreachable      = define(420, slog.LevelWarn, "a table of the store cannot be followed; what is known stays in force", "see docs/OPERATIONS.md, a store outage")
	FeedReachable        = define(421, slog.LevelInfo, "a table of the store can be followed again", "none")
	FeedHistoryLost      = define(422, slog.LevelInfo, "the store has dropped its history; the table is read again", "none")
	RowUnreadable        = define(423, slog.LevelWarn, "a row of the store cannot be read and is passed over", "look at who writes the row that the line names")
	RoutesInForce        = define(424, slog.LevelInfo, "a version of the routes is in force", "none")
	RoutesOlder          = define(425, slog.LevelWarn, "the store holds older routes than those in force; they are passed over", "write the routes again with a higher version")
	StoreReader          = define(427, slog.LevelInfo, "another daemon of the zone reads the store for this one, or this one for others, from now on", "none")
	StoreReaderLost      = define(428, slog.LevelWarn, "the daemon that reads the store for this one does not help; this one asks the store itself for a while", "if it recurs, look at the daemon that the line names")
	FeedRestored         = define(429, slog.LevelWarn, "the store came back from a copy; the table is read again, and what is known stays until its writers had time to write it again", "see docs/OPERATIONS.md, a store back from a copy")
	RoutesDiffer         = define(431, slog.LevelWarn, "the store holds other routes under the version in force; they are passed over", "write the routes again with a higher version")
	TargetsShadowed      = define(432, slog.LevelWarn, "the store's copy holds targets that had left or were draining; they get no requests until the store tells of them anew, for a bounded time", "none")
	RowNotWritten        = define(426, slog.LevelWarn, "this daemon could not write its own row; it tries again", "see docs/OPERATIONS.md, a store outage")
)
