package overload_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/savorystall/savorystall/internal/overload"
)

// placer decides which VM of a zone serves a new connection.
type placer interface {
	// place returns the VM that serves a connection which VM at has taken in while it
	// refuses the part shed of new requests; at itself: it serves or refuses it. Held is how
	// many connections at has passed on to each VM and that are still open.
	place(at int, shed float64, held []int, rng *rand.Rand) int
}

// keeper leaves each connection where the balancer has led it.
type keeper struct{}

func (keeper) place(at int, _ float64, _ []int, _ *rand.Rand) int { return at }

// Processor time is that of a small VM.
const (
	serveWork  = 8 * time.Millisecond
	refuseWork = 1300 * time.Microsecond
	// passWork is for a request on a connection that is passed on.
	passWork = 600 * time.Microsecond
	// turnWork is how long a goroutine works in one turn: a request takes ten.
	turnWork = serveWork / 10

	// smallPart and largePart are what VMs have of a core in each quotaPeriod.
	smallPart   = 0.192
	largePart   = 0.8
	quotaPeriod = 100 * time.Millisecond

	// keptPart is the part of served callers who keep their connection for another request. One
	// that is passed on ends with its first answer.
	keptPart = 0.5

	simStep = time.Millisecond
)

// conn is a connection of a caller: VM via has taken it in, at serves it.
type conn struct {
	via, at *smallVM
	// served is how many requests on it have been.
	served int
}

// call is a request of a caller.
type call struct {
	from *workspace
	on   *conn
	try  int
	// gone is when its caller leaves.
	gone time.Duration
}

// job is work that a VM has taken on. It is worked on a turn at a time.
type job struct {
	// begin decides at the first turn how much it is, and what follows its end.
	begin func() (work time.Duration, ended func())
	left  time.Duration
	ended func()
}

// smallVM is a VM whose processor gives those who are ready their turns in order, until its
// quota of a period is used up.
type smallVM struct {
	index, phase int
	quota, left  time.Duration
	// able is what of the step the processor has not worked yet.
	able  time.Duration
	ready []*job

	shedder  overload.Shedder
	detector overload.Detector
	shed     float64
	// probeDue tells that the wait for a turn is to be measured.
	probeDue bool
	arrived  int
	over     bool
	misses   int

	// waiting are connections that the kernel holds, of which limiter lets some a second in.
	waiting []*call
	limiter *rate.Limiter
	// held is how many connections that are open this one has passed on to each VM.
	held []int
}

// take makes a job ready.
func (v *smallVM) take(begin func() (time.Duration, func())) {
	v.ready = append(v.ready, &job{begin: begin, left: inCore(turnWork)})
}

// inCore turns the time of a small VM into that of a core.
func inCore(work time.Duration) time.Duration { return time.Duration(float64(work) * smallPart) }

// run works for one step. A turn is never cut: what it takes beyond the step or the quota is
// owed.
func (v *smallVM) run() {
	v.able = min(v.able, 0) + simStep
	for len(v.ready) > 0 && v.able > 0 && v.left > 0 {
		j := v.ready[0]
		v.ready = v.ready[1:]
		if j.begin != nil {
			work, ended := j.begin()
			j.left, j.ended, j.begin = inCore(work), ended, nil
		}
		part := min(inCore(turnWork), j.left)
		j.left -= part
		v.able -= part
		v.left -= part
		if j.left > 0 {
			v.ready = append(v.ready, j)
			continue
		}
		j.ended()
	}
}

// turn is how long one that is ready now waits for its turn: while those before it have
// theirs, and as long as the VM stands still meanwhile.
func (v *smallVM) turn(rest time.Duration) time.Duration {
	work := time.Duration(0)
	for _, j := range v.ready {
		work += min(j.left, inCore(turnWork))
	}
	if work < v.left {
		return work
	}
	work -= v.left
	return v.left + rest + work/v.quota*quotaPeriod + work%v.quota
}

// observe measures the wait for a turn and decides by it, as a daemon does.
func (v *smallVM) observe(now time.Time, rest time.Duration) {
	wait := v.turn(rest)
	v.shed = v.shedder.Note(now, wait)
	v.limiter.SetLimitAt(now, acceptLimit(v.detector.Mean()))
	v.over = v.detector.Note(now, overload.Observation{Wait: wait, Shed: v.shed, Holds: true, Arrived: v.arrived})
	v.arrived, v.probeDue = 0, false
}

func acceptLimit(wait time.Duration) rate.Limit {
	if most := overload.AcceptRate(wait); most > 0 {
		return rate.Limit(most)
	}
	return rate.Inf
}

// workspace has callers who ask for so much. Each try goes to the first VM of its order that
// the balancer uses, or to any VM where there is no order.
type workspace struct {
	perSecond float64
	// may is how many requests a second targets take of it.
	may    *rate.Limiter
	orders [][]int
	// idle are the connections that its callers have kept.
	idle []*conn
	// asked, got and lacked count by second: first tries, requests that targets have taken, and
	// tries that were refused or whose callers left.
	asked, got, lacked []float64
}

// smallZone is an availability zone of small VMs and a few larger ones behind a balancer,
// and the workspaces that call there.
type smallZone struct {
	rng        *rand.Rand
	placer     placer
	vms        []*smallVM
	workspaces []*workspace
	at         time.Duration
	later      map[time.Duration][]func()
}

var simStart = time.Unix(1000, 0)

func (z *smallZone) now() time.Time { return simStart.Add(z.at) }

// newSmallZone returns a zone of so many VMs of each size, in an order of the seed.
func newSmallZone(seed uint64, small, large int, p placer) *smallZone {
	z := &smallZone{rng: rand.New(rand.NewPCG(seed, 1)), placer: p, later: map[time.Duration][]func(){}}
	for i, place := range z.rng.Perm(small + large) {
		part := smallPart
		if place >= small {
			part = largePart
		}
		z.vms = append(z.vms, &smallVM{
			index: i, phase: z.rng.IntN(1000), quota: time.Duration(part * float64(quotaPeriod)),
			limiter: rate.NewLimiter(rate.Inf, acceptBurst), held: make([]int, small+large),
		})
	}
	return z
}

// acceptBurst is how many connections a VM lets in at once where they are limited.
const acceptBurst = 15

// order returns one in which callers try VMs: the small ones first.
func (z *smallZone) order() []int {
	order := z.rng.Perm(len(z.vms))
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(z.vms[a].quota, z.vms[b].quota) })
	return order
}

// play plays the zone for so many seconds.
func (z *smallZone) play(seconds int) {
	for _, w := range z.workspaces {
		w.asked, w.got, w.lacked = make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)
	}
	for end := time.Duration(seconds) * time.Second; z.at < end; z.at += simStep {
		for _, do := range z.later[z.at] {
			do()
		}
		delete(z.later, z.at)
		for _, w := range z.workspaces {
			z.ask(w)
		}
		for _, v := range z.vms {
			z.step(v)
		}
	}
}

// after does something so much later.
func (z *smallZone) after(wait time.Duration, do func()) {
	at := z.at + max(wait.Round(simStep), simStep)
	z.later[at] = append(z.later[at], do)
}

func (z *smallZone) second() int { return int(z.at / time.Second) }

// ask opens the connections of a workspace's callers of this step.
func (z *smallZone) ask(w *workspace) {
	for due := w.perSecond * simStep.Seconds(); due > 0; due-- {
		if due < 1 && z.rng.Float64() > due {
			return
		}
		w.asked[z.second()]++
		c := &call{from: w, gone: z.at + patience}
		if c.on = z.reuse(w); c.on == nil {
			z.connect(c)
			continue
		}
		c.on.via.take(func() (time.Duration, func()) { return z.receive(c) })
	}
}

// reuse returns one of the connections that callers have kept; nil: there is none.
func (z *smallZone) reuse(w *workspace) *conn {
	last := len(w.idle) - 1
	if last < 0 {
		return nil
	}
	i := z.rng.IntN(last + 1)
	found := w.idle[i]
	w.idle[i], w.idle = w.idle[last], w.idle[:last]
	return found
}

// connect leads a call to a VM on a new connection.
func (z *smallZone) connect(c *call) {
	v := z.vms[z.rng.IntN(len(z.vms))]
	if c.try < len(c.from.orders) {
		used := z.used()
		for _, i := range c.from.orders[c.try] {
			if used[i] {
				v = z.vms[i]
				break
			}
		}
	}
	v.waiting = append(v.waiting, c)
}

// used tells which VMs the balancer uses: those in rotation, or all where they are less than half.
func (z *smallZone) used() []bool {
	used, in := make([]bool, len(z.vms)), 0
	for i, v := range z.vms {
		used[i] = v.misses < 2
		if used[i] {
			in++
		}
	}
	for i := range used {
		used[i] = used[i] || 2*in < len(used)
	}
	return used
}

// step plays one step of a VM.
func (z *smallZone) step(v *smallVM) {
	ms := int(z.at/simStep) + v.phase
	period := int(quotaPeriod / simStep)
	if ms%period == 0 {
		v.left = min(v.left, 0) + v.quota
	}
	v.probeDue = v.probeDue || ms%int(tick/simStep) == 0
	if v.probeDue && v.left > 0 {
		v.observe(z.now(), time.Duration(period-ms%period)*simStep)
	}
	if ms%int(time.Second/simStep) == 0 {
		v.misses++
		if !v.over {
			v.misses = 0
		}
	}
	z.accept(v)
	v.run()
}

// accept takes in the connections that wait, as many as the VM may. One whose caller has
// left costs nothing.
func (z *smallZone) accept(v *smallVM) {
	for len(v.waiting) > 0 && v.left > 0 {
		c := v.waiting[0]
		if c.gone <= z.at {
			v.waiting = v.waiting[1:]
			c.from.lacked[z.second()]++
			continue
		}
		if !v.limiter.AllowN(z.now(), 1) {
			return
		}
		v.waiting = v.waiting[1:]
		v.arrived++
		v.take(func() (time.Duration, func()) { return z.open(v, c) })
	}
}

// open decides which VM serves a connection that v has taken in, and takes its first call.
func (z *smallZone) open(v *smallVM, c *call) (work time.Duration, ended func()) {
	to := z.placer.place(v.index, v.shed, v.held, z.rng)
	c.on = &conn{via: v, at: z.vms[to]}
	v.held[to]++
	return z.receive(c)
}

// receive takes a call at the VM that has taken in its connection: it passes the call on, or
// answers it.
func (z *smallZone) receive(c *call) (work time.Duration, ended func()) {
	if c.on.via == c.on.at {
		return z.answer(c)
	}
	return passWork, func() {
		c.on.at.take(func() (time.Duration, func()) { return z.answer(c) })
	}
}

// answer refuses a call for want of processor time or since its workspace has had its share,
// or serves it.
func (z *smallZone) answer(c *call) (work time.Duration, ended func()) {
	sheds := c.gone <= z.at || z.rng.Float64() < overload.Part(c.on.at.shed, c.on.served == 0)
	if sheds || !c.from.may.AllowN(z.now(), 1) {
		return refuseWork, func() { z.refused(c) }
	}
	return serveWork, func() { z.sendOn(c) }
}

// sendOn gives a call that a VM has read to a target, unless its caller has left.
func (z *smallZone) sendOn(c *call) {
	if c.gone <= z.at {
		z.refused(c)
		return
	}
	c.from.got[z.second()]++
	c.on.served++
	if kept := z.rng.Float64() < keptPart; kept && c.on.via == c.on.at {
		c.from.idle = append(c.from.idle, c.on)
		return
	}
	c.on.close()
}

// refused closes a call's connection and lets its caller come back once.
func (z *smallZone) refused(c *call) {
	c.on.close()
	c.from.lacked[z.second()]++
	if c.try > 0 || c.gone <= z.at {
		return
	}
	again := &call{from: c.from, try: c.try + 1, gone: c.gone}
	z.after(overload.BackAtOnce, func() { z.connect(again) })
}

func (k *conn) close() { k.via.held[k.at.index]-- }
