package enginestandin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Headers of the engine protocol; docs/ENGINE-API.md is its description.
const (
	// HeaderAttempt names the stream of a request.
	HeaderAttempt = "X-Savorystall-Attempt"
	// HeaderNotProcessed is "true" on an answer to a request that was not run.
	HeaderNotProcessed = "X-Savorystall-Not-Processed"
	// HeaderLeaving is "true" on a refusal of an engine that is leaving.
	HeaderLeaving = "X-Savorystall-Leaving"
	// HeaderContinued repeats the offset at which a stream goes on.
	HeaderContinued = "X-Savorystall-Continued"
)

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// generation is the body of a completion or chat request.
type generation struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// Answer is what was generated before, where the request goes on after it.
	Answer string `json:"answer"`
}

// text returns the prompt: of a chat, the contents joined by line feeds.
func (g *generation) text() string {
	if g.Messages == nil {
		return g.Prompt
	}
	parts := make([]string, len(g.Messages))
	for i, m := range g.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// chunk is the data of one event, or the whole body of an answer that is not
// streamed.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

const (
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	finishLength     = "length"
)

// Status is the answer to GET /status. It may lag behind the truth.
type Status struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	// StepMS is the duration of the last step in milliseconds.
	StepMS float64  `json:"step_ms"`
	Models []string `json:"models"`
}

// Orders is the wanted state of an engine: the whole of it, never a step.
type Orders struct {
	// Fencing grows with each holder of the right to give orders.
	Fencing  uint64   `json:"fencing"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
}

// CacheEvent tells that the start of a prompt entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix is the prefix id as 16 hexadecimal digits.
	Prefix string `json:"prefix"`
}

// CacheEvents is the answer to GET /cache/events.
type CacheEvents struct {
	// Run names the run of the engine: its events count from one again in
	// another.
	Run    string       `json:"run"`
	Events []CacheEvent `json:"events"`
	// Next is the value of "after" for the next poll.
	Next uint64 `json:"next"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone away is no concern of the stand-in.
	_ = json.NewEncoder(w).Encode(v)
}

type errorBody struct {
	Error errorText `json:"error"`
}

type errorText struct {
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorBody{Error: errorText{Message: text}})
}

func writeRefusal(w http.ResponseWriter, leaving bool) {
	w.Header().Set(HeaderNotProcessed, "true")
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "not processed")
}
