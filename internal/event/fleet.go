package event

import "log/slog"

// Events of the links between daemons.
var (
	FleetLinkUp      = define(601, slog.LevelInfo, "link to a daemon is up", "none")
	FleetLinkDown    = define(602, slog.LevelInfo, "link to a daemon is down", "none, unless it stays down: see docs/OPERATIONS.md, a cut zone")
	FleetLinkSilent  = define(603, slog.LevelWarn, "link to a daemon went silent and is replaced", "look for a middlebox that drops idle connections")
	FleetLinkRefused = define(604, slog.LevelWarn, "link of a daemon was refused", "see the reason in the line; two daemons may share a name")
	FleetBadFrame    = define(605, slog.LevelError, "frame of a daemon could not be read", "check that all daemons run versions that go together")
	FleetOutdated    = define(607, slog.LevelError, "peers hold a later incarnation of this daemon and refuse its links", "check that no other daemon has its name and that the VM's clock is right, then restart it")
	FleetHandshake   = define(608, slog.LevelWarn, "a TLS handshake with another daemon failed (at most one line in 10 s)", "see docs/operations/tls.md")
	FleetTwoOfOne    = define(609, slog.LevelError, "two daemons run under one name; the one that started first is refused and takes all targets for its own", "stop the daemon at the address that the line gives as refused, or give it another name")
	FleetSlowPeer    = define(606, slog.LevelWarn, "queue to a daemon overflowed and its link was reset", "look at the load of the daemon that the line names")
)
