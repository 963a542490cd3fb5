package attempt

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// Errors that end an attempt or a connection of it.
var (
	errBadHeader = merry.New("a header is malformed")
	errNoStream  = merry.New("the engine does not know the stream")
	errNoToken   = merry.New("the engine shows life and generates nothing")
	// errGap ends the connection; the stream is resumed at the offset.
	errGap = merry.New("the stream left out tokens")
)

// protocolError is an answer that breaks the engine protocol.
type protocolError string

// Error implements error.
func (e protocolError) Error() string { return string(e) }

// engineError is an error that the engine reported within a stream.
type engineError struct{ text string }

// Error implements error.
func (e *engineError) Error() string { return "the engine reported: " + e.text }

// sinkError is the sink's refusal to take more.
type sinkError struct{ cause error }

// Error implements error.
func (e *sinkError) Error() string { return "the receiver left: " + e.cause.Error() }

var endMark = []byte("[DONE]")

// answer puts the events of one stream, which may come over several
// connections, together.
//
// It guards against a late or repeated chunk, a gap and an early end: each event
// carries the offset after it, a chunk at or below the offset reached is
// dropped, one that does not follow on ends the connection, and the end mark
// counts only after the chunk with the finish reason.
type answer struct {
	sink         Sink
	offset       uint64
	promptTokens int
	finished     bool
}

func newAnswer(sink Sink, after uint64) *answer { return &answer{sink: sink, offset: after} }

// eventFields are the parts of an event's data that matter here.
type eventFields struct {
	// Tokens is the number of tokens in the chunk; absent means one.
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

// telling are the words without which an event is a plain chunk of one token,
// so that most chunks need no parsing.
var telling = [][]byte{
	[]byte(`"tokens"`), []byte(`"usage"`), []byte(`"error"`), []byte(`"finish_reason":"`), []byte(`"finish_reason": "`),
}

func parseFields(data []byte) (eventFields, error) {
	var f eventFields
	for _, word := range telling {
		if bytes.Contains(data, word) {
			err := json.Unmarshal(data, &f)
			return f, err
		}
	}
	if !bytes.HasPrefix(data, []byte("{")) || !bytes.HasSuffix(data, []byte("}")) {
		return f, protocolError("an event is not a JSON object")
	}
	return f, nil
}

// take hands an event to the sink. It returns true at the end mark of a whole
// answer.
func (a *answer) take(e event) (done bool, err error) {
	if bytes.Equal(e.data, endMark) {
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
	return false, a.takeChunk(e, fields)
}

func (a *answer) takeChunk(e event, fields eventFields) error {
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
		return errGap
	}
	if err := a.sink.Chunk(Chunk{Offset: offset, Tokens: tokens, Data: e.data}); err != nil {
		return &sinkError{cause: err}
	}
	a.offset = offset
	return a.noteEnd(fields)
}

func (a *answer) noteEnd(fields eventFields) error {
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
