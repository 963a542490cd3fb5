package event

import "log/slog"

// Events of claims.
var (
	ClaimStoreFailed = define(500, slog.LevelWarn, "a transaction of claims failed and is tried again", "see docs/operations/store-outage.md")
	ClaimRefused     = define(501, slog.LevelWarn, "unrepeatable requests are refused because they cannot be claimed (at most one line a second)", "see docs/operations/store-outage.md")
	ClaimRowBad      = define(502, slog.LevelError, "the row of a claim cannot be read", "find out who wrote the row that the line names; it expires by itself")
	ClaimantSilent   = define(503, slog.LevelWarn, "a claimant could not be asked, so a caller was told that its request may have run (at most one line a second)", "look at the daemon that the line names")
)

// Events of leases and orders.
var (
	LeaseHeld           = define(520, slog.LevelInfo, "an order waits because another daemon may hold the target's lease", "none")
	LeaseNotReleased    = define(521, slog.LevelInfo, "a lease could not be given up and will lapse", "none")
	OrderGiven          = define(522, slog.LevelInfo, "the target has taken an order", "none")
	OrderRefused        = define(523, slog.LevelWarn, "the target refused an order with an old fencing number", "if it repeats, see docs/operations/target-takes-no-orders.md")
	OrderBehind         = define(524, slog.LevelInfo, "no order is given because another daemon has a later document", "if it repeats, see why this daemon does not receive documents")
	TargetTakesNoOrders = define(525, slog.LevelWarn, "the target is not in its wanted state and takes no orders", "see docs/operations/target-takes-no-orders.md")
)
