package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One workspace overloads the fleet with drafting requests, and the service allows
// preemption. The time to first token of other workspaces' questions must be at most
// half of that without preemption, and the slot time lost to recomputation must stay
// within the utilization goal. A fleet whose service does not allow preemption must
// not preempt any request.
func TestPreemptionReducesTimeToFirstToken(t *testing.T) {
	is := is.New(t)
	without, best := runFleetAndOptimum(t, "hot")
	with := runPattern(t, "hot", preemptingFleetName, time.Second)
	is.Equal(without.Preemptions, 0)
	is.True(with.Preemptions > 0)
	is.True(with.QuestionFirstToken <= without.QuestionFirstToken/2)
	is.True(with.BusySeconds >= minUtilization*best.BusySeconds)
	is.True(with.ControlBytesPerSecond <= maxControlBytesPerSecond)
}

// Eight workspaces are always backlogged, or the offered load is three times the
// capacity. Slots that repay a difference in service must not be preempted, so that
// the fairness gap stays within the goal.
func TestPreemptionPreservesFairness(t *testing.T) {
	for _, name := range []string{"steady", "overload"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			with := runPattern(t, name, preemptingFleetName, time.Second)
			is.True(with.Preemptions > 0)
			is.True(with.GapSeconds <= maxGapAtLag1)
			is.True(with.ControlBytesPerSecond <= maxControlBytesPerSecond)
		})
	}
}

// During a partition, a drafting request finds its new target unreachable at the
// moment when the owner requests its slot back. The request is then already queued
// again. Preempting it as well queued it twice, and the simulation crashed on a nil
// job.
func TestPreemptionOfRequeuedRequest(t *testing.T) {
	is := is.New(t)
	with := runPattern(t, "cut", preemptingFleetName, 500*time.Millisecond)
	is.True(with.Preemptions > 0)
}
