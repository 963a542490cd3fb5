// Package retry decides whether a failed attempt is retried.
//
// The load pattern it addresses: a target fails, or all of them are slow, while
// many requests are in flight. Without a budget every caller's request is tried
// several times just when capacity is lowest, so that retries sustain the
// overload after its cause has gone; without jitter they arrive all at once.
// Without the rules on outcomes a request with side effects is executed twice.
//
// Queueing a request again of which no byte was processed costs the targets
// nothing, so that such retries need no budget; they are bounded by a maximum
// number of attempts and by the caller's deadline. A request that may have run
// is retried only if it is repeatable, no part of its response was delivered,
// and the budget allows it.
//
// Rationale for the defaults: with Ratio 0.1 retries add at most a tenth to the
// long-term load, which a fleet at 90% of its capacity can still carry. Burst
// covers the requests of one target (50 slots) failing together. BaseBackoff is
// shorter than a short response takes, and MaxBackoff shorter than a person is
// willing to wait.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// Config bounds the retries of one service at one daemon.
type Config struct {
	// Ratio is the number of budgeted retries per first attempt. Default: 0.1.
	Ratio float64
	// Burst is the largest balance of the budget, and the initial one. Default:
	// 50.
	Burst float64
	// MaxRuns bounds the attempts of a request that may have run. Default: 3.
	MaxRuns int
	// MaxAttempts bounds all attempts of a request. Default: 10.
	MaxAttempts int
	// BaseBackoff is the longest delay before the first retry; it doubles with
	// each retry up to MaxBackoff. Defaults: 25 ms and 1 s.
	BaseBackoff, MaxBackoff time.Duration
}

const (
	defaultRatio       = 0.1
	defaultBurst       = 50
	defaultMaxRuns     = 3
	defaultMaxAttempts = 10
	defaultBaseBackoff = 25 * time.Millisecond
	defaultMaxBackoff  = time.Second
)

func (c Config) withDefaults() Config {
	if c.Ratio == 0 {
		c.Ratio = defaultRatio
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	if c.MaxRuns == 0 {
		c.MaxRuns = defaultMaxRuns
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.BaseBackoff == 0 {
		c.BaseBackoff = defaultBaseBackoff
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return c
}

// Policy holds the retry budget of one service at one daemon. It is not safe
// for concurrent use.
type Policy struct {
	cfg     Config
	balance float64
}

// New returns a policy with a full budget.
func New(cfg Config) *Policy {
	cfg = cfg.withDefaults()
	return &Policy{cfg: cfg, balance: cfg.Burst}
}

// Accepted credits the budget for the first attempt of a request.
func (p *Policy) Accepted() { p.balance = min(p.cfg.Burst, p.balance+p.cfg.Ratio) }

// Balance returns the number of retries left in the budget.
func (p *Policy) Balance() float64 { return p.balance }

// Attempt describes a failed attempt and its request.
type Attempt struct {
	// Outcome is what is known about whether the attempt ran.
	Outcome resultcode.Outcome
	// Status is the HTTP status of the target, zero if none was received.
	Status int
	// Attempts counts the attempts so far, including this one; Runs counts
	// those of them that may have run.
	Attempts, Runs int
	// Delivered reports that part of the response was delivered to the caller.
	Delivered bool
	// Repeatable reports that running the request twice does no harm.
	Repeatable bool
	// CallerGone reports that the caller no longer waits for the response.
	CallerGone bool
	// TimeLeft is the time until the caller's deadline; the deadline has passed
	// if it is zero or less. It must be NoDeadline for a request without a
	// deadline.
	TimeLeft time.Duration
}

// NoDeadline is the TimeLeft of a request without a deadline.
const NoDeadline = time.Duration(1<<63 - 1)

// Reason states why an attempt is not retried.
type Reason string

// Reasons not to retry.
const (
	CallerGone       Reason = "caller gone"
	Delivered        Reason = "part of the response was delivered"
	Final            Reason = "the target's response is final"
	Unrepeatable     Reason = "the request may have run and is not repeatable"
	TooManyAttempts  Reason = "too many attempts"
	DeadlineTooClose Reason = "the deadline is before the next attempt"
	BudgetExhausted  Reason = "the retry budget is exhausted"
)

// Decision states what follows a failed attempt.
type Decision struct {
	// Retry reports that the request is to be queued again after Backoff. The
	// retry should avoid the target of the failed attempt.
	Retry   bool
	Backoff time.Duration
	// Reason is set if Retry is false.
	Reason Reason
}

// Decide returns what follows a failed attempt, and charges the budget for a
// retry that needs it.
func (p *Policy) Decide(a Attempt, rng *rand.Rand) Decision {
	if reason := p.reasonAgainst(a); reason != "" {
		return Decision{Reason: reason}
	}
	backoff := p.backoff(a.Attempts, rng)
	if backoff >= a.TimeLeft {
		return Decision{Reason: DeadlineTooClose}
	}
	if a.Outcome != resultcode.NotRun {
		if p.balance < 1 {
			return Decision{Reason: BudgetExhausted}
		}
		p.balance--
	}
	return Decision{Retry: true, Backoff: backoff}
}

func (p *Policy) reasonAgainst(a Attempt) Reason {
	return ReasonAgainst(a, p.cfg.MaxAttempts, p.cfg.MaxRuns)
}

// ReasonAgainst returns why a failed attempt must not be retried regardless of
// the budget; it is empty if a retry is permitted.
func ReasonAgainst(a Attempt, maxAttempts, maxRuns int) Reason {
	switch {
	case a.CallerGone:
		return CallerGone
	case a.Delivered:
		return Delivered
	case a.Outcome == resultcode.Ran:
		return Final
	case a.Attempts >= maxAttempts:
		return TooManyAttempts
	case a.Outcome == resultcode.NotRun:
		return ""
	case !a.Repeatable:
		return Unrepeatable
	case a.Status >= minClientError && a.Status < minServerError:
		return Final
	case a.Runs >= maxRuns:
		return TooManyAttempts
	}
	return ""
}

// backoff returns an exponential backoff with full jitter.
func (p *Policy) backoff(attempts int, rng *rand.Rand) time.Duration {
	limit := p.cfg.BaseBackoff
	for i := 1; i < attempts && limit < p.cfg.MaxBackoff; i++ {
		limit *= 2
	}
	return time.Duration(rng.Float64() * float64(min(limit, p.cfg.MaxBackoff)))
}

// Boundaries of the classes of HTTP status codes (RFC 9110, 15): the request is
// at fault from minClientError on, the target from minServerError on. They are
// defined here so that the package imports no network package.
const (
	minClientError = 400
	minServerError = 500
)

// WorstOutcome combines the outcomes of two attempts of a request: it was not
// run only if neither attempt ran. The last attempt's outcome alone would
// report a request as not run although an earlier attempt may have run it.
func WorstOutcome(a, b resultcode.Outcome) resultcode.Outcome {
	switch {
	case a == resultcode.Ran || b == resultcode.Ran:
		return resultcode.Ran
	case a == resultcode.MayHaveRun || b == resultcode.MayHaveRun:
		return resultcode.MayHaveRun
	}
	return resultcode.NotRun
}

// RepeatableMethod reports whether HTTP defines the method as idempotent (RFC
// 9110, 9.2.2). A request with another method is not retried once it may have
// run, whatever the service's document says.
func RepeatableMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
