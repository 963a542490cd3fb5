package enginestandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// connection is one HTTP response that delivers all or part of a stream.
type connection struct {
	engine  *Engine
	stream  *stream
	updates chan struct{}
	fault   *Fault
	w       http.ResponseWriter
	r       *http.Request
	// skipped reports that FaultSkipToken has already omitted a token.
	skipped bool
	// garbageSent is set if FaultGarbage has sent its bytes.
	garbageSent bool
}

// streamEvents writes the stream's events after the offset until the stream ends.
func (c *connection) streamEvents(offset int) {
	if c.applyFaultBeforeHeader() {
		return
	}
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(c.w)
	_ = controller.Flush()
	heartbeat := time.NewTicker(c.engine.cfg.HeartbeatInterval)
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
			if c.applyGarbage(offset) {
				return
			}
			_, _ = c.w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		_ = controller.Flush()
		if !c.waitForProgress(heartbeat.C) {
			return
		}
	}
}

// waitForProgress returns true when the stream has changed, and false when the
// client has disconnected. It sends heartbeats while it waits.
func (c *connection) waitForProgress(heartbeat <-chan time.Time) bool {
	for {
		select {
		case <-c.updates:
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

// applyFaultBeforeHeader applies the faults that leave a request without a
// response.
func (c *connection) applyFaultBeforeHeader() bool {
	if c.fault == nil {
		return false
	}
	switch c.fault.Kind {
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		c.blockUntilClosed()
		return true
	}
	return false
}

func (c *connection) blockUntilClosed() {
	select {
	case <-c.r.Context().Done():
	case <-c.engine.stop:
		panic(http.ErrAbortHandler)
	}
}

// writeEvents writes the events of the tokens in [from, to). It returns true if a
// fault has ended the response.
func (c *connection) writeEvents(from, to int) (ended bool) {
	var b bytes.Buffer
	for i := from; i < to; i++ {
		if c.fault != nil && i >= c.fault.AfterTokens {
			_, _ = c.w.Write(b.Bytes())
			b.Reset()
			_ = http.NewResponseController(c.w).Flush()
			if c.applyFault() || c.applyGarbage(i) {
				return true
			}
			if c.fault.Kind == FaultSkipToken && !c.skipped {
				c.skipped = true
				continue
			}
		}
		c.appendEvent(&b, i)
	}
	_, _ = c.w.Write(b.Bytes())
	return false
}

// applyFault applies the connection's fault. It returns true if the response ends
// normally, and panics with http.ErrAbortHandler if the connection is to be
// aborted.
func (c *connection) applyFault() (ended bool) {
	switch c.fault.Kind {
	case FaultDisconnect:
		panic(http.ErrAbortHandler)
	case FaultLoseStream:
		c.dropStream()
		panic(http.ErrAbortHandler)
	case FaultStall:
		c.blockUntilClosed()
		return true
	case FaultEndEarly:
		return true
	case FaultErrorEvent:
		_, _ = c.w.Write([]byte("data: {\"error\":{\"message\":\"the engine failed\"}}\n\n"))
		return true
	}
	return false
}

// applyGarbage applies FaultGarbage before the token with the index next. It returns
// as applyFault does.
func (c *connection) applyGarbage(next int) (ended bool) {
	if c.fault == nil || c.fault.Kind != FaultGarbage || c.garbageSent {
		return false
	}
	c.garbageSent = true
	_, _ = io.WriteString(c.w, c.fault.Garbage.Text(next+1))
	_ = http.NewResponseController(c.w).Flush()
	if c.fault.AfterGarbage == GarbageDisconnect {
		panic(http.ErrAbortHandler)
	}
	return c.fault.AfterGarbage == GarbageEnd
}

func (c *connection) dropStream() {
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
	answerChoice := choice{Text: &text}
	if s.chat {
		out.Object = objectChatChunk
		answerChoice = choice{Delta: &message{Role: "assistant", Content: text}}
	}
	if i+1 == s.total {
		answerChoice.FinishReason = new(string)
		*answerChoice.FinishReason = finishLength
		out.Usage = s.usage()
	}
	out.Choices = []choice{answerChoice}
	return out
}

func (s *stream) usage() *usage {
	prompt := PromptTokens(s.prompt)
	return &usage{PromptTokens: prompt, CompletionTokens: s.total, TotalTokens: prompt + s.total}
}

// sendCompletion writes the complete answer as a single JSON body once it is
// generated.
func (c *connection) sendCompletion() {
	if c.applyFaultBeforeHeader() {
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
		case <-c.updates:
		case <-c.r.Context().Done():
			return
		case <-c.engine.stop:
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(c.w, http.StatusOK, c.completion())
}

func (c *connection) completion() chunk {
	s := c.stream
	text := Text(s.prompt, s.total)
	finishReason := finishLength
	out := chunk{ID: "cmpl-" + s.attempt, Object: objectCompletion, Created: s.created, Model: s.model, Usage: s.usage()}
	answerChoice := choice{Text: &text, FinishReason: &finishReason}
	if s.chat {
		out.Object = objectChat
		answerChoice = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &finishReason}
	}
	out.Choices = []choice{answerChoice}
	return out
}
