package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
)

func TestClaimThatWasGivenUpStaysSo(t *testing.T) {
	// The table's answer comes after the caller was told "not run". The claim must
	// not come to life again: by its entry, or by its own final record in the row.
	is := is.New(t)
	now := time.Now()
	l := newLedger(time.Hour)
	is.Equal(l.begin(key, "token", digest, now), nil)
	is.True(l.drop(key, "token"))
	is.True(!l.held(key, "token"))
	is.True(!l.start(key, "token", now))
	is.Equal(l.answer(key, "token", now).Kind, AnswerNever)

	mine := Record{Token: "token", Digest: digest, Daemon: "a", Incarnation: 1}
	row := observed{Record: mine, Revision: 7}
	v, _ := judge(row, mine)
	is.Equal(v, verdictHeld)
	row.Done, row.Outcome = true, Outcome{Result: resultcode.MayHaveRun}
	v, _ = judge(row, mine)
	is.Equal(v, verdictFinal)
}
