package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/targetconn"
)

func lengthText(n int64) string { return strconv.FormatInt(n, 10) }

// outputWeight is what a generated token counts against one read; eventTokens is
// taken for the tokens of one event where the caller stated no size.
const (
	outputWeight = 2
	eventTokens  = 8
)

// errPartial is the end of a stream in the middle of an event.
var errPartial = errors.New("the stream ended in the middle of an event")

// stream passes events on as they come. Only whole events go to the caller: what
// a target left of one when it stopped is dropped, and a target that goes on
// begins with it again.
func (s *Server) stream(ctx context.Context, x *targetconn.Exchange, j *job, r result, began time.Time) result {
	j.events.restart()
	before := j.events.count
	buffer := make([]byte, chunk)
	flusher := http.NewResponseController(j.w)
	for {
		n, err := x.Read(buffer)
		whole := j.events.take(buffer[:n])
		if len(whole) > 0 {
			if r.first == 0 {
				r.first = time.Since(began)
				s.Placer.First(j.id, r.first)
			}
			if failure := j.deliver(x, whole, flusher); failure != nil {
				r.failure = failure
				break
			}
		}
		if err == io.EOF {
			r.failure = j.ended(x)
			break
		}
		if err != nil {
			r.failure = resultcode.Fail(resultcode.AnswerCut, "").Because(err)
			break
		}
	}
	r.targetFailed = r.failure != nil && r.failure.Code == resultcode.AnswerCut && !callerLeft(ctx, j)
	if r.first > 0 {
		r.served = j.cost()
	}
	r.events = j.events.count - before
	return r
}

// ended judges a stream whose framing has ended.
func (j *job) ended(x *targetconn.Exchange) *resultcode.Failure {
	if j.events.partial() {
		return resultcode.Fail(resultcode.AnswerCut, "").Because(errPartial)
	}
	if !j.began {
		j.begin(x.Response.StatusCode, x.Response.Header, -1)
	}
	return nil
}

// deliver writes whole events to the caller.
func (j *job) deliver(x *targetconn.Exchange, events []byte, flusher *http.ResponseController) *resultcode.Failure {
	if !j.began {
		j.begin(x.Response.StatusCode, x.Response.Header, -1)
	}
	if _, err := j.w.Write(events); err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").Because(err)
	}
	if err := flusher.Flush(); err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").Because(err)
	}
	return nil
}

// cost is what a stream has received so far.
func (j *job) cost() float64 {
	return float64(j.call.PromptTokens + outputWeight*eventTokens*j.events.count)
}
