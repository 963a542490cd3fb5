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
	// place returns the VM that serves a connection accepted by vm, which refuses
	// shedFraction of new requests. If it returns vm itself, vm serves or refuses the
	// connection. forwarded holds the number of open connections that vm has forwarded to
	// each VM.
	place(vm int, shedFraction float64, forwarded []int, rng *rand.Rand) int
}

// localPlacer leaves each connection at the VM that the balancer has chosen.
type localPlacer struct{}

func (localPlacer) place(vm int, _ float64, _ []int, _ *rand.Rand) int { return vm }

// Processor times are those of a small VM.
const (
	serveTime  = 8 * time.Millisecond
	refuseTime = 1300 * time.Microsecond
	// closeTime is the cost of accepting a connection and closing it unread.
	closeTime = 300 * time.Microsecond
	// forwardTime is the cost of forwarding a request.
	forwardTime = 600 * time.Microsecond
	// timeSlice is how long a goroutine runs at a time: a request takes ten time slices.
	timeSlice = serveTime / 10

	// smallVMCores and largeVMCores are the fractions of a core that VMs may use in each
	// quotaPeriod.
	smallVMCores = 0.192
	largeVMCores = 0.8
	quotaPeriod  = 100 * time.Millisecond

	// keepAliveFraction is the fraction of served callers that reuse their connection for
	// another request. A forwarded connection ends with its first response.
	keepAliveFraction = 0.5

	simStep = time.Millisecond
)

// simConn is a connection of a caller.
type simConn struct {
	acceptedBy, servedBy *simVM
	// requests is the number of requests served on the connection.
	requests int
}

// simCall is a request of a caller.
type simCall struct {
	workspace *simWorkspace
	conn      *simConn
	try       int
	// since is when the attempt began.
	since time.Duration
	// deadline is when its caller disconnects.
	deadline time.Duration
}

// simJob is work that a VM has accepted. It is processed one time slice at a time.
type simJob struct {
	// start is called with the first time slice and returns the amount of work and what
	// to do at its end.
	start     func() (work time.Duration, done func())
	remaining time.Duration
	done      func()
}

// simVM is a VM whose processor runs the jobs of its run queue round robin until the
// quota of a period is used up.
type simVM struct {
	index, phase     int
	quota, quotaLeft time.Duration
	// stepLeft is the processor time left of the current step.
	stepLeft time.Duration
	runQueue []*simJob

	shedder      overload.Shedder
	detector     overload.Detector
	shedFraction float64
	// early decides what to forward before anything is refused; nil if nothing is.
	early         *overload.Shedder
	earlyFraction float64
	// overloads counts how often the VM became overloaded, and sheds the calls that it refused.
	overloads, sheds int
	// used is the processor time that it has used.
	used time.Duration
	// oldLatency is what others learned of it a second ago.
	oldLatency time.Duration
	// probeDue reports that a measurement of the scheduling latency is due.
	probeDue     bool
	newConns     int
	overloaded   bool
	failedProbes int

	// acceptQueue holds connections that wait in the kernel; limiter bounds how many are
	// accepted per second.
	acceptQueue []*simCall
	limiter     *rate.Limiter
	// forwarded is how many open connections this VM has forwarded to each VM.
	forwarded []int
}

// enqueue adds a job to the run queue.
func (v *simVM) enqueue(start func() (time.Duration, func())) {
	v.runQueue = append(v.runQueue, &simJob{start: start, remaining: toCoreTime(timeSlice)})
}

// toCoreTime converts processor time of a small VM to time of a whole core.
func toCoreTime(work time.Duration) time.Duration { return time.Duration(float64(work) * smallVMCores) }

// run processes jobs for one step. A time slice is never interrupted: time beyond the
// step or the quota is charged to the next one.
func (v *simVM) run() {
	v.stepLeft = min(v.stepLeft, 0) + simStep
	for len(v.runQueue) > 0 && v.stepLeft > 0 && v.quotaLeft > 0 {
		j := v.runQueue[0]
		v.runQueue = v.runQueue[1:]
		if j.start != nil {
			work, done := j.start()
			j.remaining, j.done, j.start = toCoreTime(work), done, nil
		}
		slice := min(toCoreTime(timeSlice), j.remaining)
		j.remaining -= slice
		v.stepLeft -= slice
		v.quotaLeft -= slice
		v.used += slice
		if j.remaining > 0 {
			v.runQueue = append(v.runQueue, j)
			continue
		}
		j.done()
	}
}

// schedLatency is how long a job that becomes runnable now waits: for the time slices of
// the jobs before it and for the periods in which the VM is throttled meanwhile.
func (v *simVM) schedLatency(periodLeft time.Duration) time.Duration {
	work := time.Duration(0)
	for _, j := range v.runQueue {
		work += min(j.remaining, toCoreTime(timeSlice))
	}
	if work < v.quotaLeft {
		return work
	}
	work -= v.quotaLeft
	return v.quotaLeft + periodLeft + work/v.quota*quotaPeriod + work%v.quota
}

// observe measures the scheduling latency and updates the overload state, as a daemon
// does.
func (v *simVM) observe(now time.Time, periodLeft time.Duration, forwards bool) {
	latency := v.schedLatency(periodLeft)
	v.shedFraction = v.shedder.Observe(now, latency)
	if v.early != nil {
		v.earlyFraction = v.early.Observe(now, latency)
	}
	before := v.overloaded
	v.overloaded = v.detector.Observe(now, overload.Observation{SchedLatency: latency, ShedFraction: v.shedFraction, MayHold: true, NewConns: v.newConns, Forwards: forwards})
	if v.overloaded && !before {
		v.overloads++
	}
	v.newConns, v.probeDue = 0, false
}

func acceptRateLimit(meanLatency time.Duration) rate.Limit {
	if perSecond := overload.AcceptRate(meanLatency); perSecond > 0 {
		return rate.Limit(perSecond)
	}
	return rate.Inf
}

// simWorkspace is a workspace whose callers send requests at a rate. Each attempt goes to
// the first VM of its order that the balancer uses, or to any VM if there is no order for
// it.
type simWorkspace struct {
	rate float64
	// limiter bounds the requests per second that targets accept from the workspace.
	limiter  *rate.Limiter
	vmOrders [][]int
	// idleConns holds the connections that its callers have kept open.
	idleConns []*simConn
	// offered, served and failed count by second: first attempts, requests that targets
	// have accepted, and attempts that were refused or whose callers disconnected.
	offered, served, failed []float64
	// inTime counts the served attempts that took at most servedInTime, and total all.
	inTime, total float64
}

// servedInTime is the time within which an attempt that is served has to be dispatched.
const servedInTime = 400 * time.Millisecond

// simZone is an availability zone of small VMs and a few larger ones behind a balancer,
// with the workspaces that use it.
type simZone struct {
	rng        *rand.Rand
	placer     placer
	vms        []*simVM
	workspaces []*simWorkspace
	elapsed    time.Duration
	scheduled  map[time.Duration][]func()
	// acceptBacklog bounds the connections that wait for a VM to accept them. While it limits them,
	// newestFirst makes it accept the newest first and close those that have waited for too long.
	acceptBacklog int
	newestFirst   bool
	// events is how many events a served call has; zero means that it ends when dispatched.
	events int
	// lateEvents counts the events that were late at the caller, sentEvents all of them.
	lateEvents, sentEvents int
	// eventInterval is the time between two events of a call. forwardTime is the cost of forwarding a
	// request, and carryTime of forwarding an event, at the VM that accepted the connection.
	eventInterval, forwardTime, carryTime time.Duration
	// forwards reports whether neighbours accept what a VM forwards; nil if that has no effect.
	forwards func(*simVM) bool
	// forwardedConns counts the connections that were forwarded.
	forwardedConns int
}

var simStart = time.Unix(1000, 0)

func (z *simZone) now() time.Time { return simStart.Add(z.elapsed) }

// newSimZone returns a zone with the given numbers of small and large VMs, in an order
// derived from the seed.
func newSimZone(seed uint64, small, large int, p placer) *simZone {
	z := &simZone{rng: rand.New(rand.NewPCG(seed, 1)), placer: p, acceptBacklog: overload.AcceptBacklog, newestFirst: true, eventInterval: eventInterval, forwardTime: forwardTime, carryTime: carryTime, scheduled: map[time.Duration][]func(){}}
	for i, place := range z.rng.Perm(small + large) {
		cores := smallVMCores
		if place >= small {
			cores = largeVMCores
		}
		z.vms = append(z.vms, &simVM{
			index: i, phase: z.rng.IntN(1000), quota: time.Duration(cores * float64(quotaPeriod)),
			limiter: rate.NewLimiter(rate.Inf, acceptBurst), forwarded: make([]int, small+large),
		})
	}
	return z
}

// acceptBurst is how many connections a VM accepts at once while they are limited.
const acceptBurst = 15

// vmOrder returns a random order in which callers try VMs, small ones first.
func (z *simZone) vmOrder() []int {
	order := z.rng.Perm(len(z.vms))
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(z.vms[a].quota, z.vms[b].quota) })
	return order
}

// run simulates the zone for a number of seconds.
func (z *simZone) run(seconds int) {
	for _, w := range z.workspaces {
		w.offered, w.served, w.failed = make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)
	}
	for end := time.Duration(seconds) * time.Second; z.elapsed < end; z.elapsed += simStep {
		for _, do := range z.scheduled[z.elapsed] {
			do()
		}
		delete(z.scheduled, z.elapsed)
		for _, w := range z.workspaces {
			z.generateCalls(w)
		}
		for _, v := range z.vms {
			z.step(v)
		}
	}
}

// schedule calls do after a delay.
func (z *simZone) schedule(delay time.Duration, do func()) {
	at := z.elapsed + max(delay.Round(simStep), simStep)
	z.scheduled[at] = append(z.scheduled[at], do)
}

func (z *simZone) second() int { return int(z.elapsed / time.Second) }

// generateCalls generates the calls of a workspace in this step.
func (z *simZone) generateCalls(w *simWorkspace) {
	for due := w.rate * simStep.Seconds(); due > 0; due-- {
		if due < 1 && z.rng.Float64() > due {
			return
		}
		w.offered[z.second()]++
		c := &simCall{workspace: w, since: z.elapsed, deadline: z.elapsed + callerTimeout}
		if c.conn = z.takeIdleConn(w); c.conn == nil {
			z.connect(c)
			continue
		}
		c.conn.acceptedBy.enqueue(func() (time.Duration, func()) { return z.handleCall(c) })
	}
}

// takeIdleConn returns a random idle connection of a workspace, or nil if there is none.
func (z *simZone) takeIdleConn(w *simWorkspace) *simConn {
	last := len(w.idleConns) - 1
	if last < 0 {
		return nil
	}
	i := z.rng.IntN(last + 1)
	found := w.idleConns[i]
	w.idleConns[i], w.idleConns = w.idleConns[last], w.idleConns[:last]
	return found
}

// connect sends a call to a VM on a new connection.
func (z *simZone) connect(c *simCall) {
	v := z.vms[z.rng.IntN(len(z.vms))]
	if c.try < len(c.workspace.vmOrders) {
		inUse := z.inUse()
		for _, i := range c.workspace.vmOrders[c.try] {
			if inUse[i] {
				v = z.vms[i]
				break
			}
		}
	}
	if len(v.acceptQueue) >= z.acceptBacklog {
		z.schedule(callerTimeout, func() { z.giveUp(c) }) // the connection attempt is not answered
		return
	}
	v.acceptQueue = append(v.acceptQueue, c)
}

// giveUp ends a call whose connection attempt has timed out.
func (z *simZone) giveUp(c *simCall) { c.workspace.failed[z.second()]++ }

// inUse reports which VMs the balancer uses: the ready ones, or all if fewer than half
// are ready.
func (z *simZone) inUse() []bool {
	inUse, ready := make([]bool, len(z.vms)), 0
	for i, v := range z.vms {
		inUse[i] = v.failedProbes < 2
		if inUse[i] {
			ready++
		}
	}
	for i := range inUse {
		inUse[i] = inUse[i] || 2*ready < len(inUse)
	}
	return inUse
}

// step simulates one step of a VM.
func (z *simZone) step(v *simVM) {
	ms := int(z.elapsed/simStep) + v.phase
	period := int(quotaPeriod / simStep)
	if ms%period == 0 {
		v.quotaLeft = min(v.quotaLeft, 0) + v.quota
	}
	v.probeDue = v.probeDue || ms%int(tick/simStep) == 0
	if v.probeDue && v.quotaLeft > 0 {
		v.observe(z.now(), time.Duration(period-ms%period)*simStep, z.forwards != nil && z.forwards(v))
	}
	if ms%int(time.Second/simStep) == 0 {
		v.failedProbes++
		if !v.overloaded {
			v.failedProbes = 0
		}
	}
	pending := v.schedLatency(time.Duration(period-ms%period) * simStep)
	v.limiter.SetLimitAt(z.now(), min(acceptRateLimit(v.detector.MeanLatency()), acceptRateLimit(pending)))
	z.accept(v)
	v.run()
}

// accept accepts queued connections up to the rate limit, the newest first while there is one. A
// connection whose caller has disconnected, or has waited for too long, costs little.
func (z *simZone) accept(v *simVM) {
	limited := v.limiter.Limit() != rate.Inf
	for len(v.acceptQueue) > 0 && v.quotaLeft > 0 {
		oldest := v.acceptQueue[0]
		switch waited := z.elapsed - oldest.since; {
		case oldest.deadline <= z.elapsed:
			v.acceptQueue = v.acceptQueue[1:]
			v.quotaLeft -= toCoreTime(closeTime)
			oldest.workspace.failed[z.second()]++
			continue
		case limited && z.newestFirst && waited > overload.StaleAfter:
			v.acceptQueue = v.acceptQueue[1:]
			v.quotaLeft -= toCoreTime(closeTime)
			z.retry(oldest)
			continue
		}
		if !v.limiter.AllowN(z.now(), 1) {
			return
		}
		c := z.nextConn(v, limited)
		v.newConns++
		v.enqueue(func() (time.Duration, func()) { return z.open(v, c) })
	}
}

// nextConn takes the connection to serve next from the queue.
func (z *simZone) nextConn(v *simVM, limited bool) *simCall {
	if last := len(v.acceptQueue) - 1; limited && z.newestFirst {
		c := v.acceptQueue[last]
		v.acceptQueue = v.acceptQueue[:last]
		return c
	}
	c := v.acceptQueue[0]
	v.acceptQueue = v.acceptQueue[1:]
	return c
}

// open decides which VM serves a connection that v has accepted, and handles its first
// call.
func (z *simZone) open(v *simVM, c *simCall) (work time.Duration, done func()) {
	to := z.placer.place(v.index, v.shedFraction, v.forwarded, z.rng)
	c.conn = &simConn{acceptedBy: v, servedBy: z.vms[to]}
	v.forwarded[to]++
	if to != v.index {
		z.forwardedConns++
	}
	return z.handleCall(c)
}

// handleCall handles a call at the VM that accepted its connection: the VM forwards or
// answers it.
func (z *simZone) handleCall(c *simCall) (work time.Duration, done func()) {
	if c.conn.acceptedBy == c.conn.servedBy {
		return z.serveOrRefuse(c)
	}
	return z.forwardTime, func() {
		c.conn.servedBy.enqueue(func() (time.Duration, func()) { return z.serveOrRefuse(c) })
	}
}

// serveOrRefuse refuses a call for lack of processor time or because its workspace has
// used up its rate, or serves it.
func (z *simZone) serveOrRefuse(c *simCall) (work time.Duration, done func()) {
	shed := c.deadline <= z.elapsed || z.rng.Float64() < overload.ShedFractionFor(c.conn.servedBy.shedFraction, c.conn.requests == 0)
	if shed {
		c.conn.servedBy.sheds++
	}
	if shed || !c.workspace.limiter.AllowN(z.now(), 1) {
		return refuseTime, func() { z.fail(c) }
	}
	return serveTime, func() { z.dispatch(c) }
}

// dispatch passes a call that a VM has read to a target unless its caller has
// disconnected.
func (z *simZone) dispatch(c *simCall) {
	if c.deadline <= z.elapsed {
		z.fail(c)
		return
	}
	c.workspace.served[z.second()]++
	c.workspace.total++
	if z.elapsed-c.since <= servedInTime {
		c.workspace.inTime++
	}
	c.conn.requests++
	if z.events > 0 {
		z.stream(c, z.events)
		return
	}
	if kept := z.rng.Float64() < keepAliveFraction; kept && c.conn.acceptedBy == c.conn.servedBy {
		c.workspace.idleConns = append(c.workspace.idleConns, c.conn)
		return
	}
	c.conn.close()
}

// fail closes a call's connection and lets its caller retry once.
func (z *simZone) fail(c *simCall) {
	c.conn.close()
	z.retry(c)
}

// retry ends an attempt, and lets its caller retry once.
func (z *simZone) retry(c *simCall) {
	c.workspace.failed[z.second()]++
	if c.try > 0 || c.deadline <= z.elapsed {
		return
	}
	retry := &simCall{workspace: c.workspace, try: c.try + 1, deadline: c.deadline}
	z.schedule(overload.ImmediateRetryDelay, func() {
		retry.since = z.elapsed
		z.connect(retry)
	})
}

func (k *simConn) close() { k.acceptedBy.forwarded[k.servedBy.index]-- }
