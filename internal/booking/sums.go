package booking

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// decayTime is the time constant of the sums of demand and grants. Shares are judged over a few
// seconds: with a shorter time a workspace whose requests come in waves would get more than its
// share, with a longer one past use would be held against it.
const decayTime = 2 * time.Second

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	value   float64
	updated time.Time
}

func (d *decayingSum) add(now time.Time, x float64) { d.addWithDecay(now, x, decayTime) }

func (d *decayingSum) now(now time.Time) float64 { return d.decayed(now, decayTime) }

// addWithDecay adds to a sum that has a time constant other than decayTime.
func (d *decayingSum) addWithDecay(now time.Time, x float64, timeConstant time.Duration) {
	d.value = d.decayed(now, timeConstant) + x
	d.updated = now
}

// decayed returns the value of a sum that has a time constant other than decayTime.
func (d *decayingSum) decayed(now time.Time, timeConstant time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.updated)).Seconds()/timeConstant.Seconds())
}

// sums are the recent demand of a workspace, the part of it that daemons refused for lack of
// processor time, and what owners granted. They decay.
type sums struct{ asked, shed, granted float64 }

func (s sums) plus(t sums) sums {
	return sums{asked: s.asked + t.asked, shed: s.shed + t.shed, granted: s.granted + t.granted}
}

// minus subtracts, with zero as the lower bound.
func (s sums) minus(t sums) sums {
	return sums{asked: max(0, s.asked-t.asked), shed: max(0, s.shed-t.shed), granted: max(0, s.granted-t.granted)}
}

// decayingSums are sums that decay as time passes.
type decayingSums struct{ asked, shed, granted decayingSum }

// newDecayingSums returns sums that decay from a given time on.
func newDecayingSums(at time.Time, s sums) decayingSums {
	return decayingSums{asked: decayingSum{s.asked, at}, shed: decayingSum{s.shed, at}, granted: decayingSum{s.granted, at}}
}

func (d *decayingSums) now(now time.Time) sums {
	return sums{asked: d.asked.now(now), shed: d.shed.now(now), granted: d.granted.now(now)}
}

// account is what is known about one workspace's use of a service.
type account struct {
	weight float64
	// own is the demand of this daemon's callers, and what this daemon granted as an owner.
	own decayingSums
	// unpublished is what this daemon granted recently, decaying with the age of the other
	// daemons' sums, and presumedGrants what the workspace is presumed to have been granted
	// while it asked for less (estimate.go).
	unpublished, presumedGrants decayingSum
	// present is the most recent demand.
	present presentDemand
	// unusedGrants is the part of the grants that no target has run.
	unusedGrants decayingSum
	// tally is what this daemon has decided since the last call of ShareReports.
	tally tally
	// others are the sums that each other daemon last published, and othersTotal is their total
	// as of the last refresh.
	others      map[ident.Daemon]*decayingSums
	othersTotal decayingSums
	// published are the values that were last published, by scope; they decay here as they do
	// at the receivers.
	published [ScopeFleet + 1]decayingSums
}

// publishedHold is how long a published sum stays constant before it decays: until the next one
// is due. The sum of a steady rate is steady. If it decayed from the time of publication on,
// the demand and the grants of others would be underestimated, and more so by way of hubs.
const publishedHold = memberPublishInterval + memberPublishInterval/5

func publishedSums(now time.Time, s sums) decayingSums {
	return newDecayingSums(now.Add(publishedHold), s)
}

// sums returns the sums of the fleet. Those of other daemons are as of the last refresh.
func (a *account) sums(now time.Time) sums { return a.own.now(now).plus(a.othersTotal.now(now)) }

// sumOthers adds up what the other daemons published. From the fleet's totals, which a hub
// publishes, it subtracts this daemon's own part as last published.
func (a *account) sumOthers(now time.Time, fleet bool) {
	var total sums
	for _, t := range a.others {
		total = total.plus(t.now(now))
	}
	if fleet {
		total = total.minus(a.published[ScopeOwn].now(now))
	}
	a.othersTotal = newDecayingSums(now, total)
}
