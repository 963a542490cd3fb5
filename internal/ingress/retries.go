package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
)

// retries holds the retry policy of each service.
type retries struct {
	mu       sync.Mutex
	rng      *rand.Rand
	policies map[ident.Service]*retry.Policy
}

func newRetries() *retries {
	return &retries{
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		policies: map[ident.Service]*retry.Policy{},
	}
}

func (r *retries) policy(service ident.Service) *retry.Policy {
	p := r.policies[service]
	if p == nil {
		p = retry.New(retry.Config{})
		r.policies[service] = p
	}
	return p
}

func (r *retries) accepted(service ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy(service).Accepted()
}

func (r *retries) decide(service ident.Service, a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy(service).Decide(a, r.rng)
}

// history is what the attempts of one request add up to.
type history struct {
	attempts, runs int
	// worst is the result to answer with where the last attempt did not run
	// but an earlier one may have.
	worst *attempt.Result
}

// add notes an attempt and returns the result that stands for all of them. The
// last attempt's outcome alone would tell a caller that its request was not run
// though an earlier attempt may have run it.
func (h *history) add(result attempt.Result) attempt.Result {
	h.attempts++
	if result.Outcome != resultcode.NotRun {
		h.runs++
		h.worst = &result
		return result
	}
	if h.worst != nil && result.Failure != nil {
		return *h.worst
	}
	return result
}

// stopped notes an attempt that was stopped for another request. It is no
// failure and uses up no retry, but a part of it ran.
func (h *history) stopped(result attempt.Result) {
	if result.Outcome != resultcode.NotRun {
		h.worst = &result
	}
}

// delivered tells whether a part of the answer was handed over that the next
// attempt would repeat. One that goes on after earlier attempts repeats nothing
// of theirs.
func (j *job) delivered(last attempt.Result) bool {
	if j.earlier > 0 {
		return last.Tokens > 0
	}
	return j.w.began
}

// repeatable tells whether running the job twice does no harm.
func (j *job) repeatable() bool {
	if j.operation.Unrepeatable {
		return false
	}
	return j.service.Document.Kind == document.Model || retry.RepeatableMethod(j.method)
}

func (j *job) left(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return retry.NoDeadline
	}
	return j.deadline.Sub(now)
}
