package overload_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/time/rate"
)

const (
	// shareOfEach is how many requests a second targets take of each hot workspace, shareBurst
	// how many at once. hotAsks is what the callers of the one ask for, through one VM at a
	// time, spreadAsks what those of the other do, through all, and usualAsks what all others do.
	shareOfEach = 150
	shareBurst  = shareOfEach / 5
	hotAsks     = 800
	spreadAsks  = 400
	usualAsks   = 60

	fairSeconds, fairWindow = 40, 6
)

// leastMargin returns the least ratio, of all six seconds in each of which w lacked, of what it
// got to half of what it asked or the other got, whichever is less second by second.
func leastMargin(w, other *workspace) (least float64, at int) {
	least = math.Inf(1)
	for from := 0; from+fairWindow <= fairSeconds; from++ {
		got, owed, lacked := 0.0, 0.0, true
		for s := from; s < from+fairWindow; s++ {
			got += w.got[s]
			owed += min(w.asked[s], other.got[s]) / 2
			lacked = lacked && w.lacked[s] > 0
		}
		if lacked && got/owed < least {
			least, at = got/owed, from
		}
	}
	return least, at
}

// Guards against a workspace that starves beside idle VMs because its callers reach one small VM at a time.
func TestAWorkspaceWhoseCallersReachOneSmallVMGetsItsShare(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			z := newSmallZone(seed, 15, 2, keeper{})
			z.pass()
			hot := &workspace{perSecond: hotAsks, may: rate.NewLimiter(shareOfEach, shareBurst), orders: [][]int{z.order(), z.order()}}
			spread := &workspace{perSecond: spreadAsks, may: rate.NewLimiter(shareOfEach, shareBurst)}
			usual := &workspace{perSecond: usualAsks, may: rate.NewLimiter(rate.Inf, 0)}
			z.workspaces = []*workspace{hot, spread, usual}
			z.play(fairSeconds)
			margin, at := leastMargin(hot, spread)
			t.Logf("from %d s on %.2f of what the rule asks for: %.0f requests a second, the other %.0f",
				at, margin, hot.got[at:at+fairWindow], spread.got[at:at+fairWindow])
			is.New(t).True(margin >= 1)
		})
	}
}
