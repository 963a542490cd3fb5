package gateway

import (
	"errors"

	"github.com/savorystall/savorystall/internal/eventstream"
)

// errUnconfirmedEvent reports that the target which is to continue a stream lacks the last delivered event,
// so that this was none of the stream.
var errUnconfirmedEvent = errors.New("the next target's stream lacks an event that was delivered")

// maxKeptEventBytes is the largest buffer for complete events that is kept until more arrive.
const maxKeptEventBytes = 16 << 10

// eventFilter extracts the events of one stream that may be received from several targets in turn, and drops
// those that were already delivered. Events are passed on unchanged.
type eventFilter struct {
	parser eventstream.Parser
	// lastID is the ID of the last delivered event and previousID that of the one before it. count is the
	// number of delivered events with an ID.
	lastID, previousID eventstream.ID
	count              int
	// inAttempt is set once the response of the current target has brought a new event.
	inAttempt bool
	// unconfirmed is set if the last delivered event has to come again from the next target.
	unconfirmed bool
	complete    []byte
}

// newEventFilter returns the filter of a stream whose caller has the event with the ID after; zero means that it has none.
func newEventFilter(after uint64, extra eventstream.ExtraField) eventFilter {
	return eventFilter{parser: eventstream.Parser{Extra: extra}, lastID: eventstream.ID{Value: after, Known: after > 0}}
}

// startAttempt prepares for the stream of another target.
func (f *eventFilter) startAttempt() {
	f.parser.Deliver = f.accept
	f.parser.Reset()
	f.inAttempt = false
}

// resumeAfter returns the ID after which the next target is to go on.
func (f *eventFilter) resumeAfter() eventstream.ID {
	if f.unconfirmed {
		return f.previousID
	}
	return f.lastID
}

// distrust records that the target whose response is being received has sent bytes that are no event. If its
// last event did not follow directly on the one before, that may have been foreign, too: a stream that goes
// on after it would lack all events in between. The next target has to send it again.
func (f *eventFilter) distrust() {
	if !f.inAttempt {
		return
	}
	next := uint64(1) // IDs usually begin at 0 or 1
	if f.previousID.Known {
		next = f.previousID.Value + 1
	}
	f.unconfirmed = f.lastID.Value > next
}

// hasPartialEvent reports whether the stream has stopped within an event.
func (f *eventFilter) hasPartialEvent() bool { return f.parser.HasPartialEvent() }

// feed adds received bytes and returns the complete events to deliver, which are valid until the next call.
// An error says that what follows them is not of the stream.
func (f *eventFilter) feed(b []byte) ([]byte, error) {
	f.complete = f.complete[:0]
	if cap(f.complete) > maxKeptEventBytes {
		f.complete = nil
	}
	err := f.parser.Feed(b)
	return f.complete, err
}

// accept adds an event to those to deliver, unless it was delivered before. What has no ID, such as a comment,
// is always delivered.
func (f *eventFilter) accept(e eventstream.Event) error {
	if e.ID.Known {
		isNew, err := f.acceptID(e.ID)
		if !isNew {
			return err
		}
	}
	f.complete = append(f.complete, e.Text...)
	return nil
}

// acceptID records the ID of an event and reports whether the event is to be delivered.
func (f *eventFilter) acceptID(id eventstream.ID) (isNew bool, err error) {
	switch {
	case f.previousID.Known && id.Value <= f.previousID.Value:
		return false, nil
	case f.unconfirmed && id != f.lastID:
		return false, errUnconfirmedEvent
	case f.lastID.Known && id.Value <= f.lastID.Value:
		f.unconfirmed = false
		return false, nil
	}
	f.previousID, f.lastID = f.lastID, id
	f.inAttempt = true
	f.count++
	return true, nil
}
