package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystall/savorystall/internal/eventmemory"
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
	// errTargetEnded reports that a response without a length ended together with its target.
	errTargetEnded = errors.New("the response has no length, and its target has ended")
)

// relayStream relays events as they arrive. Only complete events are sent to the caller: an
// event that is cut off when a target fails is dropped, and the target that continues the
// stream sends it again from its start. Once a target has sent bytes that are no event, nothing
// that follows on its connection is relayed.
func (s *Server) relayStream(ctx context.Context, x *targetconn.Exchange, pr *proxyRequest, entry registry.Entry, r attemptResult, dispatched time.Time) attemptResult {
	pr.events.startAttempt()
	countBefore := pr.events.count
	buffer := make([]byte, readSize)
	flusher := http.NewResponseController(pr.w)
	for ended := false; !ended && r.failure == nil; {
		n, readErr := x.Read(buffer)
		complete, streamErr := pr.events.feed(buffer[:n])
		if len(complete) > 0 {
			if r.firstByteTime == 0 {
				r.firstByteTime = time.Since(dispatched)
				s.recordOrigin(pr)
				s.Placer.FirstByte(pr.id, r.firstByteTime)
			}
			if r.failure = s.writeEvents(pr, x, complete, flusher); r.failure != nil {
				break
			}
			streamErr = cmp.Or(streamErr, pr.events.delivered())
		}
		switch {
		case streamErr == eventmemory.ErrEnded || readErr != nil && readErr != io.EOF && pr.events.memory.Ended():
			r.failure = resultcode.Fail(resultcode.TargetProtocol, "").WithCause(eventmemory.ErrEnded)
		case streamErr != nil:
			r.failure = s.rejectBytes(pr, x, entry, streamErr, pr.events.count-countBefore)
		case readErr == io.EOF:
			ended = true
			r.failure = s.finishStream(pr, x, entry)
		case readErr != nil:
			r.failure = resultcode.Fail(resultcode.AnswerCut, "").WithCause(readErr)
		}
	}
	s.judgeBreak(ctx, pr, entry, &r)
	if r.firstByteTime > 0 {
		r.cost = pr.streamCost()
	}
	r.eventCount = pr.events.count - countBefore
	return r
}

// judgeBreak derives from the failure of a stream whether its target failed, whether its last events are unconfirmed
// and whether another target can continue it.
func (s *Server) judgeBreak(ctx context.Context, pr *proxyRequest, entry registry.Entry, r *attemptResult) {
	cause := breakCause(r.failure)
	switch {
	case cause == "" || callerGone(ctx, pr):
		return
	case errors.Is(r.failure, errUnconfirmedEvent):
		r.isFinal = true // the caller has an event of the previous target that this one does not have
		return
	case errors.Is(r.failure, eventstream.DuplicateID) && !pr.events.withdrawn:
		r.isFinal = true // the foreign one of the two may have been delivered
	case r.failure.Code == resultcode.AnswerCut:
		pr.events.distrustFirstGap()
	}
	r.targetFailed = true
	if ctx.Err() == nil { // otherwise the deadline of the request has passed
		s.Metrics.StreamBroken(entry.Identity, cause)
	}
}

// rejectBytes aborts the exchange of a stream that holds bytes which are no event of it, and returns its failure.
func (s *Server) rejectBytes(pr *proxyRequest, x *targetconn.Exchange, entry registry.Entry, cause error, eventsBefore int) *resultcode.Failure {
	x.Abort()
	failure := resultcode.Fail(resultcode.TargetProtocol, "").WithCause(cause)
	if !errors.Is(cause, errUnconfirmedEvent) {
		pr.events.distrust()
		s.logForeignBytes(pr, entry, breakCause(failure), eventsBefore)
	}
	return failure
}

// finishStream checks that a stream whose body has ended did not end within an event, or with its
// target, and that no delivered event is missing from it.
func (s *Server) finishStream(pr *proxyRequest, x *targetconn.Exchange, entry registry.Entry) *resultcode.Failure {
	switch {
	case pr.events.hasPartialEvent():
		return resultcode.Fail(resultcode.AnswerCut, "").WithCause(errTruncatedEvent)
	case s.endedWithTarget(x, entry):
		return resultcode.Fail(resultcode.AnswerCut, "").WithCause(errTargetEnded)
	case pr.events.missesEvents():
		return resultcode.Fail(resultcode.TargetProtocol, "").WithCause(errUnconfirmedEvent)
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
	pr.streamEnd.beginWrite()
	_, err := pr.w.Write(events)
	if err == nil {
		err = flusher.Flush()
	}
	if !pr.streamEnd.endWrite() {
		err = eventmemory.ErrEnded
	}
	if err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").WithCause(err)
	}
	return nil
}

// streamCost returns the cost of the part of a stream that has been received so far.
func (pr *proxyRequest) streamCost() float64 {
	return float64(pr.info.PromptTokens + outputWeight*tokensPerEvent*pr.events.count)
}
