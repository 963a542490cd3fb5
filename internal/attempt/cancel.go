package attempt

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/savorystall/savorystall/internal/resultcode"
)

func (m *modelAttempt) answerCanceled(cause error) *resultcode.Failure {
	return m.canceledWithCode(resultcode.AnswerCut, cause)
}

// canceledWithCode ends a canceled attempt. A preempted attempt waits for the
// engine to respond to the cancellation: its slot is reassigned next, and the engine
// would reject or queue the request that gets the slot while the stream still runs.
func (m *modelAttempt) canceledWithCode(code resultcode.Code, cause error) *resultcode.Failure {
	m.lifecycle.fire(triggerCanceled)
	m.result.Preempted = errors.Is(cause, ErrPreempted)
	if m.result.Preempted {
		m.deleteStream()
	} else {
		m.cancelStreamAsync()
	}
	return newFailure(code, cause)
}

// cancelStreamAsync cancels the stream at the engine without delaying the caller.
// An engine that does not receive the cancellation drops the stream on its own a
// few seconds after its last connection.
func (m *modelAttempt) cancelStreamAsync() {
	m.cancellations.Go(m.deleteStream)
}

func (m *modelAttempt) deleteStream() {
	ctx, cancel := context.WithTimeout(m.cancelContext, cancelTimeout)
	defer cancel()
	req := newRequest(ctx, http.MethodDelete, m.streamURL(), requestHeader(ctx, nil), nil)
	resp, err := m.unpooled.RoundTrip(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// checkContinuation returns an error if the engine does not confirm the start
// offset. An engine that ignores the offset would start a new answer, and the
// caller would get a mixture of two answers.
func (m *modelAttempt) checkContinuation(resp *http.Response) error {
	if m.req.StartOffset == 0 || resp.Header.Get(headerContinued) == strconv.FormatUint(m.req.StartOffset, 10) {
		return nil
	}
	return protocolError("the engine did not confirm the start offset")
}
