package booking_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// requestKind is a kind of requests of the small fleet.
type requestKind struct {
	objective time.Duration
	// own is the mean size of the unshared part in tokens, shared those of the two shared
	// parts, sessions the number of different second parts.
	own       float64
	ownSpread float64
	shared    [2]int
	sessions  int
	events    float64
	evSpread  float64
	maxOwn    int
}

const tokensPerEvent = 12

var (
	longPrompts  = requestKind{objective: 600 * time.Millisecond, own: 6610, ownSpread: 1.4, maxOwn: 54600, shared: [2]int{512, 4870}, sessions: 137, events: 31.9, evSpread: 0.44}
	shortPrompts = requestKind{objective: 300 * time.Millisecond, own: 628, ownSpread: 1, maxOwn: 3310, shared: [2]int{119, 79}, sessions: 244, events: 24.3, evSpread: 0.69}
	shortAnswers = requestKind{objective: 300 * time.Millisecond, own: 1800, ownSpread: 1.3, maxOwn: 6870, shared: [2]int{341, 227}, sessions: 252, events: 1.88, evSpread: 1.4}
	smallKinds   = []requestKind{longPrompts, shortPrompts, shortAnswers}
)

// usualMix is the usual mix of the kinds by number.
var usualMix = [3]float64{262, 698, 722}

func lognormal(rng *rand.Rand, mean, cv, most float64) float64 {
	sigma2 := math.Log(1 + cv*cv)
	return min(most, mean*math.Exp(math.Sqrt(sigma2)*rng.NormFloat64()-sigma2/2))
}

func (k *requestKind) make(rng *rand.Rand, kind, workspace int) booking.Request {
	own := 1 + int(lognormal(rng, k.own, k.ownSpread, float64(k.maxOwn)))
	output := tokensPerEvent * max(1, int(0.5+lognormal(rng, k.events, k.evSpread, 3*k.events)))
	base := uint64(kind+1)<<40 | uint64(workspace)<<24
	return booking.Request{
		Prompt: own + k.shared[0] + k.shared[1], Output: output,
		Parts: []booking.PromptPart{{ID: base, Tokens: k.shared[0]}, {ID: base + 1 + uint64(rng.IntN(k.sessions)), Tokens: k.shared[1]}, {ID: rng.Uint64() | 1<<63, Tokens: own}},
	}
}

// meanCost is the mean cost of a mix of kinds.
func meanCost(mix [3]float64) float64 {
	sum, n := 0.0, 0.0
	for i, k := range smallKinds {
		sum += mix[i] * (k.own + float64(k.shared[0]+k.shared[1]) + 2*tokensPerEvent*k.events)
		n += mix[i]
	}
	return sum / n
}

// hotLoad is a workspace that asks for many times its usual.
type hotLoad struct {
	rate       float64 // tokens per second
	mix        [3]float64
	start, end time.Duration
	// daemons are those that its callers reach; empty means all.
	daemons []int
}

// orderScenario is the load of a fleet of 16 small VMs in four availability zones with 20
// targets, of which 30 workspaces ask for more than it can serve.
type orderScenario struct {
	// stated is the configured rate, base the demand of the workspaces that are not hot, in
	// tokens per second; prefill is the prefill rate of a target in tokens per millisecond.
	stated, base, prefill  float64
	slots, memory, targets int
	hot                    []hotLoad
	duration               time.Duration
	prepare                func(s *sim)
	// from is the beginning of the first window that is judged, to the end of the last.
	from, to time.Duration
}

// orderResult is the window in which a workspace that was refused or late in every second got
// least of what it is owed.
type orderResult struct {
	// margin is what it got in relation to half of the lesser of what it asked for and what the
	// best served one got, less three of the largest requests.
	margin           float64
	at               time.Duration
	asked, got, best float64
	ws, bestWs       int
	// decisions are the tokens of each workspace by what became of them.
	decisions map[int]map[string]float64
}

func smallTwin(hot ...hotLoad) orderScenario {
	return orderScenario{stated: 700e3, slots: 32, memory: 444000, prefill: 140, base: 1.2e6, targets: 20, hot: hot, duration: 12 * time.Second, from: 3 * time.Second, to: 12 * time.Second}
}

// hotAlike returns hot workspaces of the usual mix.
func hotAlike(rates ...float64) []hotLoad {
	var list []hotLoad
	for _, rate := range rates {
		list = append(list, hotLoad{rate: rate, mix: usualMix, start: 3 * time.Second, end: 12 * time.Second})
	}
	return list
}

// of returns the same loads with requests of one mix.
func of(mix [3]float64, list []hotLoad) []hotLoad {
	for i := range list {
		list[i].mix = mix
	}
	return list
}

// firstAtOneDaemon lets all callers of the first workspace reach one daemon.
func firstAtOneDaemon(list []hotLoad) []hotLoad {
	list[0].daemons = []int{1}
	return list
}

func wsName(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("w%02d", i)) }

func (sc orderScenario) run(seed uint64) orderResult {
	const workspaces = 30
	names := make([]ident.Workspace, workspaces)
	for i := range names {
		names[i] = wsName(i)
	}
	s := newZonedSim(seed, []ident.Zone{"a", "b", "c", "d"}, 16, sc.targets, names...)
	s.service.Rate = sc.stated
	s.service.FetchPerToken = 0
	for i := range s.service.Targets {
		t := &s.service.Targets[i]
		t.Slots, t.Memory = sc.slots, sc.memory
		s.engines[t.Name].spec, s.engines[t.Name].rate = *t, sc.prefill
	}
	s.stepTime = func(e *engine) time.Duration {
		busy := min(1, max(0, e.freeAt.Sub(s.now).Seconds()/0.1))
		return time.Duration((2.2 + 0.0175*float64(e.context)/1000 + 7.3*busy) * float64(time.Millisecond))
	}
	s.updatePeers()
	steps := int(sc.duration / shedStep)
	start := s.now
	step := func() int { return min(steps-1, int(s.now.Sub(start)/shedStep)) }
	asked, got, bad := make([][]float64, workspaces), make([][]float64, workspaces), make([][]bool, workspaces)
	for i := range workspaces {
		asked[i], got[i], bad[i] = make([]float64, steps), make([]float64, steps), make([]bool, steps)
	}
	index := map[ident.Workspace]int{}
	for i, n := range names {
		index[n] = i
	}
	largest := 0.0
	o := orderResult{margin: math.Inf(1), decisions: map[int]map[string]float64{}}
	count := func(i int, what string, x float64) {
		if o.decisions[i] == nil {
			o.decisions[i] = map[string]float64{}
		}
		o.decisions[i][what] += x
	}
	s.onDispatch = func(j *job) {
		got[index[j.Workspace]][step()] += j.Cost()
		if j.basis.SelectedBy == "blind" {
			count(index[j.Workspace], "unconfirmed", j.Cost())
		}
	}
	s.onOutcome = func(j *job, late bool) {
		if late && j.target == "" && j.basis.Limit == booking.LimitNone {
			count(index[j.Workspace], "no reply", j.Cost())
		}
		if late {
			bad[index[j.Workspace]][step()] = true
		}
	}
	{
		s.retryDelay = func() time.Duration {
			return 400*time.Millisecond + time.Duration(s.rng.Int64N(int64(1200*time.Millisecond)))
		}
	}
	offer := func(i int, l hotLoad) {
		perSecond := l.rate / meanCost(l.mix)
		var next func()
		next = func() {
			if s.now.Sub(start) >= l.end {
				return
			}
			x := s.rng.Float64() * (l.mix[0] + l.mix[1] + l.mix[2])
			k := 0
			for ; k < 2 && x >= l.mix[k]; k++ {
				x -= l.mix[k]
			}
			r := smallKinds[k].make(s.rng, k, i)
			r.Workspace = names[i]
			asked[i][step()] += r.Cost()
			largest = max(largest, r.Cost())
			d := s.daemons[s.rng.IntN(len(s.daemons))]
			if len(l.daemons) > 0 {
				d = s.daemons[l.daemons[s.rng.IntN(len(l.daemons))]]
			}
			s.submit(d, r, smallKinds[k].objective)
			s.schedule(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
		s.schedule(l.start, next)
	}
	s.retryDaemon = func(j *job) *daemon {
		i := index[j.Workspace]
		if i < len(sc.hot) && len(sc.hot[i].daemons) > 0 {
			return s.daemons[sc.hot[i].daemons[s.rng.IntN(len(sc.hot[i].daemons))]]
		}
		return s.daemons[s.rng.IntN(len(s.daemons))]
	}
	weights := 0.0
	for i := range workspaces {
		weights += 1 / float64(i+1)
	}
	for i := range workspaces {
		if i < len(sc.hot) {
			offer(i, sc.hot[i])
			continue
		}
		offer(i, hotLoad{rate: sc.base / float64(workspaces-len(sc.hot)), mix: usualMix, end: sc.duration})
	}
	for at := time.Second; at < sc.duration; at += time.Second {
		s.schedule(at, func() {
			for _, d := range s.daemons {
				for _, r := range d.core.ShareReports(s.now) {
					for _, w := range r.Decisions {
						for l, x := range w.Refused {
							count(index[w.Workspace], l, float64(x))
						}
						count(index[w.Workspace], "granted", float64(w.Granted))
					}
				}
			}
		})
	}
	if sc.prepare != nil {
		sc.prepare(s)
	}
	s.run(sc.duration)
	const perSecond = int(time.Second / shedStep)
	for first := int(sc.from / shedStep); first+6*perSecond <= int(sc.to/shedStep); first++ {
		sum := func(x []float64, sec int) (v float64) {
			for _, y := range x[first+sec*perSecond : first+(sec+1)*perSecond] {
				v += y
			}
			return v
		}
		all := func(x []float64) (v float64) {
			for sec := range 6 {
				v += sum(x, sec)
			}
			return v
		}
		best, bestOf := 0.0, 0
		for i := range workspaces {
			if g := all(got[i]); g > best {
				best, bestOf = g, i
			}
		}
		for i := range workspaces {
			owed, everySecond := 0.0, i != bestOf
			for sec := range 6 {
				everySecond = everySecond && slices.Contains(bad[i][first+sec*perSecond:first+(sec+1)*perSecond], true)
				owed += min(sum(asked[i], sec), sum(got[bestOf], sec)) / 2
			}
			if owed -= 3 * largest; !everySecond || owed <= 0 {
				continue
			}
			if m := all(got[i]) / owed; m < o.margin {
				o.margin, o.ws, o.at, o.asked, o.got, o.best, o.bestWs = m, i, time.Duration(first)*shedStep, all(asked[i]), all(got[i]), best, bestOf
			}
		}
	}
	return o
}

// String describes the window and what became of the two workspaces' requests.
func (o orderResult) String() string {
	decisions := func(ws int) string {
		var list []string
		for what, tokens := range o.decisions[ws] {
			list = append(list, fmt.Sprintf("%s %.1f", what, tokens/1e6))
		}
		slices.Sort(list)
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s asked for %.2f M tokens from %s on and got %.2f M, %.2f of what it is owed; %s got %.2f M\n  %s: %s\n  %s: %s",
		wsName(o.ws), o.asked/1e6, o.at, o.got/1e6, o.margin, wsName(o.bestWs), o.best/1e6, wsName(o.ws), decisions(o.ws), wsName(o.bestWs), decisions(o.bestWs))
}

// checkShares fails for each seed with which a workspace gets less than it is owed.
func (sc orderScenario) checkShares(t *testing.T, name string) {
	t.Helper()
	for _, seed := range seeds {
		if o := sc.run(seed); o.margin < 1 {
			t.Errorf("%s, seed %d: %s", name, seed, o)
		}
	}
}

// lateTurns lets daemons run for a part of each 100 ms only, as a VM does that has used up its
// part of a core.
func lateTurns(late func(i int) bool, run time.Duration, tickFirst bool) func(*sim) {
	return func(s *sim) {
		for i, d := range s.daemons {
			if late(i) {
				s.setTurns(d, &turns{period: 100 * time.Millisecond, run: run, offset: time.Duration(37*i%100) * time.Millisecond, tickFirst: func() bool { return tickFirst }})
			}
		}
	}
}

// Guards against targets whose slots or memory are given to whoever asks most often. Where the
// stated rate is above what the targets deliver for the present mix of requests, all workspaces
// are within their shares, and a target that is full refuses those that have had little as it
// refuses those that have had most.
func TestFullTargetsAreSharedWhenTheStatedRateIsTooHigh(t *testing.T) {
	slots := smallTwin(of([3]float64{0, 1, 0}, hotAlike(0.3e6, 1e6, 3.5e6))...)
	slots.stated, slots.base = 1.4e6, 0.3e6
	slots.checkShares(t, "slots")
	memory := smallTwin(of([3]float64{1, 0, 0}, hotAlike(0.3e6, 1e6, 3.5e6))...)
	memory.stated, memory.base, memory.slots, memory.memory = 1.4e6, 0.3e6, 128, 120000
	memory.checkShares(t, "memory")
}

// Guards against replies that have arrived and count as missing, because a daemon that was not
// scheduled handles a tick before the messages that came meanwhile. It takes the owners for
// silent, refuses the request or places it unconfirmed, within a number for each daemon rather
// than a share, and counts neither as granted. A workspace whose callers reach one daemon has
// one daemon's number of these, one whose callers reach all has all of them.
func TestTickBeforeQueuedRepliesTakesNoShares(t *testing.T) {
	sc := smallTwin(firstAtOneDaemon(hotAlike(0.8e6, 0.8e6, 0.8e6, 0.8e6))...)
	sc.base, sc.prepare = 0.45e6, lateTurns(func(int) bool { return true }, 12*time.Millisecond, true)
	sc.checkShares(t, "all daemons late, ticks first")
}

// Guards against owners whose replies come too late and that count what they granted. The
// ingress has given up by then and releases the grant unused, but it stays in the workspace's
// sum, so that a workspace whose callers reach a daemon that runs on time, among owners that do
// not, is refused at a share that it has not had.
func TestGrantsRepliedTooLateTakeNoShares(t *testing.T) {
	sc := smallTwin(firstAtOneDaemon(hotAlike(0.8e6, 0.8e6, 0.8e6, 0.8e6))...)
	sc.base, sc.prepare = 0.3e6, lateTurns(func(i int) bool { return i != 1 }, 9*time.Millisecond, false)
	sc.checkShares(t, "all daemons but one late")
}

// The same loads without the circumstance that a test above adds leave every workspace what it
// is owed, so that it is this circumstance that the tests show.
func TestLoadsOfSharesWithoutTheirCircumstance(t *testing.T) {
	sc := smallTwin(of([3]float64{0, 1, 0}, hotAlike(0.3e6, 1e6, 3.5e6))...)
	sc.base = 0.3e6
	sc.checkShares(t, "slots, with a stated rate that targets deliver")
	sc = smallTwin(firstAtOneDaemon(hotAlike(0.8e6, 0.8e6, 0.8e6, 0.8e6))...)
	sc.base = 0.45e6
	sc.checkShares(t, "all daemons on time")
	sc.prepare = lateTurns(func(int) bool { return true }, 12*time.Millisecond, false)
	sc.checkShares(t, "all daemons late, messages first")
}
