package booking

import (
	"math"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// fade is the time constant of what was asked and granted. Shares are judged over
// some seconds: a shorter memory would let a workspace that comes in waves have
// more than its share, a longer one would hold against it what is over.
const fade = 2 * time.Second

// faded is a sum that fades with time.
type faded struct {
	value float64
	at    time.Time
}

func (f *faded) add(now time.Time, x float64) { f.addOver(now, x, fade) }

func (f *faded) now(now time.Time) float64 { return f.over(now, fade) }

// addOver adds to a sum with a time constant of its own.
func (f *faded) addOver(now time.Time, x float64, constant time.Duration) {
	f.value = f.over(now, constant) + x
	f.at = now
}

// over is what is left of a sum with a time constant of its own.
func (f *faded) over(now time.Time, constant time.Duration) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp(-max(0, now.Sub(f.at)).Seconds()/constant.Seconds())
}

// sums are what the callers of a workspace asked for of late, what of it a daemon refused
// for want of processor time, and what owners granted. They fade.
type sums struct{ asked, shed, granted float64 }

// plus adds up.
func (s sums) plus(t sums) sums {
	return sums{asked: s.asked + t.asked, shed: s.shed + t.shed, granted: s.granted + t.granted}
}

// without takes off, down to nothing.
func (s sums) without(t sums) sums {
	return sums{asked: max(0, s.asked-t.asked), shed: max(0, s.shed-t.shed), granted: max(0, s.granted-t.granted)}
}

// fading are sums as time goes on.
type fading struct{ asked, shed, granted faded }

// fadingFrom returns sums that fade from a moment on.
func fadingFrom(at time.Time, s sums) fading {
	return fading{asked: faded{s.asked, at}, shed: faded{s.shed, at}, granted: faded{s.granted, at}}
}

func (f *fading) now(now time.Time) sums {
	return sums{asked: f.asked.now(now), shed: f.shed.now(now), granted: f.granted.now(now)}
}

// account is what is known of one workspace's use of a service.
type account struct {
	weight float64
	// own is what this daemon's callers asked for, and what this daemon granted as owner.
	own fading
	// unsaid is what this daemon granted of late, over the age of news, and lift what the
	// workspace is taken to have been granted while it asked for less (estimate.go).
	unsaid, lift faded
	// unused is what of the grants came to nothing.
	unused faded
	// tally is what this daemon has decided since Sharing was last called.
	tally tally
	// others are the same sums of each other daemon, as last told, and all is what
	// they add up to since the last refresh.
	others map[ident.Daemon]*fading
	all    fading
	// sent are the values that were last told, by their scope; they fade alike where
	// they are known.
	sent [ScopeFleet + 1]fading
}

// toldHolds is how long a told sum stays as it is before it fades: until the next word is
// due. The sum of a steady rate is steady; faded from the moment that it was told, what
// others ask for and are granted would seem lower than it is, and more so by way of hubs.
const toldHolds = tellEvery + tellEvery/5

func toldNow(now time.Time, s sums) fading { return fadingFrom(now.Add(toldHolds), s) }

// sums returns the fleet's sums. Those of others are as of the last refresh.
func (a *account) sums(now time.Time) sums { return a.own.now(now).plus(a.all.now(now)) }

// addUp sums up what the other daemons told. Of the fleet's sums, as a hub tells them,
// this daemon's own part is taken off as it was last told.
func (a *account) addUp(now time.Time, fleet bool) {
	var all sums
	for _, t := range a.others {
		all = all.plus(t.now(now))
	}
	if fleet {
		all = all.without(a.sent[ScopeOwn].now(now))
	}
	a.all = fadingFrom(now, all)
}
