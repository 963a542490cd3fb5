// Package eventstream parses a stream of server-sent events
// (https://html.spec.whatwg.org/multipage/server-sent-events.html) whose events carry increasing IDs, and
// finds the first bytes that are no event of such a stream. It uses no network.
//
// Where the standard ignores what a client cannot use, such as a field of an unknown name or an event without
// data, this package rejects it. Lines end in LF or CRLF; a byte order mark is rejected.
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
	// DuplicateID is an event with the ID of the one before it: one of the two is foreign, and it is not known
	// which.
	DuplicateID Violation = "duplicate_id"
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

// Parser parses the stream of one response. Without Extra it accepts the standard fields only.
type Parser struct {
	// Deliver gets each complete event. Its error ends the parsing like a violation.
	Deliver func(Event) error
	// Extra accepts additional fields; it may be nil.
	Extra ExtraField
	// pending is the start of an event whose end has not arrived yet.
	pending []byte
	// lineStart is the index in pending at which the current line begins.
	lineStart int
	current   eventFields
	// lastID is the ID of the last delivered event that has one.
	lastID ID
	// err is the error that ended the parsing; nil before that.
	err error
}

// eventFields describes the lines of the current event that are complete.
type eventFields struct {
	// fields is the number of lines that are no comments.
	fields int
	id     ID
	// hasData is set if the event has a data field, even an empty one.
	hasData bool
	// hasType is set if the event has a type, which has no meaning without data.
	hasType bool
}

// Reset prepares for another response.
func (p *Parser) Reset() { *p = Parser{Deliver: p.Deliver, Extra: p.Extra, pending: p.pending[:0]} }

// HasPartialEvent reports whether the bytes that were received so far end within an event.
func (p *Parser) HasPartialEvent() bool { return len(p.pending) > 0 }

// BufferedBytes returns the memory that the incomplete event occupies.
func (p *Parser) BufferedBytes() int { return cap(p.pending) }

// Free frees the buffer. The parser must be reset before it is used again.
func (p *Parser) Free() { p.pending = nil }

// Feed adds received bytes and delivers each event that is complete. It returns a Violation at the first bytes
// that are no event, or the error of Deliver. After an error nothing is parsed until Reset, and Feed returns the
// same error again.
func (p *Parser) Feed(b []byte) error {
	for len(b) > 0 && p.err == nil {
		end := bytes.IndexByte(b, '\n') + 1
		isComplete := end > 0
		if !isComplete {
			end = len(b)
		}
		p.pending = append(p.pending, b[:end]...)
		b = b[end:]
		if isComplete {
			p.err = p.endLine()
		} else {
			p.err = p.checkIncompleteLine()
		}
		if p.err != nil {
			p.pending = nil
		}
	}
	return p.err
}

// endLine parses the last line of pending, which is complete.
func (p *Parser) endLine() error {
	line := p.pending[p.lineStart : len(p.pending)-1]
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) == 0 {
		return p.endEvent()
	}
	if len(p.pending) > MaxEventBytes {
		return TooLong
	}
	p.lineStart = len(p.pending)
	return p.addLine(line)
}

// checkIncompleteLine rejects what can be rejected before the end of the line.
func (p *Parser) checkIncompleteLine() error {
	line := p.pending[p.lineStart:]
	switch {
	case len(p.pending) > MaxEventBytes:
		return TooLong
	case len(line) > maxNameBytes && bytes.IndexByte(line[:maxNameBytes], ':') < 0:
		return UnknownField
	}
	return nil
}

// addLine records a line of the current event.
func (p *Parser) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return nil // a comment
	}
	isFirst := p.current.fields == 0
	p.current.fields++
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		p.current.hasData = true
	case "event":
		p.current.hasType = true
	case "id":
		return p.addID(value)
	case "retry":
		if !isDigits(value) {
			return InvalidValue
		}
	default:
		if !isFirst || p.Extra == nil || !p.Extra(name, value) {
			return UnknownField
		}
	}
	return nil
}

func (p *Parser) addID(value []byte) error {
	if p.current.id.Known {
		return RepeatedID
	}
	id, ok := parseNumber(value)
	if !ok {
		return InvalidValue
	}
	p.current.id = ID{Value: id, Known: true}
	return nil
}

// isDigits reports whether the value consists of decimal digits, which may be surrounded by spaces, or is empty.
func isDigits(value []byte) bool {
	for _, c := range bytes.Trim(value, " ") {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// parseNumber parses a decimal number, which may be surrounded by spaces.
func parseNumber(value []byte) (n uint64, ok bool) {
	n, err := strconv.ParseUint(string(bytes.Trim(value, " ")), 10, 64)
	return n, err == nil
}

// endEvent delivers the current event.
func (p *Parser) endEvent() error {
	e := p.current
	switch {
	case !e.id.Known && (e.hasData || e.hasType):
		return MissingID
	case e.id.Known && !e.hasData:
		return MissingData
	case e.id.Known && e.id == p.lastID:
		return DuplicateID
	case e.id.Known && p.lastID.Known && e.id.Value < p.lastID.Value:
		return IDNotIncreasing
	}
	if e.id.Known {
		p.lastID = e.id
	}
	err := p.Deliver(Event{Text: p.pending, ID: e.id})
	p.current, p.lineStart = eventFields{}, 0
	p.pending = p.pending[:0]
	if cap(p.pending) > maxKeptBytes {
		p.pending = nil
	}
	return err
}
