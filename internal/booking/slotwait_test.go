package booking_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// contended is a simulated fleet of targets for which callers compete.
type contended struct {
	slots, memory, daemons, engines int
	// rate is the prefill speed, step the time of a decode step, and stepPerRequest what each running
	// request adds to it.
	rate                 float64
	step, stepPerRequest time.Duration
	// rates are the requests per second and target that use its slots up, objectives their time to the
	// first byte and outputs their lengths in tokens, by kind.
	rates      [3]float64
	objectives [3]time.Duration
	outputs    [3]int
	// stated is the rate of a target in tokens per second.
	stated float64
	// amplitude and period describe the wave of the demand. If retries is set, refused callers return
	// after the time stated in the refusal, but at most after a third of the time that they have left;
	// deadlines are these times by kind.
	amplitude float64
	period    time.Duration
	retries   bool
	deadlines [3]time.Duration
}

var kinds = [3]string{"long", "chat", "tag"}

var (
	contended48 = contended{
		slots: 48, memory: 667211, daemons: 5, engines: 5, rate: 125, step: 3270 * time.Microsecond, stepPerRequest: 80 * time.Microsecond,
		rates: [3]float64{6.1, 14, 12.3}, objectives: [3]time.Duration{600 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond},
		outputs: [3]int{384, 288, 24}, stated: 127000,
		deadlines: [3]time.Duration{12 * time.Second, 12 * time.Second, 3 * time.Second},
	}
	contended12 = contended{
		slots: 12, memory: 478910, daemons: 5, engines: 14, rate: 112, step: 3410 * time.Microsecond, stepPerRequest: 100 * time.Microsecond,
		rates: [3]float64{3.56, 3, 8.2}, objectives: [3]time.Duration{600 * time.Millisecond, 600 * time.Millisecond, time.Second},
		outputs: [3]int{378, 288, 27}, stated: 69500,
		deadlines: [3]time.Duration{12 * time.Second, 10 * time.Second, 2500 * time.Millisecond},
	}
)

// contendedResult counts what became of the requests of a contended fleet.
type contendedResult struct {
	submitted, inTime [3]int
	late, largest     int
	largestInTime     int
	retries, again    int
	lateRetries       int
	// wait is the time for which requests have waited for slots, and waited their number.
	waited, waitedInTime int
	byWorkspace          map[ident.Workspace]*tally
}

func (r *contendedResult) inTimeTotal() (share float64) {
	return float64(r.inTime[0]+r.inTime[1]+r.inTime[2]) / float64(r.submitted[0]+r.submitted[1]+r.submitted[2])
}

// largestPromptTokens is the length from which on a tenth of the long prompts is.
const largestPromptTokens = 14500

func (f contended) workspaces() (names []ident.Workspace) {
	for i := range 8 {
		names = append(names, ident.Workspace(fmt.Sprintf("w%d", i)))
	}
	return names
}

// run simulates a load relative to the capacity of the slots. One workspace sends six times its usual
// rate for six seconds.
func (f contended) run(seed uint64, load float64, cfg booking.Config) (*sim, *contendedResult) {
	cfg.Incarnation = 1
	names := f.workspaces()
	s := newConfiguredSim(seed, cfg, []ident.Zone{"z"}, f.daemons, f.engines, names...)
	for i := range s.service.Targets {
		t := &s.service.Targets[i]
		t.Slots, t.Memory = f.slots, f.memory
		s.engines[t.Name].spec, s.engines[t.Name].rate = *t, f.rate
	}
	s.service.Rate = f.stated * float64(f.engines)
	s.cacheAfterPrefill = true
	s.stepTime = func(e *engine) time.Duration { return f.step + time.Duration(e.slotsUsed)*f.stepPerRequest }
	s.updatePeers()
	result := &contendedResult{byWorkspace: s.tallies}
	kindOf := func(j *job) int { return slices.Index(f.outputs[:], j.Output) }
	s.onOutcome = func(j *job, late bool) {
		refused := j.target == ""
		if j.retry {
			result.retries++
			switch {
			case refused:
				result.again++
			default:
				result.lateRetries++
			}
			return
		}
		k := kindOf(j)
		result.submitted[k]++
		largest := j.Prompt >= largestPromptTokens
		if largest {
			result.largest++
		}
		if j.basis.SlotWait > 0 {
			result.waited++
		}
		switch {
		case refused:
		case late:
			result.late++
		default:
			result.inTime[k]++
			if largest {
				result.largestInTime++
			}
			if j.basis.SlotWait > 0 {
				result.waitedInTime++
			}
		}
	}
	if f.retries {
		s.honored = func(j *job, retryAfter time.Duration) time.Duration { return min(retryAfter, f.deadlines[kindOf(j)]/3) }
	}
	const end = 14 * time.Second
	for i, w := range names {
		part := [...]float64{0.22, 0.2, 0.16, 0.12, 0.1, 0.08, 0.07, 0.05}[i]
		for k := range kinds {
			perSecond := f.rates[k] * load * part * float64(f.engines)
			l := workload{workspace: w, perSecond: perSecond, end: end, objective: f.objectives[k], newRequest: f.requests(uint64(100000*(i+1)+10000*k), k), amplitude: f.amplitude, period: f.period}
			s.offer(l)
			if i == 3 {
				l.perSecond, l.start, l.end = 5*perSecond, 4*time.Second, 10*time.Second
				s.offer(l)
			}
		}
	}
	s.run(end + 6*time.Second)
	return s, result
}

// requests makes requests of one kind: long prompts with 5,382 shared and 6,610 unshared tokens on
// average, some of them several times as long, chats and tags.
func (f contended) requests(first uint64, kind int) func(*rand.Rand) booking.Request {
	shared, own, sessions := [3]int{5382, 6610, 0}[kind], [3]int{0, 628, 1800}[kind], [3]int{25, 60, 40}[kind]
	if kind != 0 {
		shared = [3]int{0, 198, 568}[kind]
	}
	return func(rng *rand.Rand) booking.Request {
		tokens := 1 + int(float64(own)*(0.5+rng.Float64()))
		if kind == 0 {
			tokens = min(49000, 1000+int(5610*rng.ExpFloat64()))
		}
		return booking.Request{
			Prompt: shared + tokens, Output: f.outputs[kind],
			Parts: []booking.PromptPart{{ID: first + uint64(rng.IntN(sessions)), Tokens: shared}, {ID: rng.Uint64(), Tokens: tokens}},
		}
	}
}

// BenchmarkSlotWait compares refusing at once with waiting for slots, at 0.9, 1.1 and 1.5 of the
// capacity of the slots. It reports percentages of requests in time.
func BenchmarkSlotWait(b *testing.B) {
	for _, f := range []contended{contended12, contended48} {
		for _, load := range []float64{0.9, 1.1, 1.5} {
			for _, wait := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
				b.Run(fmt.Sprintf("slots=%d,load=%.1f,wait=%s", f.slots, load, wait), func(b *testing.B) {
					for b.Loop() {
						reportContended(b, f, load, booking.Config{MaxSlotWait: wait})
					}
				})
			}
		}
	}
}

func reportContended(b *testing.B, f contended, load float64, cfg booking.Config) {
	var sum contendedResult
	hot, worst := 0.0, 1.0
	const runs = 6
	for seed := range uint64(runs) {
		s, r := f.run(seed, load, cfg)
		for k := range kinds {
			sum.submitted[k] += r.submitted[k]
			sum.inTime[k] += r.inTime[k]
		}
		sum.late += r.late
		sum.largest += r.largest
		sum.largestInTime += r.largestInTime
		sum.retries += r.retries
		sum.again += r.again
		sum.lateRetries += r.lateRetries
		sum.waited += r.waited
		sum.waitedInTime += r.waitedInTime
		hot += s.tallies["w3"].inTimeShare() / runs
		for w, t := range s.tallies {
			if w != "w3" {
				worst = min(worst, t.inTimeShare())
			}
		}
	}
	b.ReportMetric(100*sum.inTimeTotal(), "%in-time")
	for k, kind := range kinds {
		b.ReportMetric(100*float64(sum.inTime[k])/float64(sum.submitted[k]), "%"+kind)
	}
	b.ReportMetric(100*float64(sum.largestInTime)/float64(max(1, sum.largest)), "%largest")
	b.ReportMetric(100*float64(sum.late)/float64(sum.submitted[0]+sum.submitted[1]+sum.submitted[2]), "%late")
	b.ReportMetric(100*hot, "%hot")
	b.ReportMetric(100*worst, "%worst")
	b.ReportMetric(float64(sum.waited)/runs, "waited")
	b.ReportMetric(float64(sum.waitedInTime)/runs, "waited-in-time")
	if sum.retries > 0 {
		b.ReportMetric(100*float64(sum.again)/float64(sum.retries), "%again")
		b.ReportMetric(float64(sum.lateRetries)/runs, "late-retries")
	}
	b.ReportMetric(0, "ns/op")
}

// Guards against refusing requests for which a slot becomes free in time, and against long prompts that
// are starved by short ones while both wait.
func TestWaitingForSlotsServesMoreInTime(t *testing.T) {
	for _, f := range []contended{contended12, contended48} {
		var refused, waited, longest, largest float64
		for seed := range uint64(3) {
			_, r := f.run(seed, 1.1, booking.Config{})
			refused += r.inTimeTotal()
			_, r = f.run(seed, 1.1, booking.Config{MaxSlotWait: testSlotWait})
			waited += r.inTimeTotal()
			largest += float64(r.largest)
			longest += float64(r.largestInTime)
		}
		t.Logf("%d slots: %.3f in time, %.3f with waits, %.3f of the largest prompts", f.slots, refused/3, waited/3, longest/largest)
		is := is.New(t)
		is.True(waited > 1.01*refused)
		is.True(longest/largest > 0.5*waited/3)
	}
}
