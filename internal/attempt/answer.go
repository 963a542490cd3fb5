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
// event carries the offset after it. A chunk at or below the current offset is
// dropped, a chunk that leaves a gap ends the connection, and the end mark is
// accepted only after the chunk with the finish reason.
type streamAssembler struct {
	sink         Sink
	offset       uint64
	promptTokens int
	finished     bool
}

func newStreamAssembler(sink Sink, startOffset uint64) *streamAssembler {
	return &streamAssembler{sink: sink, offset: startOffset}
}

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
// with none of them is an ordinary chunk of one token, so most chunks are not
// parsed.
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
	if !bytes.HasPrefix(data, []byte("{")) || !bytes.HasSuffix(data, []byte("}")) {
		return f, protocolError("an event is not a JSON object")
	}
	return f, nil
}

// processEvent passes the chunk of an event to the sink. It returns true at the
// end mark of a complete answer.
func (a *streamAssembler) processEvent(e event) (done bool, err error) {
	if bytes.Equal(e.data, doneMarker) {
		if !a.finished {
			return false, protocolError("the end mark comes before the last chunk")
		}
		return true, nil
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

func (a *streamAssembler) processChunk(e event, fields eventFields) error {
	offset, err := strconv.ParseUint(e.id, 10, 64)
	if err != nil {
		return protocolError("an event's id is not an offset")
	}
	tokens := 1
	if fields.Tokens != nil {
		tokens = *fields.Tokens
	}
	if tokens < 0 || uint64(tokens) > offset {
		return protocolError("an event's token count does not fit its offset")
	}
	if offset <= a.offset && tokens > 0 {
		return nil
	}
	if offset-uint64(tokens) != a.offset {
		return errOffsetGap
	}
	if err := a.sink.Chunk(Chunk{Offset: offset, Tokens: tokens, Data: e.data}); err != nil {
		return &sinkError{cause: err}
	}
	a.offset = offset
	return a.recordCompletion(fields)
}

func (a *streamAssembler) recordCompletion(fields eventFields) error {
	for _, c := range fields.Choices {
		if c.FinishReason != nil {
			a.finished = true
		}
	}
	if fields.Usage == nil {
		return nil
	}
	a.promptTokens = fields.Usage.PromptTokens
	if a.finished && uint64(fields.Usage.CompletionTokens) != a.offset {
		return protocolError("the usage does not match the tokens received")
	}
	return nil
}
