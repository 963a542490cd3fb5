package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	store "github.com/savorystall/savorystall/internal/platform"
)

// takeSignal reports whether the writer was woken, and consumes the signal.
func takeSignal(o *ownRow) bool {
	select {
	case <-o.lostSignal:
		return true
	default:
		return false
	}
}

func TestOwnRowIsLostIfALaterReadLacksIt(t *testing.T) {
	is := is.New(t)
	o := newOwnRow()
	o.observe(false, store.NewRevision(1, 50), 7) // before the row was written
	o.recordWrite(store.NewRevision(1, 60))
	o.observe(false, store.NewRevision(1, 55), 7) // a delayed read
	is.True(!takeSignal(o))
	o.observe(true, store.NewRevision(2, 40), 7)
	is.True(!takeSignal(o))
	o.observe(false, store.NewRevision(3, 10), 7)
	is.True(takeSignal(o))
	o.recordWrite(store.NewRevision(3, 11))
	is.True(!o.isLost())
	is.True(!takeSignal(o))
}

// An acknowledgement that arrives after the row was found missing must not hide the loss.
func TestOwnRowIsLostDespiteLateAcknowledgement(t *testing.T) {
	is := is.New(t)
	o := newOwnRow()
	o.observe(false, store.NewRevision(2, 40), 7)
	is.True(!takeSignal(o)) // the first write is still in progress
	o.recordWrite(store.NewRevision(1, 60))
	is.True(takeSignal(o))
	is.True(o.isLost())
}

func TestLostRowsAreRewrittenAtTheFleetRate(t *testing.T) {
	is := is.New(t)
	is.Equal(rewriteDelay(360, 0.5), 750*time.Millisecond)
	is.Equal(rewriteDelay(maxRewritesPerSecond, 1), time.Second)
	is.Equal(rewriteDelay(7, 0), time.Duration(0))
}
