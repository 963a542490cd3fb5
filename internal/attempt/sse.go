package attempt

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one server-sent event. Without data it serves only as a heartbeat.
type event struct {
	id    string
	hasID bool
	data  []byte
	// started is set if the event has any line.
	started bool
}

// Lines that make a stream invalid: from there on nothing on the connection can be assigned to
// the stream.
const (
	errUnknownField    = protocolError("a line of the stream is no field of an event")
	errSecondID        = protocolError("an event has two ids")
	errIDWithoutData   = protocolError("an event has an id but no data")
	errCarriageReturns = protocolError("a carriage return within a line")
	errEventTooLong    = protocolError("an event exceeds the maximum length")
)

// eventBufferSize is enough for an ordinary event. Longer lines are assembled from
// several reads.
const eventBufferSize = 1 << 10

// eventReader reads a stream of server-sent events.
type eventReader struct {
	buffered      *bufio.Reader
	maxEventBytes int
}

func newEventReader(in io.Reader, limit int) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(in, eventBufferSize), maxEventBytes: limit}
}

// next returns the next event. An event that is truncated by the end of the input
// is dropped, and the error is io.EOF or io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	var e event
	for size := 0; ; {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		if size += len(line); size > r.maxEventBytes {
			return event{}, errEventTooLong
		}
		if len(line) > 0 {
			if err := e.addLine(line); err != nil {
				return event{}, err
			}
			continue
		}
		if e.hasID && e.data == nil {
			return event{}, errIDWithoutData
		}
		if e.started {
			return e, nil
		}
	}
}

// isHeartbeat reports whether the event carries nothing.
func (e *event) isHeartbeat() bool { return e.data == nil }

func (e *event) addLine(line []byte) error {
	// Some readers take a carriage return alone for the end of a line.
	if bytes.IndexByte(line, '\r') >= 0 {
		return errCarriageReturns
	}
	e.started = true
	name, value, colon := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if e.hasID {
			return errSecondID
		}
		e.id, e.hasID = string(value), true
	case "data":
		e.addData(value)
	case "", "event", "retry":
	default:
		return errUnknownField
	}
	if !colon {
		return errUnknownField
	}
	return nil
}

func (e *event) addData(value []byte) {
	if e.data != nil {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, value...)
	if e.data == nil {
		e.data = []byte{}
	}
}

// line returns the next line without its line ending. It is valid until the next
// call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(line), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	fullLine := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(fullLine) > r.maxEventBytes {
			return nil, errEventTooLong
		}
		line, err = r.buffered.ReadSlice('\n')
		fullLine = append(fullLine, line...)
	}
	if err != nil {
		return nil, err
	}
	return trimLineEnd(fullLine), nil
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
