package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/resultcode"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
)

// requestKind is the kind of a request in the test traffic.
type requestKind int

const (
	streamedCompletion requestKind = iota
	streamedChat
	nonStreamedCompletion
	nonStreamedChat
	unrepeatableCompletion
	plainRead
	plainNote
	plainClaim
	requestKindCount
)

func (k requestKind) isPlain() bool        { return k >= plainRead }
func (k requestKind) isStreamed() bool     { return k == streamedCompletion || k == streamedChat }
func (k requestKind) isChat() bool         { return k == streamedChat || k == nonStreamedChat }
func (k requestKind) isUnrepeatable() bool { return k == unrepeatableCompletion || k == plainClaim }

// resultKind classifies a response as the caller sees it.
type resultKind int

const (
	// complete is a response that ended properly.
	complete resultKind = iota
	// truncated is a response that visibly ended early.
	truncated
	// rejected is an error response with a result code.
	rejected
	// noResponse means that the daemon did not send a response that could be read.
	noResponse
)

// request is one request and its result.
type request struct {
	kind   requestKind
	mark   string
	tokens int
	result resultKind
	// mismatch describes how a complete response differs from the expected one.
	mismatch string
	// outcome and code are those of an error response.
	outcome resultcode.Outcome
	code    int
	message string
	elapsed time.Duration
	// operation, if set, is sent to a model service in the operation header.
	operation string
}

func (r *request) send(ctx context.Context, client *http.Client, daemon, apiKey string) {
	start := time.Now()
	defer func() { r.elapsed = time.Since(start) }()
	req := r.newHTTPRequest(ctx, daemon, apiKey)
	resp, err := client.Do(req)
	if err != nil {
		r.result, r.message = noResponse, err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readError(resp)
	case r.kind.isStreamed():
		r.readStream(resp.Body)
	case r.kind.isPlain():
		r.readEcho(resp.Body)
	default:
		r.readNonStreamed(resp.Body)
	}
}

func (r *request) newHTTPRequest(ctx context.Context, daemon, apiKey string) *http.Request {
	method, path, body := http.MethodPost, "/v1/completions", []byte(r.mark)
	switch {
	case r.kind == plainRead:
		method, path, body = http.MethodGet, "/services/sync-api/clips/1?mark="+r.mark, nil
	case r.kind == plainNote:
		path = "/services/sync-api/notes?mark=" + r.mark
	case r.kind == plainClaim:
		path = "/services/sync-api/claims?mark=" + r.mark
	case r.kind.isChat():
		path, body = "/v1/chat/completions", r.modelBody()
	default:
		body = r.modelBody()
	}
	req, err := http.NewRequestWithContext(ctx, method, daemon+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the test itself chooses all addresses
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	if r.kind.isUnrepeatable() {
		req.Header.Set("Idempotency-Key", r.mark)
	}
	if r.kind == unrepeatableCompletion {
		req.Header.Set(document.OperationHeader, "tag")
	}
	if r.operation != "" {
		req.Header.Set(document.OperationHeader, r.operation)
	}
	return req
}

func (r *request) modelBody() []byte {
	fields := map[string]any{"model": modelName, "max_tokens": r.tokens, "stream": r.kind.isStreamed(), "prompt": r.mark}
	if r.kind.isChat() {
		delete(fields, "prompt")
		fields["messages"] = []map[string]string{{"role": "user", "content": r.mark}}
	}
	text, _ := json.Marshal(fields)
	return text
}

// responseChunk is one chunk of a stream or a complete non-streamed response.
type responseChunk struct {
	Choices []struct {
		Text    string
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

func (c responseChunk) text() string {
	var b strings.Builder
	for _, choice := range c.Choices {
		b.WriteString(choice.Text + choice.Delta.Content + choice.Message.Content)
	}
	return b.String()
}

func (r *request) checkText(text string) {
	r.result = complete
	if want := enginestandin.Text(r.mark, r.tokens); text != want {
		r.mismatch = fmt.Sprintf("got %d of %d bytes, is a prefix of the expected text: %v", len(text), len(want), strings.HasPrefix(want, text))
	}
}

func (r *request) readStream(body io.Reader) {
	r.result = truncated
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			r.checkText(text.String())
			return
		}
		var chunk responseChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			r.message = err.Error()
			return
		}
		text.WriteString(chunk.text())
	}
	r.message = fmt.Sprint(scanner.Err())
}

func (r *request) readNonStreamed(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.result, r.message = truncated, err.Error()
		return
	}
	var chunk responseChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		r.result, r.mismatch = complete, err.Error()
		return
	}
	r.checkText(chunk.text())
}

func (r *request) readEcho(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.result, r.message = truncated, err.Error()
		return
	}
	r.result = complete
	var echo plainstandin.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		r.mismatch = err.Error()
		return
	}
	requestBody := r.mark
	if r.kind == plainRead {
		requestBody = ""
	}
	sum := sha256.Sum256([]byte(requestBody))
	if echo.Mark != r.mark || echo.BodySHA256 != hex.EncodeToString(sum[:]) {
		r.mismatch = fmt.Sprintf("the echo belongs to request %q", echo.Mark)
	}
}

func (r *request) readError(resp *http.Response) {
	r.result = rejected
	var body struct {
		Error struct {
			Code    int
			Message string
			Run     resultcode.Outcome
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		r.result, r.message = noResponse, fmt.Sprintf("status %d: %v", resp.StatusCode, err)
		return
	}
	r.outcome, r.code, r.message = body.Error.Run, body.Error.Code, body.Error.Message
}
