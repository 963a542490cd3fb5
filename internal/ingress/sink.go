package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/savorystall/savorystall/internal/attempt"
)

// modelSink takes the chunks of one answer.
type modelSink interface {
	attempt.Sink
	// end writes what follows the last chunk of a complete answer.
	end()
}

// streamer passes chunks on as server-sent events.
type streamer struct {
	w *response
}

// Chunk implements attempt.Sink.
func (s *streamer) Chunk(c attempt.Chunk) error {
	s.begin()
	event := make([]byte, 0, len(c.Data)+32)
	event = append(event, "id: "...)
	event = strconv.AppendUint(event, c.Offset, 10)
	event = append(event, "\ndata: "...)
	event = append(event, c.Data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	s.w.Flush()
	return nil
}

func (s *streamer) begin() {
	if s.w.began {
		return
	}
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
}

func (s *streamer) end() {
	s.begin()
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.w.Flush()
}

// collector puts the chunks of an answer together for a caller that did not
// ask for a stream.
type collector struct {
	w       *response
	chat    bool
	first   chunkJSON
	usage   json.RawMessage
	choices []*choice
}

// chunkJSON is one chunk of an engine, and the frame of a whole answer.
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

// maxChoices bounds the answers of one request; an engine that sends a higher
// index breaks the protocol.
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
	if c.first.ID == "" {
		c.first = parsed
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

func (c *collector) end() {
	whole := c.first
	whole.Object = "text_completion"
	if c.chat {
		whole.Object = "chat.completion"
	}
	whole.Usage = c.usage
	whole.Choices = whole.Choices[:0:0]
	for i, choice := range c.choices {
		whole.Choices = append(whole.Choices, c.joined(i, choice))
	}
	text, _ := json.Marshal(whole) // strings and numbers cannot fail
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(http.StatusOK)
	_, _ = c.w.Write(text)
}

func (c *collector) joined(index int, part *choice) choiceJSON {
	text := part.text.String()
	joined := choiceJSON{Index: index, FinishReason: part.reason}
	if c.chat {
		joined.Message = &messageJSON{Role: "assistant", Content: text}
		return joined
	}
	joined.Text = &text
	return joined
}
