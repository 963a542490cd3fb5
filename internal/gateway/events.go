package gateway

import (
	"cmp"
	"errors"

	"github.com/savorystall/savorystall/internal/eventmemory"
	"github.com/savorystall/savorystall/internal/eventstream"
)

// errUnconfirmedEvent reports that the target which is to continue a stream does not have an event that was
// delivered: that event was not part of the stream.
var errUnconfirmedEvent = errors.New("the next target's stream lacks an event that was delivered")

// maxKeptEventBytes is the largest buffer for complete events that is kept until more arrive.
const maxKeptEventBytes = 16 << 10

// maxUnconfirmedEvents is the largest number of events after a gap that become unconfirmed when foreign bytes arrive.
const maxUnconfirmedEvents = 8

// eventFilter extracts the events of one stream that may be received from several targets in turn, and drops
// those that were already delivered. Events are passed on unchanged.
type eventFilter struct {
	parser eventstream.Parser
	progress
	// attemptID is the ID of the last event of the current attempt.
	attemptID eventstream.ID
	// unconfirmed is set if the next target has to send the events from the gap on again.
	unconfirmed bool
	// resumed is set once it has sent the first of them.
	resumed bool
	// complete holds the events to deliver.
	complete []byte
	// withdrawn is set if events of the current attempt were removed before they were delivered.
	withdrawn bool
	// beforeGap is the state before the first event of the current read that left a gap.
	beforeGap checkpoint
	// beforeLast is the state before the last event of the current read.
	beforeLast checkpoint
	// memory bounds the memory of the events of all streams; it may be nil.
	memory *eventmemory.Stream
}

// progress describes the events that were delivered.
type progress struct {
	// lastID is the ID of the last delivered event.
	lastID eventstream.ID
	// count is the number of delivered events with an ID.
	count int
	// gap is the last gap of the current attempt.
	gap idGap
	// gaps is the number of gaps of the whole stream.
	gaps int
}

// checkpoint is a state of the filter within one read.
type checkpoint struct {
	isSet bool
	progress
	// completeBytes is the length of the events to deliver.
	completeBytes int
}

// idGap is the last gap between the IDs that the current target has sent.
type idGap struct {
	// from is the ID of the event before the gap.
	from eventstream.ID
	// to is the ID of the event after it.
	to eventstream.ID
	// events is the number of events since the gap; zero if there is no gap.
	events int
}

// newEventFilter returns the filter of a stream whose caller has the event with the ID after.
func newEventFilter(after eventstream.ID, extra eventstream.ExtraField) eventFilter {
	return eventFilter{parser: eventstream.Parser{Extra: extra}, progress: progress{lastID: after}}
}

// startAttempt prepares for the stream of another target.
func (f *eventFilter) startAttempt() {
	f.parser.Deliver = f.accept
	f.parser.Reset()
	f.resumed, f.withdrawn, f.attemptID = false, false, eventstream.ID{}
	if !f.unconfirmed {
		f.gap = idGap{}
	}
}

// resumeAfter returns the ID after which the next target is to continue the stream.
func (f *eventFilter) resumeAfter() eventstream.ID {
	if f.unconfirmed {
		return f.gap.from
	}
	return f.lastID
}

// distrust records that the target whose response is being received has sent bytes that are no event. If its
// last events follow a gap, they may be foreign as well, and a stream that is resumed after them would miss all
// events in between. They become unconfirmed: the next target has to send them again.
func (f *eventFilter) distrust() {
	f.unconfirmed = f.unconfirmed || f.gap.events > 0 && f.gap.events <= maxUnconfirmedEvents
}

// distrustFirstGap records that the response has broken off without such bytes. Its last events become unconfirmed
// only if the stream has no other gap.
func (f *eventFilter) distrustFirstGap() {
	if f.gaps == 1 {
		f.distrust()
	}
}

// missesEvents reports whether a response that has ended did not contain all events that were delivered.
func (f *eventFilter) missesEvents() bool {
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
// An error means that what follows them is not part of the stream, or that the stream was ended for its memory.
func (f *eventFilter) feed(b []byte) ([]byte, error) {
	f.complete = f.complete[:0]
	f.beforeGap, f.beforeLast = checkpoint{}, checkpoint{}
	err := f.parser.Feed(b)
	var violation eventstream.Violation
	if errors.As(err, &violation) {
		f.withdraw(violation)
	}
	if len(f.complete) > 0 {
		f.memory.NextEvent()
	}
	return f.complete, cmp.Or(err, f.holdMemory())
}

// withdraw removes the events of the current read that may be foreign, as bytes that are no event follow them: those
// after a gap, and the first of two events with one ID.
func (f *eventFilter) withdraw(violation eventstream.Violation) {
	to := f.beforeGap
	if !to.isSet && violation == eventstream.DuplicateID {
		to = f.beforeLast
	}
	if to.isSet {
		f.progress, f.complete = to.progress, f.complete[:to.completeBytes]
		f.withdrawn = true
	}
}

// delivered frees the memory of the events that feed has returned.
func (f *eventFilter) delivered() error {
	f.complete = f.complete[:0]
	if cap(f.complete) > maxKeptEventBytes {
		f.complete = nil
	}
	return f.holdMemory()
}

// holdMemory reports the present memory of the stream to the budget. It returns an error if the stream was ended.
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
	f.beforeLast = checkpoint{isSet: true, progress: f.progress, completeBytes: len(f.complete)}
	before := f.lastID
	before.Known = true // 0 if there is none: IDs usually begin at 0 or 1
	if id.Value > before.Value+1 {
		if !f.beforeGap.isSet {
			f.beforeGap = f.beforeLast
		}
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

// confirm compares an event of the next target with the unconfirmed ones, of which it has to send the first and
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
