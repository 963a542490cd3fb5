package attempt_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/resultcode"
)

const (
	soundEvents = 6
	endMark     = "data: [DONE]\n\n"
	foreignData = `{"choices":[{"text":"foreign"}]}`
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
)

// soundData returns the data of the n-th event, counted from one.
func soundData(n int) string {
	if n == soundEvents {
		return fmt.Sprintf(`{"choices":[{"text":"%d ","finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":%d}}`, n, n)
	}
	return fmt.Sprintf(`{"choices":[{"text":"%d "}]}`, n)
}

// soundStream returns the events after from up to to, with the end mark if these are all.
func soundStream(from, to int) string {
	var b strings.Builder
	for n := from + 1; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, soundData(n))
	}
	return b.String()
}

func event(id string, lines ...string) string {
	return "id: " + id + "\n" + strings.Join(lines, "\n") + "\n\n"
}

// foreignBytes returns, by name, bytes that are no event of a stream after its first n events.
func foreignBytes(n int) map[string]string {
	next := strconv.Itoa(n + 1)
	data := "data: " + foreignData
	return map[string]string{
		"words":                       "some words\n\n",
		"words without an end":        "some words ",
		"zeros":                       strings.Repeat("\x00", 64) + "\n\n",
		"HTML":                        "<html>\r\n<body>error</body>\r\n</html>\r\n\r\n",
		"300 kB":                      strings.Repeat("x", 300<<10) + "\n\n",
		"late response":               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nanswer 17\r\n\r\n",
		"late stream":                 streamHead + "\r\n" + event(next, data),
		"no id":                       data + "\n\n",
		"empty id":                    event("", data),
		"id is a word":                event("word", data),
		"negative id":                 event("-4", data),
		"ID in capitals":              "ID: " + next + "\n" + data + "\n\n",
		"two ids":                     event("99", "id: "+next, data),
		"id without data":             event(next),
		"id zero":                     event("0", data),
		"id passed":                   event(strconv.Itoa(max(1, n)), data),
		"id far ahead":                event("1000", data),
		"unknown field":               event(next, "colour: red", data),
		"line without a colon":        event(next, "words", data),
		"braces but no JSON":          event(next, "data: {foreign}"),
		"two JSON values":             event(next, "data: {} {}"),
		"other count of tokens":       event(next, `data: {"choices":[{"text":"foreign","finish_reason":"stop"}],"usage":{"completion_tokens":50}}`),
		"end mark of another length":  event("77", "data: [DONE]"),
		"carriage return within data": event(next, "data: {\r\rdata: foreign\r\r\"choices\":[]}"),
	}
}

// foreignEngine is an engine whose first connection sends foreign bytes after the first n events.
type foreignEngine struct {
	n       int
	foreign string
	// ending is what its connection does next: "close", "end" or "go on".
	ending  string
	chunked bool
}

func (e foreignEngine) serve(t *testing.T) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn, in *bufio.Reader) {
		if r, err := readWholeRequest(in); err == nil {
			_, _ = io.WriteString(conn, e.response(r))
		}
	})
}

func (e foreignEngine) response(r *http.Request) string {
	if r.Method == http.MethodDelete {
		return "HTTP/1.1 204 No Content\r\n\r\n"
	}
	if r.Method == http.MethodGet {
		offset, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
		return streamHead + "\r\n" + soundStream(offset, soundEvents) + endMark
	}
	body := soundStream(0, e.n) + e.foreign
	if e.ending == "go on" {
		body += soundStream(e.n, soundEvents) + endMark
	}
	if !e.chunked {
		return streamHead + "\r\n" + body
	}
	text := streamHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	if e.ending != "close" {
		text += "0\r\n\r\n"
	}
	return text
}

// chunkRecorder records the data of the chunks.
type chunkRecorder struct{ data []string }

func (r *chunkRecorder) Chunk(c attempt.Chunk) error {
	r.data = append(r.data, string(c.Data))
	return nil
}

// foreign returns how many of the chunks are not among the sound ones.
func (r *chunkRecorder) foreign(sound []string) int {
	n := 0
	for _, data := range r.data {
		if !slices.Contains(sound, data) {
			n++
		}
	}
	return n
}

// noTimeout returns timeouts that none of these streams reaches, however busy the machine is.
func noTimeout() attempt.Config {
	return attempt.Config{FirstByteTimeout: time.Minute, ProgressTimeout: time.Minute, ResumeWindow: time.Minute}
}

// Guards against bytes that are no event of the stream: nothing that follows them on their connection may be used, and
// the stream is resumed on another one. Otherwise the caller gets a foreign piece, an answer without its last pieces, or a failure although the engine has the whole answer.
func TestBytesThatAreNoEventOfTheStream(t *testing.T) {
	var all []string
	for n := 1; n <= soundEvents; n++ {
		all = append(all, soundData(n))
	}
	for _, n := range []int{0, 3, soundEvents} {
		for name, foreign := range foreignBytes(n) {
			if n == 0 && name == "id passed" {
				continue // nothing has passed
			}
			for _, ending := range []string{"close", "end", "go on"} {
				for _, chunked := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s/after %d/%s/chunked %v", name, n, ending, chunked), func(t *testing.T) {
						is := is.NewRelaxed(t)
						address := foreignEngine{n, foreign, ending, chunked}.serve(t)
						sink := &chunkRecorder{}
						got := newRunner(t, noTimeout()).Model(t.Context(), modelRequest(address, "x", soundEvents), sink)
						t.Logf("%d of %d pieces foreign, failure %v, %d resumed", sink.foreign(all), len(sink.data), got.Failure, got.ResumeCount)
						is.True(got.Failure == nil)
						is.Equal(sink.data, all)
						is.Equal(got.Outcome, resultcode.Ran)
						is.Equal(got.ResumeCount, 1)
					})
				}
			}
		}
	}
}

// Guards against a check of events that is too strict for the protocol.
func TestSoundStreamsOfEveryForm(t *testing.T) {
	last := fmt.Sprintf("id: 3\ndata: %s\n\n", `{"choices":[{"text":"c","finish_reason":"stop"}],"usage":{"completion_tokens":3}}`)
	chunk := func(text string) string { return fmt.Sprintf(`{"choices":[{"text":%q}]}`, text) }
	for name, c := range map[string]struct {
		body string
		want []string
	}{
		"line feeds":            {"id: 1\ndata: " + chunk("a") + "\n\nid: 2\ndata: " + chunk("b") + "\n\n", []string{chunk("a"), chunk("b")}},
		"carriage returns too":  {"id: 1\r\ndata: " + chunk("a") + "\r\n\r\nid: 2\r\ndata: " + chunk("b") + "\r\n\r\n", []string{chunk("a"), chunk("b")}},
		"no space":              {"id:1\ndata:" + chunk("a") + "\n\nid:2\ndata:" + chunk("b") + "\n\n", []string{chunk("a"), chunk("b")}},
		"data first":            {"data: " + chunk("a") + "\nid: 1\n\ndata: " + chunk("b") + "\nid: 2\n\n", []string{chunk("a"), chunk("b")}},
		"two tokens":            {"id: 2\ndata: {\"tokens\":2}\n\n", []string{`{"tokens":2}`}},
		"no token":              {"id: 0\ndata: {\"tokens\":0}\n\nid: 2\ndata: {\"tokens\":2}\n\n", []string{`{"tokens":0}`, `{"tokens":2}`}},
		"several data lines":    {"id: 2\ndata: {\"tokens\":\ndata: 2}\n\n", []string{"{\"tokens\":\n2}"}},
		"heartbeats":            {": heartbeat\n\nid: 1\ndata: " + chunk("a") + "\n\n: heartbeat\n\n\nid: 2\ndata: " + chunk("b") + "\n\n:\n\n", []string{chunk("a"), chunk("b")}},
		"comment in an event":   {"id: 1\ndata: " + chunk("a") + "\n: comment\n\n: comment\nid: 2\ndata: " + chunk("b") + "\n\n", []string{chunk("a"), chunk("b")}},
		"event and retry":       {"retry: 10\n\nevent: message\nid: 1\ndata: " + chunk("a") + "\n\nid: 2\nretry: 10\ndata: " + chunk("b") + "\n\n", []string{chunk("a"), chunk("b")}},
		"fields within strings": {"id: 2\ndata: {\"tokens\":2,\"text\":\"\\nid: 9\\n\\n<html>\"}\n\n", []string{`{"tokens":2,"text":"\nid: 9\n\n<html>"}`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := foreignEngine{n: 0, foreign: c.body + last + endMark, ending: "end", chunked: true}.serve(t)
			sink := &chunkRecorder{}
			got := newRunner(t, noTimeout()).Model(t.Context(), modelRequest(address, "x", 3), sink)
			is.True(got.Failure == nil)
			is.Equal(sink.data[:len(sink.data)-1], c.want)
			is.Equal(got.Tokens, 3)
			is.Equal(got.ResumeCount, 0)
		})
	}
}
