// Package eventstream parses a stream of server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html) whose events carry increasing IDs, and
// finds the first bytes that are no event of such a stream. It uses no network.
package eventstream

import (
	"bytes"
	"strconv"
)

const (
	// MaxEventBytes bounds one event, which is kept until it is complete.
	MaxEventBytes = 1 << 20
	// maxNameBytes bounds the name of a field. A longer line without a colon is not a field, and is
	// rejected before its end.
	maxNameBytes = 64
	// maxKeptBytes is the largest buffer that is kept for the next event.
	maxKeptBytes = 16 << 10
)

// Violation is the reason why received bytes are no event of the stream.
type Violation string

// The violations.
const (
	// UnknownField is a line that is neither a comment nor a field of such streams.
	UnknownField Violation = "unknown_field"
	// InvalidValue is a field whose value has not the form that the field requires.
	InvalidValue Violation = "invalid_value"
	// RepeatedID is an event with more than one ID.
	RepeatedID Violation = "repeated_id"
	// MissingID is an event without an ID.
	MissingID Violation = "missing_id"
	// MissingData is an event with an ID and without data.
	MissingData Violation = "missing_data"
	// IDNotIncreasing is an event whose ID is not above that of the event before it.
	IDNotIncreasing Violation = "id_not_increasing"
	// TooLong is an event that does not end within MaxEventBytes.
	TooLong Violation = "too_long"
)

// Error implements error.
func (v Violation) Error() string {
	return "the stream holds bytes that are no event of it: " + string(v)
}

// ID is the ID of an event. The zero value is that of no event, which differs from the ID 0.
type ID struct {
	Value uint64
	Known bool
}

// Event is a complete event, or a comment or setting that stands alone, without an ID.
type Event struct {
	// Text is the event with its terminating empty line. It is valid until the next call of Feed.
	Text []byte
	ID   ID
}

// ExtraField reports whether a line with this name and value is a field that a stream may have in addition to
// the standard ones, as the first line of an event.
type ExtraField func(name, value []byte) bool

// Parser parses the stream of one response. The zero value accepts the standard fields only.
type Parser struct {
	// Extra accepts additional fields; it may be nil.
	Extra ExtraField
	// pending is the start of an event whose end has not arrived yet; its current line begins at lineStart.
	pending   []byte
	lineStart int
	current   eventFields
	lastID    ID
	violation error
}

// eventFields is what is known of the current event.
type eventFields struct {
	lines   int
	id      ID
	hasData bool
	// hasType is set if the event has a type, which has no meaning without data.
	hasType bool
}

// Reset prepares for another response.
func (p *Parser) Reset() { *p = Parser{Extra: p.Extra, pending: p.pending[:0]} }

// HasPartialEvent reports whether the bytes that were received so far end within an event.
func (p *Parser) HasPartialEvent() bool { return len(bytes.TrimSpace(p.pending)) > 0 }

// Feed adds received bytes and calls deliver for each event that is complete. It returns a Violation at the first
// bytes that are no event. Nothing that follows them is parsed.
func (p *Parser) Feed(b []byte, deliver func(Event)) error {
	for len(b) > 0 && p.violation == nil {
		end := bytes.IndexByte(b, '\n') + 1
		isComplete := end > 0
		if !isComplete {
			end = len(b)
		}
		p.pending = append(p.pending, b[:end]...)
		b = b[end:]
		if v := p.parseLine(isComplete, deliver); v != "" {
			p.violation = v
			p.pending = nil
		}
	}
	return p.violation
}

// parseLine parses the last line of pending. An incomplete line is only checked for what can be told already.
func (p *Parser) parseLine(isComplete bool, deliver func(Event)) Violation {
	line := p.pending[p.lineStart:]
	if !isComplete {
		if len(p.pending) > MaxEventBytes {
			return TooLong
		}
		return checkStart(line)
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	if len(line) == 0 {
		return p.endEvent(deliver)
	}
	if len(p.pending) > MaxEventBytes {
		return TooLong
	}
	p.lineStart = len(p.pending)
	v := p.addLine(line)
	p.current.lines++
	return v
}

// checkStart judges the start of a line.
func checkStart(line []byte) Violation {
	if len(line) > maxNameBytes && bytes.IndexByte(line[:maxNameBytes], ':') < 0 {
		return UnknownField
	}
	return ""
}

// addLine records a line of the current event.
func (p *Parser) addLine(line []byte) Violation {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "": // a comment
	case "data":
		p.current.hasData = true
	case "event":
		p.current.hasType = true
	case "id":
		if p.current.id.Known {
			return RepeatedID
		}
		id, ok := parseNumber(value)
		if !ok {
			return InvalidValue
		}
		p.current.id = ID{Value: id, Known: true}
	case "retry":
		if _, ok := parseNumber(value); !ok {
			return InvalidValue
		}
	default:
		if p.current.lines > 0 || p.Extra == nil || !p.Extra(name, value) {
			return UnknownField
		}
	}
	return ""
}

// parseNumber parses a decimal number, which may be surrounded by spaces.
func parseNumber(value []byte) (n uint64, ok bool) {
	n, err := strconv.ParseUint(string(bytes.Trim(value, " ")), 10, 64)
	return n, err == nil
}

// endEvent delivers the current event.
func (p *Parser) endEvent(deliver func(Event)) Violation {
	e := p.current
	switch {
	case !e.id.Known && (e.hasData || e.hasType):
		return MissingID
	case e.id.Known && !e.hasData:
		return MissingData
	case e.id.Known && p.lastID.Known && e.id.Value <= p.lastID.Value:
		return IDNotIncreasing
	}
	if e.id.Known {
		p.lastID = e.id
	}
	deliver(Event{Text: p.pending, ID: e.id})
	p.current, p.lineStart = eventFields{}, 0
	p.pending = p.pending[:0]
	if cap(p.pending) > maxKeptBytes {
		p.pending = nil
	}
	return ""
}
