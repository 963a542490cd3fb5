package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestDecideRules(t *testing.T) {
	retryable := retry.Attempt{Outcome: resultcode.MayHaveRun, Attempts: 1, Runs: 1, Repeatable: true, TimeLeft: time.Minute}
	modified := func(change func(*retry.Attempt)) retry.Attempt {
		a := retryable
		change(&a)
		return a
	}
	cases := map[string]struct {
		attempt retry.Attempt
		want    retry.Reason
	}{
		"may have run, repeatable":    {retryable, ""},
		"status 503":                  {modified(func(a *retry.Attempt) { a.Status = 503 }), ""},
		"not run, unrepeatable":       {modified(func(a *retry.Attempt) { a.Outcome = resultcode.NotRun; a.Repeatable = false }), ""},
		"may have run, unrepeatable":  {modified(func(a *retry.Attempt) { a.Repeatable = false }), retry.Unrepeatable},
		"part delivered":              {modified(func(a *retry.Attempt) { a.Delivered = true }), retry.Delivered},
		"caller gone":                 {modified(func(a *retry.Attempt) { a.CallerGone = true }), retry.CallerGone},
		"ran":                         {modified(func(a *retry.Attempt) { a.Outcome = resultcode.Ran }), retry.Final},
		"status 400":                  {modified(func(a *retry.Attempt) { a.Status = 400 }), retry.Final},
		"third run":                   {modified(func(a *retry.Attempt) { a.Runs = 3 }), retry.TooManyAttempts},
		"tenth attempt, none ran":     {modified(func(a *retry.Attempt) { a.Outcome = resultcode.NotRun; a.Attempts = 10 }), retry.TooManyAttempts},
		"ninth attempt, none ran":     {modified(func(a *retry.Attempt) { a.Outcome = resultcode.NotRun; a.Attempts = 9 }), ""},
		"deadline passed":             {modified(func(a *retry.Attempt) { a.TimeLeft = -1 }), retry.DeadlineTooClose},
		"no deadline":                 {modified(func(a *retry.Attempt) { a.TimeLeft = retry.NoDeadline }), ""},
		"unrepeatable beats a budget": {modified(func(a *retry.Attempt) { a.Repeatable = false; a.Attempts = 2 }), retry.Unrepeatable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := retry.New(retry.Config{}).Decide(c.attempt, newRand())
			is.Equal(got.Reason, c.want)
			is.Equal(got.Retry, c.want == "")
			is.True(got.Backoff <= time.Second)
		})
	}
}

// All targets fail every request for a while. If each request were tried three
// times, callers would send three times the load to the rest of the fleet,
// which would not recover. With the budget the targets see at most a tenth more
// than the callers sent, plus one burst.
func TestBudgetBoundsRetryLoad(t *testing.T) {
	is := is.New(t)
	const callers = 5000
	p := retry.New(retry.Config{})
	rng := newRand()
	runs := 0
	for range callers {
		p.Accepted()
		a := retry.Attempt{Outcome: resultcode.MayHaveRun, Repeatable: true, TimeLeft: retry.NoDeadline}
		for {
			runs++
			a.Attempts++
			a.Runs++
			if !p.Decide(a, rng).Retry {
				break
			}
		}
	}
	is.True(float64(runs) <= 1.1*callers+50)
	is.True(runs > callers) // retries continue throughout
}

// One target fails with fifty dispatched requests, none of which ran. Retrying
// them must not use the budget.
func TestRetriesOfUnprocessedRequestsAreFree(t *testing.T) {
	is := is.New(t)
	p := retry.New(retry.Config{Burst: 1})
	for range 50 {
		got := p.Decide(retry.Attempt{Outcome: resultcode.NotRun, Attempts: 1, TimeLeft: retry.NoDeadline}, newRand())
		is.True(got.Retry)
	}
	is.Equal(p.Balance(), 1.0)
}

// A target restarts and all its callers are retried. With a fixed delay the
// retries would arrive at the same moment; the delays must be spread over the
// whole interval.
func TestBackoffIsJittered(t *testing.T) {
	is := is.New(t)
	p := retry.New(retry.Config{Burst: 1000})
	rng := newRand()
	var early, late int
	for range 400 {
		backoff := p.Decide(retry.Attempt{Outcome: resultcode.MayHaveRun, Repeatable: true, Attempts: 2, Runs: 1, TimeLeft: time.Hour}, rng).Backoff
		is.True(backoff <= 50*time.Millisecond)
		if backoff < 25*time.Millisecond {
			early++
		} else {
			late++
		}
	}
	is.True(early > 150 && late > 150)
}

func TestWorstOutcome(t *testing.T) {
	is := is.New(t)
	is.Equal(retry.WorstOutcome(resultcode.MayHaveRun, resultcode.NotRun), resultcode.MayHaveRun)
	is.Equal(retry.WorstOutcome(resultcode.NotRun, resultcode.MayHaveRun), resultcode.MayHaveRun)
	is.Equal(retry.WorstOutcome(resultcode.NotRun, resultcode.NotRun), resultcode.NotRun)
	is.Equal(retry.WorstOutcome(resultcode.Ran, resultcode.NotRun), resultcode.Ran)
}

func TestRepeatableMethod(t *testing.T) {
	is := is.New(t)
	is.True(retry.RepeatableMethod("GET") && retry.RepeatableMethod("PUT"))
	is.True(!retry.RepeatableMethod("POST") && !retry.RepeatableMethod("PATCH"))
}
