package booking_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// shedScenario is the load of a fleet in which all callers of one workspace reach a single small
// VM, which sheds most of their requests, while another workspace's burst arrives through all
// VMs. Rates are in tokens per second.
type shedScenario struct {
	// firstRate is what the small VM admits of the first workspace. From declineStart on it
	// halves every halfLife, down to minFirstRate.
	firstRate, minFirstRate float64
	declineStart, halfLife  time.Duration
	// burstDemand is the demand of the second workspace from burstStart on.
	burstDemand float64
	burstStart  time.Duration
	// secondRate is what another small VM admits of a third workspace, whose demand rises at
	// burstStart.
	secondRate float64
	// retriesServed is set if until burstStart all requests of the first workspace are admitted
	// by their second attempt.
	retriesServed bool
}

const (
	meanRequestTokens = 12000 // mean size of a request
	maxRequestTokens  = 1000 + 3*(meanRequestTokens-1000)/2
	shedDemand        = 8e6 // demand of the first workspace, including retries of refused requests
	// secondUsualDemand is the demand of the third workspace before burstStart.
	secondUsualDemand = 0.4e6
	shedStep          = 100 * time.Millisecond
	shedDuration      = 24 * time.Second
)

// grantSeries is what a workspace was granted in each step.
type grantSeries [shedDuration / shedStep]float64

func (g *grantSeries) sum(first, steps int) float64 {
	sum := 0.0
	for _, x := range g[first : first+steps] {
		sum += x
	}
	return sum
}

// shedResult is what the three workspaces were granted.
type shedResult struct{ shed, burst, second *grantSeries }

// shedResults caches the simulations that tests share, each of which takes a second.
var shedResults = map[shedScenario]map[uint64]shedResult{}

// cachedRun returns what the workspaces were granted with a seed.
func (sc shedScenario) cachedRun(seed uint64) (shed, burst, second *grantSeries) {
	if shedResults[sc] == nil {
		shedResults[sc] = map[uint64]shedResult{}
	}
	p, ok := shedResults[sc][seed]
	if !ok {
		p.shed, p.burst, p.second = sc.run(seed)
		shedResults[sc][seed] = p
	}
	return p.shed, p.burst, p.second
}

// run simulates the load on 68 daemons in four availability zones with 60 engines, which have
// the capacity for the whole demand.
func (sc shedScenario) run(seed uint64) (shed, burst, second *grantSeries) {
	s := newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, 68, 60, "kept", "ahead", "second")
	s.service.Rate = 500000
	for _, e := range s.engines {
		e.rate = 10 * simRate
	}
	s.updatePeers()
	start := s.now
	shed, burst, second = new(grantSeries), new(grantSeries), new(grantSeries)
	s.onDispatch = func(j *job) {
		to := map[ident.Workspace]*grantSeries{"kept": shed, "ahead": burst, "second": second}[j.Workspace]
		to[min(len(to)-1, int(s.now.Sub(start)/shedStep))] += j.Cost()
	}
	newRequest := sessionRequests(1, 4000, 1000, meanRequestTokens-1000, 0)
	s.offerShed(shedLoad{"kept", 1, sc.firstAdmitted, sc.firstDemand}, newRequest)
	if sc.secondRate > 0 {
		s.offerShed(shedLoad{"second", 2, sc.secondAdmitted, func(at time.Duration) float64 {
			if at < sc.burstStart {
				return secondUsualDemand
			}
			return shedDemand / 2
		}}, newRequest)
	}
	s.offer(workload{workspace: "ahead", perSecond: sc.burstDemand / meanRequestTokens, start: sc.burstStart, end: shedDuration, objective: 400 * time.Millisecond, newRequest: newRequest})
	s.run(shedDuration)
	return shed, burst, second
}

// shedLoad is a workspace's demand at one small VM, including retries of refused requests, and
// the part that the VM admits.
type shedLoad struct {
	workspace ident.Workspace
	daemon    int
	admitted  func(at time.Duration) float64
	demand    func(at time.Duration) float64
}

// offerShed submits a workspace's requests to one daemon, which sheds some of them.
func (s *sim) offerShed(l shedLoad, newRequest func(*rand.Rand) booking.Request) {
	start, ingress := s.now, s.daemons[l.daemon]
	var next func()
	next = func() {
		at := s.now.Sub(start)
		if at >= shedDuration {
			return
		}
		r := newRequest(s.rng)
		r.Workspace = l.workspace
		if s.rng.Float64() < l.admitted(at)/l.demand(at) {
			s.submit(ingress, r, 400*time.Millisecond)
		} else {
			ingress.core.RecordShed(s.now, "pool", r.Workspace, r.Cost())
		}
		s.schedule(time.Duration(s.rng.ExpFloat64()*meanRequestTokens/l.demand(at)*float64(time.Second)), next)
	}
	s.schedule(0, next)
}

// firstAdmitted is the rate admitted of the first workspace.
func (sc shedScenario) firstAdmitted(at time.Duration) float64 {
	if sc.halfLife == 0 || at < sc.declineStart {
		return sc.firstRate
	}
	return max(sc.minFirstRate, sc.firstRate*math.Exp2(-(at-sc.declineStart).Seconds()/sc.halfLife.Seconds()))
}

func (sc shedScenario) firstDemand(at time.Duration) float64 {
	if sc.retriesServed && at < sc.burstStart {
		return 2 * sc.firstRate
	}
	return shedDemand
}

// secondAdmitted is the rate admitted of the third workspace: its usual demand, and secondRate
// from the burst on.
func (sc shedScenario) secondAdmitted(at time.Duration) float64 {
	if at < sc.burstStart {
		return secondUsualDemand
	}
	return sc.secondRate
}

// steadyShedding has one workspace whose requests are shed. twoShedWorkspaces has a second one,
// whose demand rises when the burst begins.
var (
	steadyShedding    = shedScenario{firstRate: 1.24e6, burstDemand: 5.3e6, burstStart: 9500 * time.Millisecond}
	twoShedWorkspaces = shedScenario{firstRate: 1.9e6, secondRate: 0.8e6, burstDemand: 5.3e6, burstStart: 9500 * time.Millisecond}
)

// starved reports whether a workspace was granted less than half of what another one was, with
// a tolerance of three requests of maximum size.
func starved(has, other float64) bool { return has < (other-3*maxRequestTokens)/2 }

// Guards against owners that each grant a burst as much as all of them together may, because
// they learn of each other's grants late: a workspace whose requests daemons shed then gets
// less than half of what the burst gets.
func TestABurstStaysNearAWorkspaceThatIsKeptBack(t *testing.T) {
	const ms = time.Millisecond
	for name, sc := range map[string]shedScenario{
		"steady":  steadyShedding,
		"falling": {firstRate: 1.24e6, minFirstRate: 0.31e6, declineStart: 6 * time.Second, halfLife: 5 * time.Second, burstDemand: 5.3e6, burstStart: 9500 * ms},
		"served":  {firstRate: 1.2e6, minFirstRate: 0.5e6, declineStart: 9500 * ms, halfLife: time.Second, retriesServed: true, burstDemand: 5.3e6, burstStart: 9500 * ms},
		"two":     twoShedWorkspaces,
	} {
		for _, seed := range seeds {
			shed, burst, second := sc.cachedRun(seed)
			const steps = int(6 * time.Second / shedStep)
			for first := int(sc.burstStart / shedStep); first+steps <= len(shed); first++ {
				shedTokens, burstTokens, secondTokens := shed.sum(first, steps), burst.sum(first, steps), second.sum(first, steps)
				if starved(shedTokens, burstTokens) || sc.secondRate > 0 && starved(secondTokens, burstTokens) {
					t.Errorf("%s, seed %d, from %s on: %.2f M tokens of the burst, %.2f and %.2f M of those kept back",
						name, seed, time.Duration(first)*shedStep, burstTokens/1e6, shedTokens/1e6, secondTokens/1e6)
					break
				}
			}
		}
	}
}

// Guards against idle engines: a workspace whose requests are shed must not cause the refusal
// of another one's. The burst is granted at least as much as that workspace.
func TestBurstIsNotLimitedBelowAShedWorkspace(t *testing.T) {
	is := is.New(t)
	sc := steadyShedding
	for _, seed := range seeds {
		shed, burst, _ := sc.cachedRun(seed)
		first := int(12 * time.Second / shedStep)
		is.True(burst.sum(first, len(shed)-first) >= shed.sum(first, len(shed)-first))
	}
}
