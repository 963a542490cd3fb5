package ingress

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/savorystall/savorystall/internal/attempt"
)

// modelSink receives the chunks of one response.
type modelSink interface {
	attempt.Sink
	// finish writes what follows the last chunk of a complete response.
	finish()
}

// sseWriter writes chunks as server-sent events.
type sseWriter struct {
	w *response
}

// Chunk implements attempt.Sink.
func (s *sseWriter) Chunk(c attempt.Chunk) error {
	s.setHeader()
	event := make([]byte, 0, len(c.Data)+32)
	event = append(event, "id: "...)
	event = strconv.AppendUint(event, c.Offset, 10)
	for line := range bytes.SplitSeq(c.Data, []byte("\n")) {
		event = append(event, "\ndata: "...)
		event = append(event, line...)
	}
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	s.w.Flush()
	return nil
}

func (s *sseWriter) setHeader() {
	if s.w.wroteHeader {
		return
	}
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
}

func (s *sseWriter) finish() {
	s.setHeader()
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.w.Flush()
}

// collector joins the chunks of a response for a caller that did not ask for a
// stream.
type collector struct {
	w          *response
	chat       bool
	firstChunk chunkJSON
	usage      json.RawMessage
	choices    []*choice
}

// chunkJSON is one chunk from an engine. It also serves as the complete response.
type chunkJSON struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choiceJSON    `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *messageJSON `json:"delta,omitempty"`
	Message      *messageJSON `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageJSON struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	text   strings.Builder
	reason *string
}

// maxChoices limits the number of choices per request. A higher index from an
// engine is a protocol error.
const maxChoices = 128

type protocolError string

// Error implements error.
func (p protocolError) Error() string { return string(p) }

// Chunk implements attempt.Sink.
func (c *collector) Chunk(chunk attempt.Chunk) error {
	var parsed chunkJSON
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		return err
	}
	if c.firstChunk.ID == "" {
		c.firstChunk = parsed
	}
	if len(parsed.Usage) > 0 {
		c.usage = parsed.Usage
	}
	for _, part := range parsed.Choices {
		if part.Index < 0 || part.Index >= maxChoices {
			return protocolError("choice index out of range")
		}
		c.choice(part.Index).add(part)
	}
	return nil
}

func (c *collector) choice(index int) *choice {
	for len(c.choices) <= index {
		c.choices = append(c.choices, &choice{})
	}
	return c.choices[index]
}

func (c *choice) add(part choiceJSON) {
	if part.Text != nil {
		c.text.WriteString(*part.Text)
	}
	if part.Delta != nil {
		c.text.WriteString(part.Delta.Content)
	}
	if part.FinishReason != nil {
		c.reason = part.FinishReason
	}
}

func (c *collector) finish() {
	completion := c.firstChunk
	completion.Object = "text_completion"
	if c.chat {
		completion.Object = "chat.completion"
	}
	completion.Usage = c.usage
	completion.Choices = completion.Choices[:0:0]
	for i, choice := range c.choices {
		completion.Choices = append(completion.Choices, c.completeChoice(i, choice))
	}
	text, _ := json.Marshal(completion) // marshaling strings and numbers cannot fail
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(http.StatusOK)
	_, _ = c.w.Write(text)
}

func (c *collector) completeChoice(index int, part *choice) choiceJSON {
	text := part.text.String()
	complete := choiceJSON{Index: index, FinishReason: part.reason}
	if c.chat {
		complete.Message = &messageJSON{Role: "assistant", Content: text}
		return complete
	}
	complete.Text = &text
	return complete
}
