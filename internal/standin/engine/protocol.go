package enginestandin

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Headers of the engine protocol, which docs/ENGINE-API.md describes.
const (
	// HeaderAttempt is the attempt ID, which identifies the stream of a request.
	HeaderAttempt = "X-Savorystall-Attempt"
	// HeaderNotProcessed is "true" on the response to a request that was not run.
	HeaderNotProcessed = "X-Savorystall-Not-Processed"
	// HeaderLeaving is "true" on a rejection by an engine that is leaving.
	HeaderLeaving = "X-Savorystall-Leaving"
	// HeaderContinued confirms the offset from which an answer is continued.
	HeaderContinued = "X-Savorystall-Continued"
)

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// generateRequest is the body of a completion or chat request.
type generateRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// Answer is the part of the answer generated so far, if the request continues
	// it.
	Answer string `json:"answer"`
}

// promptText returns the prompt. That of a chat request is the contents of its
// messages joined by line feeds.
func (g *generateRequest) promptText() string {
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

// chunk is the data of one event, or the complete body of a response that is not
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

// Status is the response to GET /status. Its figures may be out of date.
type Status struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	// StepMS is the duration of the last step in milliseconds.
	StepMS float64  `json:"step_ms"`
	Models []string `json:"models"`
}

// Orders is the complete desired state of an engine, never a change to it.
type Orders struct {
	// Fencing is the fencing token. It grows with each new holder of the lease
	// that permits sending orders.
	Fencing  uint64   `json:"fencing"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
}

// CacheEvent reports that the start of a prompt was added to the cache or evicted
// from it.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix is the prefix ID as 16 hexadecimal digits.
	Prefix string `json:"prefix"`
}

// CacheEvents is the response to GET /cache/events.
type CacheEvents struct {
	// Run identifies the run of the engine. In each run the sequence numbers start
	// at one.
	Run    string       `json:"run"`
	Events []CacheEvent `json:"events"`
	// Next is the "after" parameter for the next poll.
	Next uint64 `json:"next"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored because it only means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: text}})
}

func writeNotProcessed(w http.ResponseWriter, leaving bool) {
	w.Header().Set(HeaderNotProcessed, "true")
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "not processed")
}
