package event

import "log/slog"

// Events of targets, as their owners' probes see them.
var (
	TargetLeaving  = define(301, slog.LevelInfo, "target says that it leaves", "none")
	TargetReturned = define(302, slog.LevelInfo, "target does not leave any more", "none")
	TargetSilent   = define(303, slog.LevelWarn, "target does not answer its probe", "look at the target and at the way from this VM to it")
	TargetAnswers  = define(304, slog.LevelInfo, "target answers its probe again", "none")
)

// Events of targets that register themselves.
var (
	TargetsChanged  = define(310, slog.LevelInfo, "the registered targets of a service have changed", "none")
	AnswerForeign   = define(311, slog.LevelWarn, "a target sent an answer that belongs to another request; it is dropped", "look at the target that the line names")
	AnswerMalformed = define(312, slog.LevelWarn, "a target sent bytes that are no answer; its connection is dropped", "look at the target that the line names")
)
