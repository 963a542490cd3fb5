package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystall/savorystall/internal/eventstream"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/targetconn"
)

func formatLength(n int64) string { return strconv.FormatInt(n, 10) }

// outputWeight is the cost of a generated token relative to a prompt token; tokensPerEvent
// is the number of tokens assumed for each event of a stream.
const (
	outputWeight   = 2
	tokensPerEvent = 8
)

var (
	// errTruncatedEvent reports that a stream ended within an event.
	errTruncatedEvent = errors.New("the stream ended in the middle of an event")
	// errEventTooLong reports that an event of a stream does not end.
	errEventTooLong = errors.New("an event of the stream is too long")
	// errTargetEnded reports that a response without a length ended together with its target.
	errTargetEnded = errors.New("the response has no length, and its target has ended")
)

// relayStream relays events as they arrive. Only complete events are sent to the caller: an
// event that is cut off when a target fails is dropped, and the target that continues the
// stream sends it again from its start.
func (s *Server) relayStream(ctx context.Context, x *targetconn.Exchange, pr *proxyRequest, entry registry.Entry, r attemptResult, dispatched time.Time) attemptResult {
	pr.events.startAttempt()
	countBefore := pr.events.count
	buffer := make([]byte, readSize)
	flusher := http.NewResponseController(pr.w)
	var check eventstream.Parser
	eventsSeen, violated := 0, false
	for {
		n, err := x.Read(buffer)
		if violation := check.Feed(buffer[:n], func(eventstream.Event) { eventsSeen++ }); violation != nil && !violated {
			violated = true
			s.logForeignBytes(pr, entry, violation, eventsSeen)
			s.Metrics.StreamBroken(entry.Identity, violation.Error())
		}
		complete := pr.events.feed(buffer[:n])
		if len(complete) > 0 {
			if r.firstByteTime == 0 {
				r.firstByteTime = time.Since(dispatched)
				s.recordOrigin(pr)
				s.Placer.FirstByte(pr.id, r.firstByteTime)
			}
			if failure := s.writeEvents(pr, x, complete, flusher); failure != nil {
				r.failure = failure
				break
			}
		}
		if pr.events.isTooLong() {
			r.failure = resultcode.Fail(resultcode.AnswerCut, "").WithCause(errEventTooLong)
			break
		}
		if err == io.EOF {
			r.failure = s.finishStream(pr, x, entry)
			break
		}
		if err != nil {
			r.failure = resultcode.Fail(resultcode.AnswerCut, "").WithCause(err)
			break
		}
	}
	r.targetFailed = r.failure != nil && r.failure.Code == resultcode.AnswerCut && !callerGone(ctx, pr)
	if r.targetFailed && !violated {
		s.Metrics.StreamBroken(entry.Identity, breakCause(r.failure))
	}
	if r.firstByteTime > 0 {
		r.cost = pr.streamCost()
	}
	r.eventCount = pr.events.count - countBefore
	return r
}

// finishStream checks that a stream whose body has ended did not end within an event, or with its
// target.
func (s *Server) finishStream(pr *proxyRequest, x *targetconn.Exchange, entry registry.Entry) *resultcode.Failure {
	if pr.events.hasPartialEvent() {
		return resultcode.Fail(resultcode.AnswerCut, "").WithCause(errTruncatedEvent)
	}
	if s.endedWithTarget(x, entry) {
		return resultcode.Fail(resultcode.AnswerCut, "").WithCause(errTargetEnded)
	}
	if !pr.responseStarted {
		s.writeHeader(pr, x.Response.StatusCode, x.Response.Header, -1)
	}
	return nil
}

// writeEvents sends complete events to the caller.
func (s *Server) writeEvents(pr *proxyRequest, x *targetconn.Exchange, events []byte, flusher *http.ResponseController) *resultcode.Failure {
	if !pr.responseStarted {
		s.writeHeader(pr, x.Response.StatusCode, x.Response.Header, -1)
	}
	if _, err := pr.w.Write(events); err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").WithCause(err)
	}
	if err := flusher.Flush(); err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").WithCause(err)
	}
	return nil
}

// streamCost returns the cost of the part of a stream that has been received so far.
func (pr *proxyRequest) streamCost() float64 {
	return float64(pr.info.PromptTokens + outputWeight*tokensPerEvent*pr.events.count)
}
