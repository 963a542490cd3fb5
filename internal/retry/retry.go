// Package retry decides whether a failed attempt is followed by another.
//
// Load pattern: a target fails, or all of them are slow, while many requests
// are under way. Without a budget every caller's request is tried several
// times just when there is the least capacity, so that the retries keep the
// overload alive after its cause has gone; without jitter they come at once.
// Without the rules on outcomes a claim is filed twice.
//
// A request of which no byte was processed costs the targets nothing when it
// is queued again, so that such retries need no budget; they are bounded by
// count and by the caller's deadline. A request that may have run is run anew
// only where it is repeatable, nothing of its answer was handed over, and the
// budget allows it.
//
// What the defaults protect: with Ratio 0.1 retries add at most a tenth to the
// load in the long run, which a fleet at 90% of its capacity still carries.
// Burst covers one target's worth of requests (50 slots) that fail together.
// BaseWait is below the time of a short answer, MaxWait below the patience of
// a person.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// Config bounds the retries of one service at one daemon.
type Config struct {
	// Ratio is the number of paid retries per first attempt. Default: 0.1.
	Ratio float64
	// Burst is the largest balance of paid retries, and the balance at the
	// start. Default: 50.
	Burst float64
	// MaxRuns bounds the attempts that may have run. Default: 3.
	MaxRuns int
	// MaxAttempts bounds all attempts of a request. Default: 10.
	MaxAttempts int
	// BaseWait is the longest wait before the first retry; it doubles with
	// each one up to MaxWait. Defaults: 25 ms and 1 s.
	BaseWait, MaxWait time.Duration
}

const (
	defaultRatio       = 0.1
	defaultBurst       = 50
	defaultMaxRuns     = 3
	defaultMaxAttempts = 10
	defaultBaseWait    = 25 * time.Millisecond
	defaultMaxWait     = time.Second
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
	if c.BaseWait == 0 {
		c.BaseWait = defaultBaseWait
	}
	if c.MaxWait == 0 {
		c.MaxWait = defaultMaxWait
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

// Accepted pays into the budget for a request's first attempt.
func (p *Policy) Accepted() { p.balance = min(p.cfg.Burst, p.balance+p.cfg.Ratio) }

// Balance returns the number of paid retries that are left.
func (p *Policy) Balance() float64 { return p.balance }

// Attempt is a failed attempt and what is known of its request.
type Attempt struct {
	// Outcome is what is known about the run of this attempt.
	Outcome resultcode.Outcome
	// Status is the HTTP status of the target; zero where none arrived.
	Status int
	// Attempts counts the attempts so far, with this one; Runs those of them
	// that may have run.
	Attempts, Runs int
	// Delivered tells that a part of the answer was handed to the caller.
	Delivered bool
	// Repeatable tells that running the request twice does no harm.
	Repeatable bool
	// CallerGone tells that nobody waits for the answer.
	CallerGone bool
	// Left is the time to the caller's deadline; zero or less: it has passed.
	// NoDeadline is to be given where there is none.
	Left time.Duration
}

// NoDeadline is the time left of a request without a deadline.
const NoDeadline = time.Duration(1<<63 - 1)

// Reason says why there is no retry.
type Reason string

// Reasons against a retry.
const (
	CallerGone   Reason = "caller gone"
	Delivered    Reason = "a part of the answer was handed over"
	Final        Reason = "the target's verdict is final"
	Unrepeatable Reason = "it may have run and must not run twice"
	TooMany      Reason = "too many attempts"
	TooLate      Reason = "the deadline comes first"
	NoBudget     Reason = "the retry budget is spent"
)

// Decision says what follows a failed attempt.
type Decision struct {
	// Retry tells that the request is to be queued again after Wait. The
	// retry should avoid the target of the failed attempt.
	Retry bool
	Wait  time.Duration
	// Reason is set where Retry is not.
	Reason Reason
}

// Decide returns what follows a failed attempt, and charges the budget.
func (p *Policy) Decide(a Attempt, rng *rand.Rand) Decision {
	if reason := p.forbids(a); reason != "" {
		return Decision{Reason: reason}
	}
	wait := p.wait(a.Attempts, rng)
	if wait >= a.Left {
		return Decision{Reason: TooLate}
	}
	if a.Outcome != resultcode.NotRun {
		if p.balance < 1 {
			return Decision{Reason: NoBudget}
		}
		p.balance--
	}
	return Decision{Retry: true, Wait: wait}
}

func (p *Policy) forbids(a Attempt) Reason { return Forbids(a, p.cfg.MaxAttempts, p.cfg.MaxRuns) }

// Forbids returns why a failed attempt must not be followed by another, whatever
// the budget says; it is empty where nothing speaks against it.
func Forbids(a Attempt, maxAttempts, maxRuns int) Reason {
	switch {
	case a.CallerGone:
		return CallerGone
	case a.Delivered:
		return Delivered
	case a.Outcome == resultcode.Ran:
		return Final
	case a.Attempts >= maxAttempts:
		return TooMany
	case a.Outcome == resultcode.NotRun:
		return ""
	case !a.Repeatable:
		return Unrepeatable
	case a.Status >= callerErrors && a.Status < targetErrors:
		return Final
	case a.Runs >= maxRuns:
		return TooMany
	}
	return ""
}

// wait returns a wait with full jitter.
func (p *Policy) wait(attempts int, rng *rand.Rand) time.Duration {
	limit := p.cfg.BaseWait
	for i := 1; i < attempts && limit < p.cfg.MaxWait; i++ {
		limit *= 2
	}
	return time.Duration(rng.Float64() * float64(min(limit, p.cfg.MaxWait)))
}

// Classes of HTTP status codes (RFC 9110, 15): from callerErrors on the request is at fault,
// from targetErrors on its target. Decisions import no network package for them.
const (
	callerErrors = 400
	targetErrors = 500
)

// Worst returns what is known of a request after two of its attempts: it was
// not run only where neither was. The last attempt's outcome alone would call a
// request "not run" whose first attempt may have been.
func Worst(a, b resultcode.Outcome) resultcode.Outcome {
	switch {
	case a == resultcode.Ran || b == resultcode.Ran:
		return resultcode.Ran
	case a == resultcode.MayHaveRun || b == resultcode.MayHaveRun:
		return resultcode.MayHaveRun
	}
	return resultcode.NotRun
}

// RepeatableMethod tells whether HTTP defines the method as idempotent (RFC
// 9110, 9.2.2). A request with another method is not repeated once it may have
// run, whether or not the service's document marks it.
func RepeatableMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
