package event

import "log/slog"

// Events of claims.
var (
	ClaimStoreFailed = define(500, slog.LevelWarn, "a transaction of claims failed and is tried again", "see the page on a store outage")
	ClaimRefused     = define(501, slog.LevelWarn, "an unrepeatable request was refused because it could not be claimed", "see the page on a store outage")
	ClaimRowBad      = define(502, slog.LevelError, "the row of a claim cannot be read", "find out who wrote the row that the line names; it expires by itself")
	ClaimantSilent   = define(503, slog.LevelWarn, "a claimant could not be asked, so the caller was told that the request may have run", "look at the daemon that the line names")
)
