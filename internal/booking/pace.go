package booking

import "time"

// The prefill pace of an engine is learned from the first bytes of its answers.
//
// Load pattern: all daemons start, or an engine is replaced, under load. Caches are empty then,
// so that prefill work is at its maximum, and an engine that runs at half of the assumed pace
// is overbooked until the estimate has adapted. With a fixed small weight per observation this
// took twenty prompts per engine, and four answers of ten in the first two seconds were late.
//
// Observations are therefore weighted by tokens: a long prompt shows the engine's pace, a short
// one mostly the duration of the step in which it was batched with others. The initial
// assumption counts as a few thousand tokens, and the observations together as no more than the
// last fifteen prompts or so, since an engine's pace changes with its load.

const (
	// initialTokenTime is the assumed prefill time per token: 50 tokens/ms, the pace of the
	// slower of two engine models. Caches are empty at a start, so an engine that is assumed
	// twice as fast as it is gets seconds of backlog; one that is assumed too slow refuses some
	// requests for a second.
	initialTokenTime = 20 * time.Microsecond
	// maxTokenTime and minTokenTime bound an observed pace, so that a single outlier cannot
	// make a target unusable.
	maxTokenTime = 200 * time.Microsecond
	minTokenTime = time.Microsecond
	// priorWork is the weight of the initial assumption, in tokens of work, and maxWork bounds
	// the weight of all observations together.
	priorWork = 6000
	maxWork   = 60000
)

// prefillPace is the learned prefill time per token.
type prefillPace struct {
	perToken time.Duration
	// weight is the amount of work that the estimate is based on.
	weight float64
}

func newPrefillPace() prefillPace { return prefillPace{perToken: initialTokenTime, weight: priorWork} }

// duration returns how long the given amount of work takes.
func (p *prefillPace) duration(work float64) time.Duration {
	return time.Duration(work * float64(p.perToken))
}

// observe adds a measurement of the time that an amount of work took.
func (p *prefillPace) observe(work float64, took time.Duration) {
	observed := min(max(float64(took)/work, float64(minTokenTime)), float64(maxTokenTime))
	sum := float64(p.perToken)*p.weight + observed*work
	p.perToken = time.Duration(sum / (p.weight + work))
	p.weight = min(p.weight+work, maxWork)
}

// forNewTarget returns the initial estimate for a target that starts. The pace of the other
// targets of its service is a better guess than a constant.
func (p *prefillPace) forNewTarget() prefillPace {
	return prefillPace{perToken: p.perToken, weight: priorWork}
}
