package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	plainstandin "github.com/savorystall/savorystall/internal/standin/plain"
)

// answer is what one request received.
type answer struct {
	refused      string
	cut, wrong   bool
	tokens       int
	first, total time.Duration
}

func (c *caller) call(ctx context.Context) answer {
	c.sent++
	began := time.Now()
	mark := fmt.Sprintf("%s-%d-%d-%s", c.stream.Name, c.number, c.sent, ident.NewRequest())
	request, err := c.request(ctx, mark)
	if err != nil {
		return answer{refused: "bad_url"}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{refused: "no_connection"}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return answer{refused: refusal(response)}
	}
	var a answer
	if c.stream.Model != "" {
		a = c.readStream(response.Body, mark, began)
	} else {
		a = readPlain(response.Body, mark, began)
	}
	a.total = time.Since(began)
	return a
}

func (c *caller) request(ctx context.Context, mark string) (*http.Request, error) {
	base := c.stream.Daemons[(c.number+c.sent)%len(c.stream.Daemons)]
	method, path, body := c.stream.Method, c.stream.Path, io.Reader(strings.NewReader(mark))
	if c.stream.Model != "" {
		// Marshalling strings and numbers cannot fail.
		text, _ := json.Marshal(map[string]any{
			"model": c.stream.Model, "prompt": mark, "max_tokens": c.stream.MaxTokens, "stream": true,
		})
		method, path, body = http.MethodPost, "/v1/completions", bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.stream.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", mark)
	request.Header.Set(plainstandin.HeaderMark, mark)
	if c.stream.Operation != "" {
		request.Header.Set(document.OperationHeader, c.stream.Operation)
	}
	return request, nil
}

func refusal(response *http.Response) string {
	var body struct {
		Error struct {
			Name string `json:"name"`
		} `json:"error"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil || body.Error.Name == "" {
		return fmt.Sprintf("http_%d", response.StatusCode)
	}
	return body.Error.Name
}

// readStream reads server-sent events up to the end mark and compares the text
// with what the stand-in engine says to this prompt.
func (c *caller) readStream(body io.Reader, mark string, began time.Time) answer {
	var a answer
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			a.wrong = text.String() != enginestandin.Text(mark, c.stream.MaxTokens)
			a.tokens = c.stream.MaxTokens
			return a
		}
		if a.first == 0 {
			a.first = time.Since(began)
		}
		text.WriteString(chunkText(data))
	}
	a.cut = true
	return a
}

func chunkText(data string) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}

// readPlain checks that the stand-in service answered this very request.
func readPlain(body io.Reader, mark string, began time.Time) answer {
	text, err := io.ReadAll(body)
	a := answer{first: time.Since(began)}
	if err != nil {
		a.cut = true
		return a
	}
	var echo struct {
		Mark string `json:"mark"`
	}
	a.wrong = json.Unmarshal(text, &echo) != nil || echo.Mark != mark
	return a
}
