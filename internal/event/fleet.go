package event

import "log/slog"

// Events of the links between daemons.
var (
	FleetLinkUp           = define(601, slog.LevelInfo, "link to a daemon is up", "none")
	FleetLinkDown         = define(602, slog.LevelInfo, "link to a daemon is down", "none, unless it stays down: see docs/OPERATIONS.md, a cut zone")
	FleetLinkUnresponsive = define(603, slog.LevelWarn, "link to a daemon is unresponsive and is replaced", "look for a middlebox that drops idle connections")
	FleetLinkRefused      = define(604, slog.LevelWarn, "link from a daemon was refused", "see the reason in the line; two daemons may have the same name")
	FleetInvalidFrame     = define(605, slog.LevelError, "frame from a daemon could not be decoded", "check that all daemons run versions that are compatible")
	FleetOldIncarnation   = define(607, slog.LevelError, "peers know a later incarnation of this daemon and refuse its links", "check that no other daemon has its name and that the VM's clock is right, then restart it")
	FleetHandshakeFailed  = define(608, slog.LevelWarn, "a TLS handshake with another daemon failed (at most one line in 10 s)", "see docs/operations/tls.md")
	FleetDuplicateName    = define(609, slog.LevelError, "two daemons have the same name; the one that started first is refused and considers itself the owner of all targets", "stop the daemon at the address that the line gives as refused, or give it another name")
	FleetLinksSummary     = define(610, slog.LevelInfo, "links to daemons have come up or gone down that have no lines of their own; links is how many are up", "none; at a start links reaches the number of daemons less one")
	FleetSlowPeer         = define(606, slog.LevelWarn, "send queue to a daemon overflowed and its link was reset", "check the load of the daemon that the line names")
)
