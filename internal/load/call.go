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

// result is the outcome of one request. The rejection is the name of a result code
// or of an error, empty if the request was accepted; truncated reports a response
// that ended early, mismatch a complete response with the wrong content.
type result struct {
	rejection           string
	truncated, mismatch bool
	tokens              int
	firstByte, total    time.Duration
}

func (c *caller) send(ctx context.Context) result {
	c.sent++
	start := time.Now()
	mark := fmt.Sprintf("%s-%d-%d-%s", c.stream.Name, c.index, c.sent, ident.NewRequest())
	request, err := c.newRequest(ctx, mark)
	if err != nil {
		return result{rejection: "bad_url"}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return result{rejection: "no_connection"}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return result{rejection: rejectionName(response)}
	}
	var res result
	if c.stream.Model != "" {
		res = c.readEventStream(response.Body, mark, start)
	} else {
		res = readEcho(response.Body, mark, start)
	}
	res.total = time.Since(start)
	return res
}

func (c *caller) newRequest(ctx context.Context, mark string) (*http.Request, error) {
	base := c.stream.Daemons[(c.index+c.sent)%len(c.stream.Daemons)]
	method, path, body := c.stream.Method, c.stream.Path, io.Reader(strings.NewReader(mark))
	if c.stream.Model != "" {
		// Marshaling strings and numbers cannot fail.
		encoded, _ := json.Marshal(map[string]any{
			"model": c.stream.Model, "prompt": mark, "max_tokens": c.stream.MaxTokens, "stream": true,
		})
		method, path, body = http.MethodPost, "/v1/completions", bytes.NewReader(encoded)
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

func rejectionName(response *http.Response) string {
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

// readEventStream reads server-sent events up to the end mark and compares the
// text with the answer of the simulated engine to this prompt. A line that is no
// field of an event, or an event without an id or text, is foreign.
func (c *caller) readEventStream(body io.Reader, mark string, start time.Time) result {
	var res result
	var answer streamedAnswer
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		data := strings.TrimPrefix(value, " ")
		switch {
		case lines.Text() == "" || name == "" && value != "": // the end of an event, or a comment
		case name == "id":
			answer.addID()
		case name != "data":
			answer.foreign = true
		case data == "[DONE]":
			res.mismatch = !answer.equals(enginestandin.Text(mark, c.stream.MaxTokens))
			res.tokens = c.stream.MaxTokens
			return res
		default:
			if res.firstByte == 0 {
				res.firstByte = time.Since(start)
			}
			answer.addText(chunkText(data))
		}
	}
	res.truncated = true
	return res
}

// streamedAnswer is the part of an answer that has arrived as events.
type streamedAnswer struct {
	text strings.Builder
	// hasID is set if the current event has an id.
	hasID bool
	// foreign is set once anything has arrived that is no part of the answer.
	foreign bool
}

func (a *streamedAnswer) addID() {
	a.foreign = a.foreign || a.hasID
	a.hasID = true
}

func (a *streamedAnswer) addText(text string) {
	a.foreign = a.foreign || !a.hasID || text == ""
	a.hasID = false
	a.text.WriteString(text)
}

// equals reports whether the answer has the given text and nothing foreign.
func (a *streamedAnswer) equals(text string) bool {
	return !a.foreign && !a.hasID && a.text.String() == text
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

// readEcho checks that the response of the simulated plain service belongs to this
// request.
func readEcho(body io.Reader, mark string, start time.Time) result {
	text, err := io.ReadAll(body)
	res := result{firstByte: time.Since(start)}
	if err != nil {
		res.truncated = true
		return res
	}
	var echo struct {
		Mark string `json:"mark"`
	}
	res.mismatch = json.Unmarshal(text, &echo) != nil || echo.Mark != mark
	return res
}
