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

// kind is one kind of request in the mix.
type kind int

const (
	streamedCompletion kind = iota
	streamedChat
	wholeCompletion
	wholeChat
	taggedCompletion
	plainRead
	plainNote
	plainClaim
	kinds
)

func (k kind) plain() bool        { return k >= plainRead }
func (k kind) streamed() bool     { return k == streamedCompletion || k == streamedChat }
func (k kind) chat() bool         { return k == streamedChat || k == wholeChat }
func (k kind) unrepeatable() bool { return k == taggedCompletion || k == plainClaim }

// verdict is what a caller can tell of its answer.
type verdict int

const (
	// complete is a whole answer by its own account.
	complete verdict = iota
	// cut is an answer that visibly ended early.
	cut
	// refused is an error with a result code.
	refused
	// unreached means that the daemon gave no answer at all.
	unreached
)

// request is one request and what came of it.
type request struct {
	kind    kind
	mark    string
	tokens  int
	verdict verdict
	// wrong tells why a complete answer is not the right one.
	wrong string
	// run and code are those of a refusal.
	run     resultcode.Outcome
	code    int
	message string
	elapsed time.Duration
	// operation is named to a model service where it is set.
	operation string
}

func (r *request) send(ctx context.Context, client *http.Client, daemon, bearer string) {
	began := time.Now()
	defer func() { r.elapsed = time.Since(began) }()
	req := r.build(ctx, daemon, bearer)
	resp, err := client.Do(req)
	if err != nil {
		r.verdict, r.message = unreached, err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readRefusal(resp)
	case r.kind.streamed():
		r.readStream(resp.Body)
	case r.kind.plain():
		r.readEcho(resp.Body)
	default:
		r.readWhole(resp.Body)
	}
}

func (r *request) build(ctx context.Context, daemon, bearer string) *http.Request {
	method, path, body := http.MethodPost, "/v1/completions", []byte(r.mark)
	switch {
	case r.kind == plainRead:
		method, path, body = http.MethodGet, "/services/sync-api/clips/1?mark="+r.mark, nil
	case r.kind == plainNote:
		path = "/services/sync-api/notes?mark=" + r.mark
	case r.kind == plainClaim:
		path = "/services/sync-api/claims?mark=" + r.mark
	case r.kind.chat():
		path, body = "/v1/chat/completions", r.modelBody()
	default:
		body = r.modelBody()
	}
	req, err := http.NewRequestWithContext(ctx, method, daemon+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the addresses are the test's own
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Content-Type", "application/json")
	if r.kind.unrepeatable() {
		req.Header.Set("Idempotency-Key", r.mark)
	}
	if r.kind == taggedCompletion {
		req.Header.Set(document.OperationHeader, "tag")
	}
	if r.operation != "" {
		req.Header.Set(document.OperationHeader, r.operation)
	}
	return req
}

func (r *request) modelBody() []byte {
	fields := map[string]any{"model": modelName, "max_tokens": r.tokens, "stream": r.kind.streamed(), "prompt": r.mark}
	if r.kind.chat() {
		delete(fields, "prompt")
		fields["messages"] = []map[string]string{{"role": "user", "content": r.mark}}
	}
	text, _ := json.Marshal(fields)
	return text
}

// answerChunk is a chunk of a stream, or a whole answer.
type answerChunk struct {
	Choices []struct {
		Text    string
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

func (c answerChunk) text() string {
	var b strings.Builder
	for _, one := range c.Choices {
		b.WriteString(one.Text + one.Delta.Content + one.Message.Content)
	}
	return b.String()
}

func (r *request) compare(text string) {
	r.verdict = complete
	if want := enginestandin.Text(r.mark, r.tokens); text != want {
		r.wrong = fmt.Sprintf("%d of %d bytes, equal start: %v", len(text), len(want), strings.HasPrefix(want, text))
	}
}

func (r *request) readStream(body io.Reader) {
	r.verdict = cut
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			r.compare(text.String())
			return
		}
		var chunk answerChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			r.message = err.Error()
			return
		}
		text.WriteString(chunk.text())
	}
	r.message = fmt.Sprint(lines.Err())
}

func (r *request) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.verdict, r.message = cut, err.Error()
		return
	}
	var chunk answerChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		r.verdict, r.wrong = complete, err.Error()
		return
	}
	r.compare(chunk.text())
}

func (r *request) readEcho(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.verdict, r.message = cut, err.Error()
		return
	}
	r.verdict = complete
	var echo plainstandin.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		r.wrong = err.Error()
		return
	}
	sent := r.mark
	if r.kind == plainRead {
		sent = ""
	}
	sum := sha256.Sum256([]byte(sent))
	if echo.Mark != r.mark || echo.BodySHA256 != hex.EncodeToString(sum[:]) {
		r.wrong = fmt.Sprintf("the echo is of %q", echo.Mark)
	}
}

func (r *request) readRefusal(resp *http.Response) {
	r.verdict = refused
	var body struct {
		Error struct {
			Code    int
			Message string
			Run     resultcode.Outcome
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		r.verdict, r.message = unreached, fmt.Sprintf("status %d: %v", resp.StatusCode, err)
		return
	}
	r.run, r.code, r.message = body.Error.Run, body.Error.Code, body.Error.Message
}
