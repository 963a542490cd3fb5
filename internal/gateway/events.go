package gateway

import (
	"bytes"
	"strconv"
)

// eventFilter extracts complete events from one event stream that may be received from
// several targets in turn, and drops the events that were already delivered. Events are
// passed on unchanged whatever they contain; only their IDs are parsed.
type eventFilter struct {
	// lastID is the ID of the last delivered event, count the number of delivered events
	// with an ID.
	lastID uint64
	count  int
	// partialEvent is the start of an event whose end has not arrived yet.
	partialEvent []byte
	complete     []byte
}

// startAttempt prepares for the stream of another target.
func (f *eventFilter) startAttempt() {
	f.partialEvent = f.partialEvent[:0]
}

// maxEventBytes bounds one event, which is kept until it is complete.
const maxEventBytes = 1 << 20

// isTooLong reports whether an event has not ended within maxEventBytes.
func (f *eventFilter) isTooLong() bool { return len(f.partialEvent) > maxEventBytes }

// hasPartialEvent reports whether the stream has stopped within an event.
func (f *eventFilter) hasPartialEvent() bool { return len(bytes.TrimSpace(f.partialEvent)) > 0 }

// feed adds received bytes and returns the complete events to deliver. The returned slice is
// valid until the next call.
func (f *eventFilter) feed(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	f.partialEvent = append(f.partialEvent, b...)
	f.complete = f.complete[:0]
	start := 0
	for {
		length := eventLength(f.partialEvent[start:])
		if length == 0 {
			break
		}
		event := f.partialEvent[start : start+length]
		start += length
		if f.acceptEvent(event) {
			f.complete = append(f.complete, event...)
		}
	}
	f.partialEvent = append(f.partialEvent[:0], f.partialEvent[start:]...)
	return f.complete
}

// eventLength returns the length of the event at the start of b including its terminating
// empty line, or zero if the event is incomplete.
func eventLength(b []byte) int {
	for offset := 0; offset < len(b); {
		end := bytes.IndexByte(b[offset:], '\n')
		if end < 0 {
			return 0
		}
		line := b[offset : offset+end]
		offset += end + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return offset
		}
	}
	return 0
}

// acceptEvent records an event's ID and reports whether the event must be delivered. An
// event without a valid ID, such as a comment, is always delivered; the stream cannot be
// resumed after it.
func (f *eventFilter) acceptEvent(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}
	if id <= f.lastID && f.lastID > 0 {
		return false
	}
	f.lastID = id
	f.count++
	return true
}

var idField = []byte("id:")

func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
