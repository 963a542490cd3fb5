package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	store "github.com/savorystall/savorystall/internal/platform"
)

// signalled tells whether the writer was woken, and takes the signal.
func signalled(o *ownRow) bool {
	select {
	case <-o.lost:
		return true
	default:
		return false
	}
}

func TestTheOwnRowIsLostWhereALaterReadingLacksIt(t *testing.T) {
	is := is.New(t)
	o := newOwnRow()
	o.told(false, store.NewRevision(1, 50), 7) // before it was written
	o.wrote(store.NewRevision(1, 60))
	o.told(false, store.NewRevision(1, 55), 7) // a late reading
	is.True(!signalled(o))
	o.told(true, store.NewRevision(2, 40), 7)
	is.True(!signalled(o))
	o.told(false, store.NewRevision(3, 10), 7)
	is.True(signalled(o))
	o.wrote(store.NewRevision(3, 11))
	is.True(!o.isLost())
	is.True(!signalled(o))
}

// An acknowledgement that arrives after the row was found lost must not hide the loss.
func TestTheOwnRowIsLostWhereItsAcknowledgementIsLate(t *testing.T) {
	is := is.New(t)
	o := newOwnRow()
	o.told(false, store.NewRevision(2, 40), 7)
	is.True(!signalled(o)) // its first write is under way
	o.wrote(store.NewRevision(1, 60))
	is.True(signalled(o))
	is.True(o.isLost())
}

func TestLostRowsAreWrittenAgainAtTheFleetsRate(t *testing.T) {
	is := is.New(t)
	is.Equal(rewriteDelay(360, 0.5), 750*time.Millisecond)
	is.Equal(rewriteDelay(rewriteRate, 1), time.Second)
	is.Equal(rewriteDelay(7, 0), time.Duration(0))
}
