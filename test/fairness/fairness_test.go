package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// outcome plays a pattern at Kettleford's size.
func outcome(t *testing.T, name string, system string, lag time.Duration) result {
	t.Helper()
	return outcomeAt(t, sizes[0], 1, name, system, lag)
}

func outcomeAt(t *testing.T, s size, seed uint64, name, system string, lag time.Duration) result {
	t.Helper()
	for _, p := range patterns(s) {
		for _, c := range candidates {
			if p.name == name && c.name == system {
				r := newRun(s, p, lag, seed, c.build)
				r.play()
				return measure(r, system)
			}
		}
	}
	t.Fatalf("no pattern %s or system %s", name, system)
	return result{}
}

func fleetOf(t *testing.T, name string) (fleet, best result) {
	t.Helper()
	fleet = outcome(t, name, fleetName, time.Second)
	best = outcome(t, name, optimumName, time.Second)
	fleet.Utilisation = fleet.Busy / best.Busy
	return fleet, best
}

// Eight workspaces always have work and eight come and go; their callers are
// spread unevenly over seven daemons that learn of each other's service once a
// second. In each pattern the eight have to receive the same for their weight,
// and the slots have to be in use as under a scheduler that knows all.
func TestSharesAndUseOfSlots(t *testing.T) {
	for _, name := range []string{"steady", "burst", "slow-target", "long-short", "overload", "restart", "lost-links",
		"tied", "tied-heavy", "tied-light"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet, _ := fleetOf(t, name)
			is.True(fleet.Steady >= 4)
			is.True(fleet.GapSeconds <= aimGap1)
			is.True(fleet.Utilisation >= aimUtilisation)
			is.True(fleet.Bytes <= aimBytes)
		})
	}
}

// A daemon of Tierra Firme dies with all that it has not reported, and one
// workspace, most of whose callers were there, starts all its requests again. With
// these seeds it got 0.28 to 0.32 s of service too much when half a second of
// what the daemon had done was taken for lost, wherever in the exchange it died.
// An all-knowing scheduler has 0.25 and 0.29 s with two of them.
func TestRestartCostsAboutWhatItCostsAnAllKnowingScheduler(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := outcomeAt(t, sizes[1], seed+1, "restart", fleetName, time.Second)
			best := outcomeAt(t, sizes[1], seed+1, "restart", optimumName, time.Second)
			is.True(fleet.GapSeconds <= max(aimGap1, 1.1*best.GapSeconds))
		})
	}
}

// A club's weekend of footage arrives at once and takes half of all capacity.
// Callers of the others, who ask for less than their share, wait about as under a
// scheduler that knows all, while the flood's own wait for minutes.
func TestHotWorkspaceWaitsForItself(t *testing.T) {
	is := is.New(t)
	fleet, best := fleetOf(t, "hot")
	is.True(fleet.Waits[0].P50 > 10*time.Second)
	for i, w := range fleet.Waits[1:] {
		is.True(w.P50 < 500*time.Millisecond)
		is.True(w.P99 <= 2*best.Waits[i+1].P99+500*time.Millisecond)
	}
	is.True(fleet.AskFirst <= 2*best.AskFirst)
}

// A burst of one workspace, as much as five seconds of all slots, meets others
// that come and go. Those wait as they did before it.
func TestBurstDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	before := outcome(t, "steady", fleetName, time.Second)
	burst := outcome(t, "burst", fleetName, time.Second)
	for w := 9; w < 16; w++ {
		is.True(burst.Waits[w].P95 < before.Waits[w].P95+time.Second)
	}
}

// Three times as much arrives as can be served, and callers give up after 40 s.
// The answers given in time must stay near what the slots can do, and nobody is
// left without any.
func TestOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	fleet, best := fleetOf(t, "overload")
	is.True(fleet.InTime >= 0.85*best.InTime)
	for _, w := range fleet.Waits {
		is.True(w.Count > 0)
	}
}

// A zone is cut off for half a minute, with three of the twelve engines. What
// the two sides did apart is repaid after it: the gap falls again, and no slot
// of either side idles while work waits there.
func TestCutZoneIsRepaid(t *testing.T) {
	is := is.New(t)
	fleet, _ := fleetOf(t, "cut")
	is.True(fleet.Utilisation >= aimUtilisation)
	last := fleet.gaps[len(fleet.gaps)-1]
	is.True(last.y < 0.9*fleet.GapSeconds)
}

// Requests of three thousand tokens share the slots with such of sixty. The
// short ones' callers get as much for their weight, and do not wait for them.
func TestShortRequestsPassLongOnes(t *testing.T) {
	is := is.New(t)
	fleet, best := fleetOf(t, "long-short")
	is.True(fleet.GapSeconds <= aimGap1)
	is.True(fleet.AskFirst <= 2*best.AskFirst)
}

// Two systems were added to the measurement, and after minutes of work it ended
// with a panic when it drew the plot: there were fewer colors than systems.
func TestEachSystemHasAColor(t *testing.T) {
	is := is.New(t)
	is.Equal(len(lineColors), len(candidates))
}
