package gateway

import (
	"cmp"
	"errors"

	"github.com/savorystall/savorystall/internal/eventmemory"
	"github.com/savorystall/savorystall/internal/eventstream"
)

// errUnconfirmedEvent reports that the target which is to continue a stream lacks an event that was delivered,
// so that this was none of the stream.
var errUnconfirmedEvent = errors.New("the next target's stream lacks an event that was delivered")

// maxKeptEventBytes is the largest buffer for complete events that is kept until more arrive.
const maxKeptEventBytes = 16 << 10

// maxDoubtedEvents is how many events that follow a gap without another one are doubted once foreign bytes come.
const maxDoubtedEvents = 8

// eventFilter extracts the events of one stream that may be received from several targets in turn, and drops
// those that were already delivered. Events are passed on unchanged.
type eventFilter struct {
	parser eventstream.Parser
	// lastID is the ID of the last delivered event and count the number of delivered events with an ID.
	lastID eventstream.ID
	count  int
	// gap is the last gap of the current attempt, and gaps the number of all gaps of the stream.
	gap  idGap
	gaps int
	// attemptID is the ID of the last event of the current attempt.
	attemptID eventstream.ID
	// unconfirmed is set if the next target has to send the events from the gap on again, and resumed once
	// it has sent the first of them.
	unconfirmed, resumed bool
	complete             []byte
	// memory bounds what the events of all streams take; it may be nil.
	memory *eventmemory.Stream
}

// idGap is the last gap between the IDs that the current target has sent.
type idGap struct {
	// from is the ID of the event before the gap and to that of the one after it.
	from, to eventstream.ID
	// events is the number of events since the gap; zero if there is none.
	events int
}

// newEventFilter returns the filter of a stream whose caller has the event with the ID after.
func newEventFilter(after eventstream.ID, extra eventstream.ExtraField) eventFilter {
	return eventFilter{parser: eventstream.Parser{Extra: extra}, lastID: after}
}

// startAttempt prepares for the stream of another target.
func (f *eventFilter) startAttempt() {
	f.parser.Deliver = f.accept
	f.parser.Reset()
	f.resumed, f.attemptID = false, eventstream.ID{}
	if !f.unconfirmed {
		f.gap = idGap{}
	}
}

// resumeAfter returns the ID after which the next target is to go on.
func (f *eventFilter) resumeAfter() eventstream.ID {
	if f.unconfirmed {
		return f.gap.from
	}
	return f.lastID
}

// distrust records that the target whose response is being received has sent bytes that are no event. If its
// last events follow a gap, they may have been foreign, too: a stream that goes on after them would lack all
// events in between. The next target has to send them again.
func (f *eventFilter) distrust() {
	f.unconfirmed = f.unconfirmed || f.gap.events > 0 && f.gap.events <= maxDoubtedEvents
}

// distrustFirstGap records that the response has broken off without such bytes. Its last events are doubted
// only if no other event of the stream left a gap.
func (f *eventFilter) distrustFirstGap() {
	if f.gaps == 1 {
		f.distrust()
	}
}

// lacksEvents reports whether a response that has ended lacks events that were delivered.
func (f *eventFilter) lacksEvents() bool {
	return f.unconfirmed || f.attemptID.Known && f.attemptID.Value < f.lastID.Value
}

// hasPartialEvent reports whether the stream has stopped within an event.
func (f *eventFilter) hasPartialEvent() bool { return f.parser.HasPartialEvent() }

// endAttempt frees the memory of events.
func (f *eventFilter) endAttempt() {
	f.parser.Free()
	f.complete = nil
	f.memory.Release()
}

// feed adds received bytes and returns the complete events to deliver, which are valid until the next call.
// An error says that what follows them is not of the stream, or that the stream takes too much memory.
func (f *eventFilter) feed(b []byte) ([]byte, error) {
	f.complete = f.complete[:0]
	err := f.parser.Feed(b)
	if len(f.complete) > 0 {
		f.memory.NextEvent()
	}
	return f.complete, cmp.Or(err, f.holdMemory())
}

// delivered frees the memory of the events that feed has returned.
func (f *eventFilter) delivered() error {
	f.complete = f.complete[:0]
	if cap(f.complete) > maxKeptEventBytes {
		f.complete = nil
	}
	return f.holdMemory()
}

func (f *eventFilter) holdMemory() error {
	return f.memory.Hold(f.parser.BufferedBytes() + cap(f.complete))
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
	f.attemptID = id
	if f.unconfirmed {
		return false, f.confirm(id)
	}
	if f.lastID.Known && id.Value <= f.lastID.Value {
		return false, nil
	}
	before := f.lastID
	before.Known = true // 0 if there is none: IDs usually begin at 0 or 1
	if id.Value > before.Value+1 {
		f.gap = idGap{from: before, to: id}
		f.gaps++
	}
	if f.gap.to.Known {
		f.gap.events++
	}
	f.lastID = id
	f.count++
	return true, nil
}

// confirm compares an event of the next target with the doubted ones, of which it has to send the first and
// the last one.
func (f *eventFilter) confirm(id eventstream.ID) error {
	switch {
	case id.Value <= f.gap.from.Value:
		return nil
	case !f.resumed && id != f.gap.to || id.Value > f.lastID.Value:
		return errUnconfirmedEvent
	}
	f.resumed = true
	if id == f.lastID {
		f.unconfirmed, f.gap = false, idGap{}
	}
	return nil
}
