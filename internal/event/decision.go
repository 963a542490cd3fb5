package event

import "log/slog"

// ServiceShares is logged once a second while a workspace of the service is underserved or the
// daemon refuses requests.
var ServiceShares = define(701, slog.LevelInfo, "how a service is shared among workspaces, as this daemon sees it, and what it did itself", "none")
