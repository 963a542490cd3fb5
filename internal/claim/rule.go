package claim

import (
	"bytes"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// action is what a claim does about an existing row.
type action uint8

const (
	// actionProceed: the row is this claim's own; the run is permitted.
	actionProceed action = iota
	// actionWrite: write the claim, provided that the row still has this revision.
	actionWrite
	// actionQuery: the row is open; query its claimant.
	actionQuery
	// actionDecided: return the decision.
	actionDecided
)

// evaluateRow evaluates a row that a claim found instead of the one that it
// expected. The decision is set with actionDecided.
func evaluateRow(row observedRow, own Record) (action, Decision) {
	if row.Revision == 0 {
		return actionWrite, nil
	}
	if row.Token == own.Token && !row.Done {
		// The write took effect, but its response was lost.
		return actionProceed, nil
	}
	if !bytes.Equal(row.Digest, own.Digest) {
		return actionDecided, Refuse{resultcode.Fail(resultcode.IdempotencyKeyReused, "")}
	}
	if row.Done {
		return evaluateOutcome(row.Outcome)
	}
	if row.Daemon == own.Daemon && row.Incarnation != own.Incarnation {
		// An earlier process of this daemon may have dispatched the request, and
		// its in-memory state is lost.
		return actionDecided, unknownOutcome("its daemon has restarted since")
	}
	return actionQuery, nil
}

// evaluateStatus evaluates an open row after its claimant was queried.
func evaluateStatus(status Status, err error) (action, Decision) {
	switch {
	case err != nil:
		return actionDecided, unknownOutcome("its daemon cannot be asked")
	case status.Kind == StateRevoked:
		return actionWrite, nil
	case status.Kind == StateRunning:
		return actionDecided, Refuse{resultcode.Fail(resultcode.InProgress, "")}
	case status.Kind == StateFinished:
		return evaluateOutcome(status.Outcome)
	}
	return actionDecided, unknownOutcome("its daemon has restarted since")
}

func evaluateOutcome(o Outcome) (action, Decision) {
	switch {
	case o.Result == resultcode.NotRun:
		return actionWrite, nil
	case o.Result == resultcode.Ran && o.HasResponse:
		return actionDecided, Replay{o}
	case o.Result == resultcode.Ran:
		return actionDecided, Refuse{resultcode.Fail(resultcode.AlreadyRan, "")}
	}
	return actionDecided, unknownOutcome("the attempt broke off")
}

func unknownOutcome(reason string) Decision {
	return Refuse{resultcode.Fail(resultcode.OutcomeUnknown, "%s", reason)}
}

// evaluateFinalConflict reports whether the conflicting row settles the write of a
// claim's final record. If not, it returns the revision at which to retry.
func evaluateFinalConflict(row observedRow, token ident.Attempt) (revision uint64, settled bool) {
	if row.Revision == 0 || row.Token != token || row.Done {
		// The row expired, was taken over after a promise, or was written by an
		// earlier try whose response was lost.
		return 0, true
	}
	return row.Revision, false
}
