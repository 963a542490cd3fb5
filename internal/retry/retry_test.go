package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestDecideRules(t *testing.T) {
	fits := retry.Attempt{Outcome: resultcode.MayHaveRun, Attempts: 1, Runs: 1, Repeatable: true, Left: time.Minute}
	with := func(change func(*retry.Attempt)) retry.Attempt {
		a := fits
		change(&a)
		return a
	}
	cases := map[string]struct {
		attempt retry.Attempt
		want    retry.Reason
	}{
		"may have run, repeatable":    {fits, ""},
		"status 503":                  {with(func(a *retry.Attempt) { a.Status = 503 }), ""},
		"not run, unrepeatable":       {with(func(a *retry.Attempt) { a.Outcome = resultcode.NotRun; a.Repeatable = false }), ""},
		"may have run, unrepeatable":  {with(func(a *retry.Attempt) { a.Repeatable = false }), retry.Unrepeatable},
		"part delivered":              {with(func(a *retry.Attempt) { a.Delivered = true }), retry.Delivered},
		"caller gone":                 {with(func(a *retry.Attempt) { a.CallerGone = true }), retry.CallerGone},
		"ran":                         {with(func(a *retry.Attempt) { a.Outcome = resultcode.Ran }), retry.Final},
		"status 400":                  {with(func(a *retry.Attempt) { a.Status = 400 }), retry.Final},
		"third run":                   {with(func(a *retry.Attempt) { a.Runs = 3 }), retry.TooMany},
		"tenth attempt, none ran":     {with(func(a *retry.Attempt) { a.Outcome = resultcode.NotRun; a.Attempts = 10 }), retry.TooMany},
		"ninth attempt, none ran":     {with(func(a *retry.Attempt) { a.Outcome = resultcode.NotRun; a.Attempts = 9 }), ""},
		"deadline passed":             {with(func(a *retry.Attempt) { a.Left = -1 }), retry.TooLate},
		"no deadline":                 {with(func(a *retry.Attempt) { a.Left = retry.NoDeadline }), ""},
		"unrepeatable beats a budget": {with(func(a *retry.Attempt) { a.Repeatable = false; a.Attempts = 2 }), retry.Unrepeatable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := retry.New(retry.Config{}).Decide(c.attempt, seeded())
			is.Equal(got.Reason, c.want)
			is.Equal(got.Retry, c.want == "")
			is.True(got.Wait <= time.Second)
		})
	}
}

// Every target fails on every request for a while. Callers whose requests are
// tried three times each send three times the load to what is left of the
// fleet, and it does not recover. With the budget the targets see at most a
// tenth more than the callers sent, beside one burst.
func TestBudgetBoundsTheLoadOfRetries(t *testing.T) {
	is := is.New(t)
	const callers = 5000
	p := retry.New(retry.Config{})
	rng := seeded()
	runs := 0
	for range callers {
		p.Accepted()
		a := retry.Attempt{Outcome: resultcode.MayHaveRun, Repeatable: true, Left: retry.NoDeadline}
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
	is.True(runs > callers) // retries go on all the while
}

// One target dies with fifty requests dispatched to it of which none ran. Their
// callers must not pay for it with the budget: each is queued again.
func TestRequestsThatWereNotRunNeedNoBudget(t *testing.T) {
	is := is.New(t)
	p := retry.New(retry.Config{Burst: 1})
	for range 50 {
		got := p.Decide(retry.Attempt{Outcome: resultcode.NotRun, Attempts: 1, Left: retry.NoDeadline}, seeded())
		is.True(got.Retry)
	}
	is.Equal(p.Balance(), 1.0)
}

// A target restarts and all its callers are retried. At one wait for all, they
// come back in one moment; the waits must be spread over the whole interval.
func TestWaitsAreSpread(t *testing.T) {
	is := is.New(t)
	p := retry.New(retry.Config{Burst: 1000})
	rng := seeded()
	var early, late int
	for range 400 {
		wait := p.Decide(retry.Attempt{Outcome: resultcode.MayHaveRun, Repeatable: true, Attempts: 2, Runs: 1, Left: time.Hour}, rng).Wait
		is.True(wait <= 50*time.Millisecond)
		if wait < 25*time.Millisecond {
			early++
		} else {
			late++
		}
	}
	is.True(early > 150 && late > 150)
}

func TestWorst(t *testing.T) {
	is := is.New(t)
	is.Equal(retry.Worst(resultcode.MayHaveRun, resultcode.NotRun), resultcode.MayHaveRun)
	is.Equal(retry.Worst(resultcode.NotRun, resultcode.MayHaveRun), resultcode.MayHaveRun)
	is.Equal(retry.Worst(resultcode.NotRun, resultcode.NotRun), resultcode.NotRun)
	is.Equal(retry.Worst(resultcode.Ran, resultcode.NotRun), resultcode.Ran)
}

func TestRepeatableMethod(t *testing.T) {
	is := is.New(t)
	is.True(retry.RepeatableMethod("GET") && retry.RepeatableMethod("PUT"))
	is.True(!retry.RepeatableMethod("POST") && !retry.RepeatableMethod("PATCH"))
}
