package attempt

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// Errors that end an attempt or one of its connections.
var (
	errBadHeader      = merry.New("a request header has an invalid name or value")
	errStreamNotFound = merry.New("the engine has no stream with this attempt ID")
	errTokenTimeout   = merry.New("the engine sends heartbeats but no token within the timeout")
	// errOffsetGap ends the connection; the stream is then resumed at the last
	// offset.
	errOffsetGap = merry.New("tokens are missing from the stream")
)

// protocolError reports a response that violates the engine protocol.
type protocolError string

// Error implements error.
func (e protocolError) Error() string { return string(e) }

// engineError is an error event that the engine sent within a stream.
type engineError struct{ text string }

// Error implements error.
func (e *engineError) Error() string { return "the engine reported an error: " + e.text }

// sinkError wraps an error returned by the sink.
type sinkError struct{ cause error }

// Error implements error.
func (e *sinkError) Error() string { return "writing to the receiver failed: " + e.cause.Error() }

var doneMarker = []byte("[DONE]")

// streamAssembler combines the events of one stream, which may arrive over
// several connections, into one answer.
//
// It protects against late or repeated chunks, gaps and a premature end: each
// event carries the offset after it. A chunk that an earlier connection has
// delivered is dropped, a chunk that leaves a gap ends the connection, and the end
// mark is accepted only after the chunk with the finish reason. An invalid event
// has no effect: nothing of it reaches the sink.
type streamAssembler struct {
	sink   Sink
	offset uint64
	// connectionOffset is the offset of the last chunk of the present connection.
	connectionOffset uint64
	promptTokens     int
	finished         bool
	// usageReported is set once the usage of the finished answer has arrived.
	usageReported bool
}

func newStreamAssembler(sink Sink, startOffset uint64) *streamAssembler {
	return &streamAssembler{sink: sink, offset: startOffset}
}

// startConnection prepares for the events of another connection.
func (a *streamAssembler) startConnection() { a.connectionOffset = 0 }

// eventFields holds the fields of an event's data that the attempt evaluates.
type eventFields struct {
	// Tokens is the number of tokens in the chunk; nil means one.
	Tokens  *int `json:"tokens"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// fieldMarkers are the substrings that require an event to be parsed. An event
// with none of them is an ordinary chunk of one token, so most chunks are only
// checked for their syntax.
var fieldMarkers = [][]byte{
	[]byte(`"tokens"`), []byte(`"usage"`), []byte(`"error"`), []byte(`"finish_reason":"`), []byte(`"finish_reason": "`),
}

func parseFields(data []byte) (eventFields, error) {
	var f eventFields
	for _, marker := range fieldMarkers {
		if bytes.Contains(data, marker) {
			err := json.Unmarshal(data, &f)
			return f, err
		}
	}
	if !bytes.HasPrefix(data, []byte("{")) || !json.Valid(data) {
		return f, protocolError("not a JSON object")
	}
	return f, nil
}

// processEvent passes the chunk of an event to the sink. It returns true at the
// end mark of a complete answer.
func (a *streamAssembler) processEvent(e event) (done bool, err error) {
	if bytes.Equal(e.data, doneMarker) {
		return true, a.checkEnd(e)
	}
	fields, err := parseFields(e.data)
	if err != nil {
		return false, protocolError("an event is not JSON: " + err.Error())
	}
	if fields.Error != nil {
		return false, &engineError{text: fields.Error.Message}
	}
	return false, a.processChunk(e, fields)
}

// checkEnd returns an error if an end mark is not that of this answer.
func (a *streamAssembler) checkEnd(e event) error {
	if !a.finished {
		return protocolError("the end mark comes before the last chunk")
	}
	if e.hasID && e.id != strconv.FormatUint(a.offset, 10) {
		return protocolError("the end mark has another offset than the last chunk")
	}
	return nil
}

func (a *streamAssembler) processChunk(e event, fields eventFields) error {
	offset, tokens, err := chunkRange(e, fields)
	if err != nil {
		return err
	}
	if offset < a.connectionOffset || offset == a.connectionOffset && tokens > 0 {
		return protocolError("an event's id does not increase")
	}
	if offset < a.offset || offset == a.offset && tokens > 0 {
		a.connectionOffset = offset
		return nil
	}
	if offset-uint64(tokens) != a.offset {
		return errOffsetGap
	}
	if a.usageReported && tokens > 0 {
		return protocolError("a chunk follows the last one")
	}
	finishes := a.finished || hasFinishReason(fields)
	if finishes && fields.Usage != nil && uint64(fields.Usage.CompletionTokens) != offset {
		return protocolError("the usage does not match the tokens received")
	}
	if err := a.sink.Chunk(Chunk{Offset: offset, Tokens: tokens, Data: e.data}); err != nil {
		return &sinkError{cause: err}
	}
	a.offset, a.connectionOffset, a.finished = offset, offset, finishes
	if fields.Usage != nil {
		a.promptTokens, a.usageReported = fields.Usage.PromptTokens, finishes
	}
	return nil
}

// chunkRange returns the offset of an event and its number of tokens.
func chunkRange(e event, fields eventFields) (offset uint64, tokens int, err error) {
	offset, err = strconv.ParseUint(e.id, 10, 64)
	if err != nil {
		return 0, 0, protocolError("an event's id is not an offset")
	}
	tokens = 1
	if fields.Tokens != nil {
		tokens = *fields.Tokens
	}
	if tokens < 0 || uint64(tokens) > offset {
		return 0, 0, protocolError("an event's token count does not fit its offset")
	}
	return offset, tokens, nil
}

func hasFinishReason(fields eventFields) bool {
	for _, c := range fields.Choices {
		if c.FinishReason != nil {
			return true
		}
	}
	return false
}
