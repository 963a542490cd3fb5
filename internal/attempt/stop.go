package attempt

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/savorystall/savorystall/internal/resultcode"
)

func (m *modelAttempt) canceled(cause error) *resultcode.Failure {
	return m.stopped(resultcode.AnswerCut, cause)
}

// stopped ends a canceled attempt. A preempted one waits until the engine has
// heard of it: its slot is given away next, and the engine would refuse or queue
// the request that gets it while the stream still runs.
func (m *modelAttempt) stopped(code resultcode.Code, cause error) *resultcode.Failure {
	m.life.fire(onCanceled)
	m.result.Preempted = errors.Is(cause, ErrPreempted)
	if m.result.Preempted {
		m.deleteStream()
	} else {
		m.cancelStream()
	}
	return fail(code, cause)
}

// cancelStream tells the engine, beside the caller's path, that nobody wants
// the stream any more. An engine that does not hear it drops the stream by
// itself some seconds after its last connection.
func (m *modelAttempt) cancelStream() {
	m.canceling.Go(m.deleteStream)
}

func (m *modelAttempt) deleteStream() {
	ctx, cancel := context.WithTimeout(m.background, cancelTimeout)
	defer cancel()
	req := newRequest(ctx, http.MethodDelete, m.streamURL(), requestHeader(ctx, nil), nil)
	resp, err := m.fresh.RoundTrip(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// checkContinued refuses an engine that does not confirm the offset: one that
// knows nothing of it would begin another answer, and the caller would get a text
// put together from two.
func (m *modelAttempt) checkContinued(resp *http.Response) error {
	if m.req.After == 0 || resp.Header.Get(headerContinued) == strconv.FormatUint(m.req.After, 10) {
		return nil
	}
	return protocolError("the engine did not go on at the offset")
}
