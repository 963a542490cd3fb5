package enginestandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// connection is one response that carries a stream or a part of it.
type connection struct {
	engine *Engine
	stream *stream
	reader chan struct{}
	fault  *Fault
	w      http.ResponseWriter
	r      *http.Request
	// skipped is set once FaultSkip has left out its token.
	skipped bool
}

// follow writes the stream's events after the offset until its end.
func (c *connection) follow(offset int) {
	if c.failBeforeHeader() {
		return
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(c.w)
	_ = flush.Flush()
	heartbeat := time.NewTicker(c.engine.cfg.Heartbeat)
	defer heartbeat.Stop()
	for {
		produced, canceled := c.progress()
		if c.writeEvents(offset, produced) {
			return
		}
		offset = max(offset, produced)
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if offset == c.stream.total {
			_, _ = c.w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		_ = flush.Flush()
		if !c.wait(heartbeat.C) {
			return
		}
	}
}

// wait returns true when the stream has moved on, and false when the
// connection is to end. It writes a heartbeat where nothing moves.
func (c *connection) wait(heartbeat <-chan time.Time) bool {
	for {
		select {
		case <-c.reader:
			return true
		case <-heartbeat:
			_, _ = c.w.Write([]byte(": heartbeat\n\n"))
			_ = http.NewResponseController(c.w).Flush()
		case <-c.r.Context().Done():
			return false
		case <-c.engine.stop:
			panic(http.ErrAbortHandler)
		}
	}
}

func (c *connection) progress() (produced int, canceled bool) {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	return c.stream.produced, c.stream.canceled
}

// failBeforeHeader applies the faults that leave a request without an answer.
func (c *connection) failBeforeHeader() bool {
	if c.fault == nil {
		return false
	}
	switch c.fault.Kind {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultMute:
		c.hang()
		return true
	}
	return false
}

func (c *connection) hang() {
	select {
	case <-c.r.Context().Done():
	case <-c.engine.stop:
		panic(http.ErrAbortHandler)
	}
}

// writeEvents writes the tokens from one offset to another. It returns true
// where a fault has ended the response.
func (c *connection) writeEvents(from, to int) (ended bool) {
	var b bytes.Buffer
	for i := from; i < to; i++ {
		if c.fault != nil && i >= c.fault.AfterTokens {
			_, _ = c.w.Write(b.Bytes())
			b.Reset()
			_ = http.NewResponseController(c.w).Flush()
			if c.applyFault() {
				return true
			}
			if c.fault.Kind == FaultSkip && !c.skipped {
				c.skipped = true
				continue
			}
		}
		c.appendEvent(&b, i)
	}
	_, _ = c.w.Write(b.Bytes())
	return false
}

// applyFault returns true where the response has ended in good order.
func (c *connection) applyFault() (ended bool) {
	switch c.fault.Kind {
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultForget:
		c.forget()
		panic(http.ErrAbortHandler)
	case FaultSilence:
		c.hang()
		return true
	case FaultEndEarly:
		return true
	case FaultErrorEvent:
		_, _ = c.w.Write([]byte("data: {\"error\":{\"message\":\"the engine failed\"}}\n\n"))
		return true
	}
	return false
}

func (c *connection) forget() {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.engine.cancelStream(c.stream)
	delete(c.engine.streams, c.stream.attempt)
}

func (c *connection) appendEvent(b *bytes.Buffer, i int) {
	data, _ := json.Marshal(c.chunk(i))
	fmt.Fprintf(b, "id: %d\ndata: %s\n\n", i+1, data)
}

func (c *connection) chunk(i int) chunk {
	s := c.stream
	text := Token(s.prompt, i)
	out := chunk{ID: "cmpl-" + s.attempt, Object: objectCompletion, Created: s.created, Model: s.model}
	one := choice{Text: &text}
	if s.chat {
		out.Object = objectChatChunk
		one = choice{Delta: &message{Role: "assistant", Content: text}}
	}
	if i+1 == s.total {
		one.FinishReason = new(string)
		*one.FinishReason = finishLength
		out.Usage = s.usage()
	}
	out.Choices = []choice{one}
	return out
}

func (s *stream) usage() *usage {
	prompt := PromptTokens(s.prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: s.total, TotalTokens: prompt + s.total}
}

// whole writes the answer in one piece when it is complete.
func (c *connection) whole() {
	if c.failBeforeHeader() {
		return
	}
	for {
		produced, canceled := c.progress()
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if produced == c.stream.total {
			break
		}
		select {
		case <-c.reader:
		case <-c.r.Context().Done():
			return
		case <-c.engine.stop:
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(c.w, http.StatusOK, c.wholeChunk())
}

func (c *connection) wholeChunk() chunk {
	s := c.stream
	text := Text(s.prompt, s.total)
	finish := finishLength
	out := chunk{ID: "cmpl-" + s.attempt, Object: objectCompletion, Created: s.created, Model: s.model, Usage: s.usage()}
	one := choice{Text: &text, FinishReason: &finish}
	if s.chat {
		out.Object = objectChat
		one = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &finish}
	}
	out.Choices = []choice{one}
	return out
}
