package attempt

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// event is one server-sent event, or a comment that only shows life.
type event struct {
	id      string
	data    []byte
	comment bool
}

var errEventTooLong = merry.New("an event is longer than allowed")

// eventBuffer holds an ordinary event; longer lines are put together.
const eventBuffer = 1 << 10

// eventReader reads a stream of server-sent events.
type eventReader struct {
	in    *bufio.Reader
	limit int
}

func newEventReader(in io.Reader, limit int) *eventReader {
	return &eventReader{in: bufio.NewReaderSize(in, eventBuffer), limit: limit}
}

// next returns the next event. An event that the end of the input cuts off is
// dropped, and the error is io.EOF or io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if e.comment || e.data != nil {
				return e, nil
			}
			continue
		}
		e.add(line)
	}
}

func (e *event) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "":
		e.comment = true
	case "id":
		e.id = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		e.comment = false
	}
}

// line returns the next line without its end. It is valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err == nil {
		return trimEnd(line), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	whole := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(whole) > r.limit {
			return nil, errEventTooLong
		}
		line, err = r.in.ReadSlice('\n')
		whole = append(whole, line...)
	}
	if err != nil {
		return nil, err
	}
	return trimEnd(whole), nil
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
