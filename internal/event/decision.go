package event

import "log/slog"

// ServiceShared is logged once a second while a workspace lacks.
var ServiceShared = define(701, slog.LevelInfo, "how a service is shared among workspaces, as this daemon sees it, and what it did itself", "none")
