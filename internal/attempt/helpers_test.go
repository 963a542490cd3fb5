package attempt_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/ident"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shortTimeouts returns timeouts short enough for a test to wait for each of them.
func shortTimeouts() attempt.Config {
	return attempt.Config{
		FirstByteTimeout:      300 * time.Millisecond,
		ProgressTimeout:       300 * time.Millisecond,
		ResumeWindow:          2 * time.Second,
		PlainFirstByteTimeout: 300 * time.Millisecond,
		PlainProgressTimeout:  300 * time.Millisecond,
	}
}

func newRunner(t *testing.T, cfg attempt.Config) *attempt.Runner {
	r := attempt.NewRunner(cfg)
	t.Cleanup(r.Close)
	return r
}

func serve(t *testing.T, h http.Handler, stop func()) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		stop()
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func newEngine(t *testing.T, cfg enginestandin.Config) (*enginestandin.Engine, string) {
	cfg.HeartbeatInterval = 50 * time.Millisecond
	e := enginestandin.New(cfg)
	return e, serve(t, e, e.Close)
}

func newPlainService(t *testing.T) (*plainstandin.Service, string) {
	s := plainstandin.New(plainstandin.Config{})
	return s, serve(t, s, s.Close)
}

// collectingSink collects the text of an answer and records an error if the offset
// of a chunk does not follow from the previous one.
type collectingSink struct {
	mu     sync.Mutex
	text   strings.Builder
	offset uint64
	err    error
	// onChunk, if set, is called after each chunk with the current offset.
	onChunk func(n uint64) error
}

func (s *collectingSink) Chunk(c attempt.Chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Offset != s.offset+uint64(c.Tokens) {
		s.err = fmt.Errorf("offset %d after %d", c.Offset, s.offset)
	}
	s.offset = c.Offset
	var data struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal(c.Data, &data); err != nil {
		s.err = err
	}
	for _, choice := range data.Choices {
		s.text.WriteString(choice.Text)
	}
	if s.onChunk != nil {
		return s.onChunk(c.Offset)
	}
	return nil
}

func modelRequest(address, prompt string, tokens int) attempt.ModelRequest {
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": true})
	return attempt.ModelRequest{
		Attempt: ident.NewAttempt(), Address: address, Path: "/v1/completions", Header: http.Header{}, Body: body,
	}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("condition not met within 10 s: %s", description)
		case <-time.After(2 * time.Millisecond):
		}
	}
}
