package booking

import "time"

// What an engine takes to read is learnt from the first bytes of its answers.
//
// Load pattern: all daemons start, or an engine is replaced, under load. Nothing is kept
// then, so that the most is to be read, and an engine that reads at half of the assumed
// pace is overbooked until that shows. With a fixed small weight for each observation it
// took twenty prompts an engine: in the first two seconds four answers of ten were late.
//
// An estimate counts by the tokens that it rests on: a long prompt tells its engine's
// pace, a short one tells mostly the step in which it was read with others. What was
// assumed stands for a few thousand tokens, and what was observed for no more than the
// last fifteen prompts or so, since an engine's pace changes with what runs on it.

const (
	// firstPace is the time to read one token: 50 tokens a ms, that of the slower of two
	// engine models. Nothing is kept at a start, so that an engine that is taken for twice
	// as fast as it is gets what it reads in seconds; one that is taken for slow refuses
	// some for a second.
	firstPace = 20 * time.Microsecond
	// slowest and fastest bound an observed pace, so that one strange observation
	// cannot close a target.
	slowest = 200 * time.Microsecond
	fastest = time.Microsecond
	// assumedWork is the work that the first assumption stands for, and mostWork what
	// all observations together do.
	assumedWork = 6000
	mostWork    = 60000
)

// pace is the learnt time to read one token.
type pace struct {
	perToken time.Duration
	// work is what the estimate rests on.
	work float64
}

func assumedPace() pace { return pace{perToken: firstPace, work: assumedWork} }

// of returns how long so much work takes.
func (p *pace) of(work float64) time.Duration { return time.Duration(work * float64(p.perToken)) }

// observe takes in that so much work took so long.
func (p *pace) observe(work float64, took time.Duration) {
	observed := min(max(float64(took)/work, float64(fastest)), float64(slowest))
	sum := float64(p.perToken)*p.work + observed*work
	p.perToken = time.Duration(sum / (p.work + work))
	p.work = min(p.work+work, mostWork)
}

// forNew is what is assumed of a target that starts: the others of its service tell more
// than a constant.
func (p *pace) forNew() pace { return pace{perToken: p.perToken, work: assumedWork} }
