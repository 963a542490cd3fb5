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

// retryPolicies holds the retry policy of each service.
type retryPolicies struct {
	mu       sync.Mutex
	rng      *rand.Rand
	policies map[ident.Service]*retry.Policy
}

func newRetryPolicies() *retryPolicies {
	return &retryPolicies{
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		policies: map[ident.Service]*retry.Policy{},
	}
}

func (r *retryPolicies) forService(service ident.Service) *retry.Policy {
	p := r.policies[service]
	if p == nil {
		p = retry.New(retry.Config{})
		r.policies[service] = p
	}
	return p
}

func (r *retryPolicies) accepted(service ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forService(service).Accepted()
}

func (r *retryPolicies) decide(service ident.Service, a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forService(service).Decide(a, r.rng)
}

// attemptHistory summarizes the attempts of one request.
type attemptHistory struct {
	attempts, runs int
	// lastRun is the result of the last attempt that may have run. It is the result
	// of the request if a later attempt fails without running.
	lastRun *attempt.Result
}

// add records an attempt and returns the combined result of all attempts. The
// outcome of the last attempt alone could tell the caller that its request was
// not run although an earlier attempt may have run it.
func (h *attemptHistory) add(result attempt.Result) attempt.Result {
	h.attempts++
	if result.Outcome != resultcode.NotRun {
		h.runs++
		h.lastRun = &result
		return result
	}
	if h.lastRun != nil && result.Failure != nil {
		return *h.lastRun
	}
	return result
}

// addPreempted records an attempt that was stopped in favor of another request.
// It is not a failure and does not count as a retry, but part of it ran.
func (h *attemptHistory) addPreempted(result attempt.Result) {
	if result.Outcome != resultcode.NotRun {
		h.lastRun = &result
	}
}

// delivered reports whether the caller received a part of the response that the
// next attempt would repeat. An attempt that resumes preempted ones does not
// repeat their output.
func (j *job) delivered(last attempt.Result) bool {
	if j.priorServed > 0 {
		return last.Tokens > 0
	}
	return j.w.wroteHeader
}

// repeatable reports whether running the job twice does no harm.
func (j *job) repeatable() bool {
	if j.operation.Unrepeatable {
		return false
	}
	return j.service.Document.Kind == document.Model || retry.RepeatableMethod(j.method)
}

func (j *job) timeLeft(now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return retry.NoDeadline
	}
	return j.deadline.Sub(now)
}
