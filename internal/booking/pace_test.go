package booking

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pace estimate that adapts too slowly. All daemons start with engines that
// run at 25 tokens/ms, half of the assumed pace. Until an owner has learned that, it admits
// twice what the engine can process in time, and the requests of the first seconds miss their
// objectives. Three long prompts have to be enough.
func TestPaceConvergesAfterFewLongPrompts(t *testing.T) {
	is := is.New(t)
	p := newPrefillPace()
	for range 3 {
		p.observe(17000, 680*time.Millisecond)
	}
	is.True(p.perToken > 36*time.Microsecond)
	is.True(p.perToken <= 40*time.Microsecond)
}

// A short prompt is processed in one step with others, which takes 20 ms whatever its size. If
// that was taken as the engine's pace, the engine would refuse long prompts.
func TestShortPromptsHardlyAffectPace(t *testing.T) {
	is := is.New(t)
	p := prefillPace{perToken: 20 * time.Microsecond, weight: maxWork}
	for range 3 {
		p.observe(minPaceWork, 60*time.Millisecond)
	}
	is.True(p.perToken < 23*time.Microsecond)
}

// Old observations must not dominate: an engine with many running streams is slower than an
// idle one.
func TestPaceFollowsAnEngineThatSlowsDown(t *testing.T) {
	is := is.New(t)
	p := prefillPace{perToken: 10 * time.Microsecond, weight: maxWork}
	for range 12 {
		p.observe(15000, 300*time.Millisecond)
	}
	is.True(p.perToken > 18*time.Microsecond)
}

// Guards against an initial estimate that refuses the longest prompts forever. Prompts of
// 47,000 tokens were refused at an idle engine for as long as the daemon ran: contextDoubling
// had the value of another engine model, so that the estimate was 1.9 s with an objective of
// 1.4 s. The true time is 1.35 s, and nothing corrects the estimate, since a refused prompt is
// never measured.
func TestLongestPromptsFitTheInitialEstimate(t *testing.T) {
	is := is.New(t)
	p := newPrefillPace()
	is.True(p.duration(prefillWork(47000, 0)) < 1400*time.Millisecond)
}
