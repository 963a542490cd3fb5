package ingress

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/document"
)

// withPreemption returns a context that is canceled with the cause
// attempt.ErrPreempted when preempted is closed. The returned function releases
// its resources.
func withPreemption(ctx context.Context, preempted <-chan struct{}) (context.Context, func()) {
	if preempted == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-preempted:
			cancel(attempt.ErrPreempted)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// allowsPreemption reports whether the request can be stopped and resumed by
// another attempt. The output generated so far is passed to the next engine as
// text, so the response must have a single choice that consists of text only.
func (j *job) allowsPreemption(parsed modelRequest) bool {
	return j.service.Document.Preemption && j.operation.Class != document.Interactive && j.repeatable() &&
		parsed.Choices <= 1 && len(parsed.Tools) == 0 && len(parsed.Functions) == 0
}

// resumeState accumulates the output and the charged cost of the attempts of one
// request. It is used only by the goroutine of that request.
type resumeState struct {
	// keepText enables the recording of output, which only preemptible requests
	// need.
	keepText bool
	// preemptedText and preemptedTokens are the output of the preempted attempts.
	preemptedText   strings.Builder
	preemptedTokens uint64
	// currentText is the output of the current attempt.
	currentText strings.Builder
	// promptCost is the best known cost of the prompt, chargedPromptCost the part
	// of it that was charged already.
	promptCost, chargedPromptCost float64
}

// beginAttempt prepares the next attempt and reports whether it continues the
// output of a preempted one.
func (s *resumeState) beginAttempt() (continues bool) {
	s.currentText.Reset()
	return s.preemptedTokens > 0
}

// textChunk holds the text of a chunk. No other field is decoded, to limit the
// overhead: every chunk of a preemptible request is parsed.
type textChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (s *resumeState) addChunk(chunk attempt.Chunk) error {
	if !s.keepText {
		return nil
	}
	var parsed textChunk
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		return err
	}
	for _, c := range parsed.Choices {
		s.currentText.WriteString(c.Text)
		s.currentText.WriteString(c.Delta.Content)
	}
	return nil
}

// endAttempt records the result of an attempt and returns the cost to charge for
// it, in tokens. The prompt is charged once: processing it again after a
// preemption provides nothing to the workspace.
func (s *resumeState) endAttempt(result attempt.Result) float64 {
	if result.PromptTokens > 0 {
		s.promptCost = float64(result.PromptTokens)
	}
	if result.Preempted && result.Tokens == 0 {
		return 0
	}
	served := s.attemptCost(result.Tokens)
	switch {
	case result.Preempted:
		s.chargedPromptCost = s.promptCost
		s.preemptedTokens += uint64(result.Tokens)
		s.preemptedText.WriteString(s.currentText.String())
	case s.preemptedTokens > 0:
		s.chargedPromptCost = s.promptCost
	}
	return served
}

// attemptCost returns the charge for the given number of output tokens of the
// current attempt.
func (s *resumeState) attemptCost(tokens int) float64 {
	return max(0, s.promptCost-s.chargedPromptCost) + float64(tokens)
}

// reprocessedTokens returns the number of tokens that an engine must process
// again to resume the request.
func (s *resumeState) reprocessedTokens() int64 {
	if s.preemptedTokens == 0 {
		return 0
	}
	return int64(s.promptCost) + int64(s.preemptedTokens)
}

// resumeBody adds the output of the preempted attempts to a request body.
func (s *resumeState) resumeBody(body []byte) ([]byte, error) {
	if s.preemptedTokens == 0 {
		return body, nil
	}
	text, err := json.Marshal(s.preemptedText.String())
	if err != nil {
		return nil, err
	}
	return withField(body, "answer", text)
}

// withField sets a field of a JSON object and preserves the encoding of all
// other fields.
func withField(body []byte, name string, value json.RawMessage) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields[name] = value
	return json.Marshal(fields)
}

// heartbeatInterval is shorter than the usual idle timeouts of proxies.
const heartbeatInterval = 5 * time.Second

// startHeartbeat periodically writes SSE comments to a caller whose stream has
// started and is paused, so that no intermediary closes the connection as idle.
// The returned function must be called before anything else is written.
func (j *job) startHeartbeat(interval time.Duration) (stop func()) {
	if !j.streaming || !j.w.wroteHeader {
		return func() {}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
				// A write error is ignored: if the caller has disconnected, the
				// request's context is canceled.
				_, _ = j.w.Write([]byte(": paused\n\n"))
				j.w.Flush()
			}
		}
	}()
	return func() { close(quit); <-done }
}
