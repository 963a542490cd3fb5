package attempt

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// event is one server-sent event, or a comment that serves only as a heartbeat.
type event struct {
	id      string
	data    []byte
	comment bool
}

var errLineTooLong = merry.New("an event line exceeds the maximum length")

// eventBufferSize is enough for an ordinary event. Longer lines are assembled from
// several reads.
const eventBufferSize = 1 << 10

// eventReader reads a stream of server-sent events.
type eventReader struct {
	buffered     *bufio.Reader
	maxLineBytes int
}

func newEventReader(in io.Reader, limit int) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(in, eventBufferSize), maxLineBytes: limit}
}

// next returns the next event. An event that is truncated by the end of the input
// is dropped, and the error is io.EOF or io.ErrUnexpectedEOF.
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
		e.addLine(line)
	}
}

func (e *event) addLine(line []byte) {
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
		if len(fullLine) > r.maxLineBytes {
			return nil, errLineTooLong
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
