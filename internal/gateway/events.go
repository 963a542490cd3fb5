package gateway

import (
	"bytes"
	"strconv"
)

// progress follows the events of one stream, over several targets where it goes
// on at another one. Events are passed on byte for byte, whatever they hold; only
// their ids are read.
type progress struct {
	// last is the id of the last event that was handed over, count how many were.
	last  uint64
	count int
	// rest is the beginning of an event that has not ended yet.
	rest []byte
	// resumed tells that a target goes on, so that what the caller has is dropped.
	resumed bool
	out     []byte
}

// restart prepares for the stream of another target.
func (p *progress) restart() {
	p.rest = p.rest[:0]
	p.resumed = p.count > 0
}

// partial tells whether the stream stands in the middle of an event.
func (p *progress) partial() bool { return len(bytes.TrimSpace(p.rest)) > 0 }

// take adds bytes of the stream and returns the whole events to hand over. They
// are valid until the next call.
func (p *progress) take(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	p.rest = append(p.rest, b...)
	p.out = p.out[:0]
	begin := 0
	for {
		length := eventLength(p.rest[begin:])
		if length == 0 {
			break
		}
		event := p.rest[begin : begin+length]
		begin += length
		if p.wanted(event) {
			p.out = append(p.out, event...)
		}
	}
	p.rest = append(p.rest[:0], p.rest[begin:]...)
	return p.out
}

// eventLength returns the length of the event that begins b with its empty line,
// or zero where it has not ended.
func eventLength(b []byte) int {
	for at := 0; at < len(b); {
		end := bytes.IndexByte(b[at:], '\n')
		if end < 0 {
			return 0
		}
		line := b[at : at+end]
		at += end + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
	return 0
}

// wanted notes an event's id and tells whether the caller lacks the event. An
// event without an id goes through: a comment, or one that nobody can resume at.
func (p *progress) wanted(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}
	if id <= p.last && p.last > 0 {
		return false
	}
	p.last = id
	p.count++
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
