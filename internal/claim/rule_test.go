package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
)

func TestAbandonedClaimStaysAbandoned(t *testing.T) {
	// The table responds after the caller was told that the request did not run. The
	// claim must not become active again, either through its entry or through its own
	// final record in the row.
	is := is.New(t)
	now := time.Now()
	l := newLedger(time.Hour)
	is.Equal(l.begin(testKey, "token", testDigest, now), nil)
	is.True(l.abandon(testKey, "token"))
	is.True(!l.markHeld(testKey, "token"))
	is.True(!l.start(testKey, "token", now))
	is.Equal(l.answerQuery(testKey, "token", now).Kind, StateRevoked)

	own := Record{Token: "token", Digest: testDigest, Daemon: "a", Incarnation: 1}
	row := observedRow{Record: own, Revision: 7}
	act, _ := evaluateRow(row, own)
	is.Equal(act, actionProceed)
	row.Done, row.Outcome = true, Outcome{Result: resultcode.MayHaveRun}
	act, _ = evaluateRow(row, own)
	is.Equal(act, actionDecided)
}
