package claim

import (
	"bytes"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// verdict is what a claim does about the row that it found.
type verdict uint8

const (
	// verdictHeld: the row is this claim's own; the run is permitted.
	verdictHeld verdict = iota
	// verdictWrite: write the claim where the row still has its revision.
	verdictWrite
	// verdictAsk: the row is open; ask its claimant.
	verdictAsk
	// verdictFinal: the decision stands.
	verdictFinal
)

// judge decides about a row that a claim found in place of the one that it
// expected. The decision is set with verdictFinal.
func judge(row observed, mine Record) (verdict, Decision) {
	if row.Revision == 0 {
		return verdictWrite, nil
	}
	if row.Token == mine.Token && !row.Done {
		// The write took effect and its answer was lost.
		return verdictHeld, nil
	}
	if !bytes.Equal(row.Digest, mine.Digest) {
		return verdictFinal, Refuse{resultcode.Fail(resultcode.KeyReused, "")}
	}
	if row.Done {
		return judgeOutcome(row.Outcome)
	}
	if row.Daemon == mine.Daemon && row.Incarnation != mine.Incarnation {
		// An earlier process of this daemon may have dispatched, and what it
		// knew died with it.
		return verdictFinal, unknownOutcome("its daemon has restarted since")
	}
	return verdictAsk, nil
}

// judgeAnswer decides about an open row after its claimant was asked.
func judgeAnswer(a Answer, err error) (verdict, Decision) {
	switch {
	case err != nil:
		return verdictFinal, unknownOutcome("its daemon cannot be asked")
	case a.Kind == AnswerNever:
		return verdictWrite, nil
	case a.Kind == AnswerRunning:
		return verdictFinal, Refuse{resultcode.Fail(resultcode.InProgress, "")}
	case a.Kind == AnswerFinished:
		return judgeOutcome(a.Outcome)
	}
	return verdictFinal, unknownOutcome("its daemon has restarted since")
}

func judgeOutcome(o Outcome) (verdict, Decision) {
	switch {
	case o.Result == resultcode.NotRun:
		return verdictWrite, nil
	case o.Result == resultcode.Ran && o.Kept:
		return verdictFinal, Replay{o}
	case o.Result == resultcode.Ran:
		return verdictFinal, Refuse{resultcode.Fail(resultcode.AlreadyRan, "")}
	}
	return verdictFinal, unknownOutcome("the attempt broke off")
}

func unknownOutcome(why string) Decision {
	return Refuse{resultcode.Fail(resultcode.OutcomeUnknown, "%s", why)}
}

// judgeFinal tells whether the write of a claim's final record is settled by
// the row that it found, and else at which revision it has to be tried again.
func judgeFinal(row observed, token ident.Attempt) (revision uint64, settled bool) {
	if row.Revision == 0 || row.Token != token || row.Done {
		// Expired, taken over after a promise, or written by a repeat whose
		// answer was lost.
		return 0, true
	}
	return row.Revision, false
}
