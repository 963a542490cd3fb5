package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One workspace floods the fleet with drafts, and the service allows preemption.
// A question of another waits at most half as long for its first token as without,
// at a loss of slots that stays within the aim; nothing is stopped in the fleet
// whose service does not allow it.
func TestPreemptionShortensQuestions(t *testing.T) {
	is := is.New(t)
	without, best := fleetOf(t, "hot")
	with := outcome(t, "hot", preemptingFleetName, time.Second)
	is.Equal(without.Stops, 0)
	is.True(with.Stops > 0)
	is.True(with.AskFirst <= without.AskFirst/2)
	is.True(with.Busy >= aimUtilisation*best.Busy)
	is.True(with.Bytes <= aimBytes)
}

// Eight workspaces always have work, or three times as much arrives as can be
// served: slots that repay a difference are not taken back, so that the shares
// stay as even as the aim.
func TestPreemptionKeepsShares(t *testing.T) {
	for _, name := range []string{"steady", "overload"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			with := outcome(t, name, preemptingFleetName, time.Second)
			is.True(with.Stops > 0)
			is.True(with.GapSeconds <= aimGap1)
			is.True(with.Bytes <= aimBytes)
		})
	}
}

// A zone is cut off, a draft finds its new target unreachable, and at that moment
// its slot is asked back. It waits again already: stopping it once more queued it
// twice, and the measurement ended with a nil job.
func TestPreemptionOfARequestThatFoundNoTarget(t *testing.T) {
	is := is.New(t)
	with := outcome(t, "cut", preemptingFleetName, 500*time.Millisecond)
	is.True(with.Stops > 0)
}
