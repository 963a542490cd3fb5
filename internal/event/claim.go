package event

import "log/slog"

// Events of claims.
var (
	ClaimTransactionFailed = define(500, slog.LevelWarn, "a transaction on claims failed and is retried", "see docs/operations/store-outage.md")
	ClaimRefused           = define(501, slog.LevelWarn, "unrepeatable requests are refused because they cannot be claimed (at most one line a second)", "see docs/operations/store-outage.md")
	ClaimRowInvalid        = define(502, slog.LevelError, "the row of a claim cannot be decoded", "find out which process wrote the row that the line names; the row expires by itself")
	ClaimantUnreachable    = define(503, slog.LevelWarn, "a claimant could not be queried, so a caller was told that its request may have run (at most one line a second)", "check the daemon that the line names")
)

// Events of leases and orders.
var (
	LeaseHeld             = define(520, slog.LevelInfo, "an order waits because another daemon may hold the target's lease", "none")
	LeaseNotReleased      = define(521, slog.LevelInfo, "a lease could not be released and will expire", "none")
	OrderAccepted         = define(522, slog.LevelInfo, "the target has accepted an order", "none")
	OrderRefused          = define(523, slog.LevelWarn, "the target refused an order with an old fencing token", "if it repeats, see docs/operations/target-takes-no-orders.md")
	OrderDocumentOutdated = define(524, slog.LevelInfo, "no order is sent because another daemon has a newer document", "if it repeats, find out why this daemon does not receive documents")
	TargetTakesNoOrders   = define(525, slog.LevelWarn, "the target is not in its desired state and accepts no orders", "see docs/operations/target-takes-no-orders.md")
)
