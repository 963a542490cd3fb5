package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/shutdown"
)

// gracePhase is the part of its processing that a request is in, which determines when a graceful shutdown ends it.
type gracePhase int

const (
	// graceReceiving is the reading of the body. It ends when the request can't be sent to a target any more.
	graceReceiving gracePhase = iota
	// graceWaiting is the wait for a target. It ends at the same time.
	graceWaiting
	// graceRunning is an attempt at a target. It ends when the response must be complete.
	graceRunning
)

// graceLimit is the bound of one request. The zero value has not been added to a limiter.
type graceLimit struct {
	mu    sync.Mutex
	phase gracePhase
	// end ends the request in its present phase.
	end   func()
	timer *time.Timer
	// over is set once end was called.
	over bool
	// removed is set once end must not be called any more.
	removed bool
}

// graceLimiter ends the requests that can't be completed before the end of the grace period of a graceful shutdown.
// It is safe for concurrent use.
type graceLimiter struct {
	// plan is nil until a graceful shutdown with a known end begins.
	plan atomic.Pointer[shutdown.Plan]
	// meanDurations holds a shutdown.MeanDuration for the name of each route.
	meanDurations sync.Map
	// unreceived counts the requests that were refused while their bodies arrived.
	unreceived atomic.Int64
	// waiting counts those that were refused before they were sent to a target.
	waiting atomic.Int64
	// unanswered counts those that were ended at a target before their responses had begun.
	unanswered atomic.Int64
	// cut counts those that were ended after their responses had begun.
	cut atomic.Int64

	mu sync.Mutex
	// requests are those that have been added and not removed.
	requests map[*proxyRequest]bool
}

func newGraceLimiter() *graceLimiter {
	return &graceLimiter{requests: map[*proxyRequest]bool{}}
}

// BeginStop bounds all requests by the end of a graceful shutdown, also those that are in progress.
func (s *Server) BeginStop(plan shutdown.Plan) {
	if plan.Bounded() {
		s.grace.begin(&plan)
	}
}

// LogGrace logs how many requests were refused or ended because of the end of the grace period, if there were any.
// Forwarded is the number of connections that were ended while neighbours served them.
func (s *Server) LogGrace(forwarded int64) {
	g := s.grace
	unreceived, waiting, unanswered, cut := g.unreceived.Load(), g.waiting.Load(), g.unanswered.Load(), g.cut.Load()
	if unreceived+waiting+unanswered+cut+forwarded > 0 {
		event.GraceOver.Log(s.Log, "unreceived", unreceived, "waiting", waiting, "unanswered", unanswered, "cut", cut, "passed_on", forwarded)
	}
}

// meanDuration returns the mean duration of the requests of a route.
func (l *graceLimiter) meanDuration(name string) *shutdown.MeanDuration {
	mean, known := l.meanDurations.Load(name)
	if !known {
		mean, _ = l.meanDurations.LoadOrStore(name, &shutdown.MeanDuration{})
	}
	return mean.(*shutdown.MeanDuration)
}

// observe records how long a complete response took. Of a stream that another daemon can continue, only the time to its first event
// counts.
func (l *graceLimiter) observe(pr *proxyRequest, r attemptResult, elapsed time.Duration) {
	if r.failure != nil {
		return
	}
	if pr.route.Retry == route.Stream && pr.route.Resumable {
		elapsed = r.firstByteTime
	}
	l.meanDuration(pr.route.Name).Observe(elapsed)
}

// dispatchUntil returns until when a request may be sent to a target.
func (l *graceLimiter) dispatchUntil(plan *shutdown.Plan, pr *proxyRequest) time.Time {
	return plan.DispatchUntil(pr.deadline, l.meanDuration(pr.route.Name).Value())
}

// tooLate reports whether the daemon stops too early for the request to be sent to a target.
func (l *graceLimiter) tooLate(pr *proxyRequest) bool {
	plan := l.plan.Load()
	return plan != nil && !plan.MayDispatch(time.Now(), pr.deadline, l.meanDuration(pr.route.Name).Value())
}

// refuse counts a request that is not sent to a target because the daemon stops, and returns its failure.
func (l *graceLimiter) refuse(outcome resultcode.Outcome) *resultcode.Failure {
	l.waiting.Add(1)
	return correctOutcome(resultcode.Fail(resultcode.Stopping, "its response can't be expected in time"), outcome)
}

// ended counts a request that was ended because the process is about to be killed, and returns its failure.
func (l *graceLimiter) ended(pr *proxyRequest, outcome resultcode.Outcome) *resultcode.Failure {
	switch {
	case outcome == resultcode.NotRun && !pr.responseStarted:
		return l.refuse(outcome)
	case pr.responseStarted:
		l.cut.Add(1)
	default:
		l.unanswered.Add(1)
	}
	return resultcode.Fail(resultcode.DaemonStopped, "after %s", time.Since(pr.arrived).Round(time.Millisecond))
}

// begin sets the plan and bounds the requests that are in progress.
func (l *graceLimiter) begin(plan *shutdown.Plan) {
	l.plan.Store(plan)
	l.mu.Lock()
	defer l.mu.Unlock()
	for pr := range l.requests {
		pr.grace.mu.Lock()
		l.arm(plan, pr)
		pr.grace.mu.Unlock()
	}
}

// add bounds a request by the end of a graceful shutdown, until it is removed.
func (l *graceLimiter) add(pr *proxyRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[pr] = true
}

// remove removes the bound of a request.
func (l *graceLimiter) remove(pr *proxyRequest) {
	l.mu.Lock()
	delete(l.requests, pr)
	l.mu.Unlock()
	pr.grace.mu.Lock()
	defer pr.grace.mu.Unlock()
	pr.grace.removed = true
	if pr.grace.timer != nil {
		pr.grace.timer.Stop()
	}
}

// enter begins a phase of a request, in which the request is ended by calling end, or not at all if end is nil. The
// function of the previous phase is not called any more.
func (l *graceLimiter) enter(pr *proxyRequest, phase gracePhase, end func()) {
	pr.grace.mu.Lock()
	defer pr.grace.mu.Unlock()
	pr.grace.phase, pr.grace.end = phase, end
	if plan := l.plan.Load(); plan != nil {
		l.arm(plan, pr)
	}
}

// arm sets the timer for the end of the phase. The caller holds the lock of the limit.
func (l *graceLimiter) arm(plan *shutdown.Plan, pr *proxyRequest) {
	left := time.Until(l.phaseEnd(plan, pr))
	switch {
	case pr.grace.removed || pr.grace.over:
	case pr.grace.timer == nil:
		pr.grace.timer = time.AfterFunc(left, func() { l.expire(plan, pr) })
	default:
		pr.grace.timer.Reset(left)
	}
}

// phaseEnd returns when the present phase of the request ends. The caller holds the lock of the limit.
func (l *graceLimiter) phaseEnd(plan *shutdown.Plan, pr *proxyRequest) time.Time {
	if pr.grace.phase == graceRunning {
		return plan.AnswerBy()
	}
	return l.dispatchUntil(plan, pr)
}

// expire ends a request, unless it has entered a phase that ends later.
func (l *graceLimiter) expire(plan *shutdown.Plan, pr *proxyRequest) {
	pr.grace.mu.Lock()
	defer pr.grace.mu.Unlock()
	switch {
	case pr.grace.removed || pr.grace.over || pr.grace.end == nil:
	case time.Now().Before(l.phaseEnd(plan, pr)):
		l.arm(plan, pr)
	default:
		pr.grace.over = true
		pr.grace.end()
	}
}

// isOver reports whether the request was ended because the daemon stops.
func (g *graceLimit) isOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}
