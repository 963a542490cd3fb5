package ingress

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/document"
)

// stoppable ends the context with attempt.ErrPreempted when stopped is closed.
func stoppable(ctx context.Context, stopped <-chan struct{}) (context.Context, func()) {
	if stopped == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-stopped:
			cancel(attempt.ErrPreempted)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// preemptible tells whether a request can be stopped and go on by another
// attempt. What was generated is handed to the next engine as text, so that
// there must be one answer, and nothing in it but text.
func (j *job) preemptible(parsed modelRequest) bool {
	return j.service.Document.Preemption && j.operation.Class != document.Interactive && j.repeatable() &&
		parsed.Choices <= 1 && len(parsed.Tools) == 0 && len(parsed.Functions) == 0
}

// soFar is what the attempts of one request have delivered, and charged. It is
// used by the request's own goroutine.
type soFar struct {
	// keep asks for the text, which only a request that can be stopped needs.
	keep bool
	// text and tokens are of the attempts that were stopped.
	text   strings.Builder
	tokens uint64
	// latest is the text of the present attempt.
	latest strings.Builder
	// prompt is what the prompt costs as far as it is known, charged what was
	// charged for it.
	prompt, charged float64
}

// begin prepares the next attempt and tells whether it goes on with an answer.
func (s *soFar) begin() (continues bool) {
	s.latest.Reset()
	return s.tokens > 0
}

// textChunk is the text of a chunk. Only it is parsed, since each chunk of a
// request that can be stopped is.
type textChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (s *soFar) take(chunk attempt.Chunk) error {
	if !s.keep {
		return nil
	}
	var parsed textChunk
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		return err
	}
	for _, c := range parsed.Choices {
		s.latest.WriteString(c.Text)
		s.latest.WriteString(c.Delta.Content)
	}
	return nil
}

// end notes how an attempt ended and returns what it has delivered, in tokens.
// The prompt counts once: that it is read again after a stop is no service to
// the workspace.
func (s *soFar) end(result attempt.Result) float64 {
	if result.PromptTokens > 0 {
		s.prompt = float64(result.PromptTokens)
	}
	if result.Preempted && result.Tokens == 0 {
		return 0
	}
	served := s.cost(result.Tokens)
	switch {
	case result.Preempted:
		s.charged = s.prompt
		s.tokens += uint64(result.Tokens)
		s.text.WriteString(s.latest.String())
	case s.tokens > 0:
		s.charged = s.prompt
	}
	return served
}

// cost is what is charged for so many tokens of the present attempt.
func (s *soFar) cost(tokens int) float64 { return max(0, s.prompt-s.charged) + float64(tokens) }

// reread is how many tokens an engine reads to go on.
func (s *soFar) reread() int64 {
	if s.tokens == 0 {
		return 0
	}
	return int64(s.prompt) + int64(s.tokens)
}

// body adds the answer so far to the body of a request.
func (s *soFar) body(body []byte) ([]byte, error) {
	if s.tokens == 0 {
		return body, nil
	}
	text, err := json.Marshal(s.text.String())
	if err != nil {
		return nil, err
	}
	return withField(body, "answer", text)
}

// withField sets a field and leaves every other as it came.
func withField(body []byte, name string, value json.RawMessage) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields[name] = value
	return json.Marshal(fields)
}

// pauseHeartbeat is below the idle timeouts usual at proxies.
const pauseHeartbeat = 5 * time.Second

// keepAlive writes comments to a caller whose stream has begun and is paused, so
// that nothing on the way takes it for dead. The end must be called before
// anything else is written.
func (j *job) keepAlive(every time.Duration) (end func()) {
	if !j.streams || !j.w.began {
		return func() {}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				// A caller that has left shows in the request's context.
				_, _ = j.w.Write([]byte(": paused\n\n"))
				j.w.Flush()
			}
		}
	}()
	return func() { close(stop); <-done }
}
