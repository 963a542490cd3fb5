package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// maxUnsentAttempts bounds the attempts of one request that fail before a byte is sent, for
// example because the target refuses connections. Such attempts cost the targets nothing.
const maxUnsentAttempts = 3

// attemptResult describes how an attempt at one target ended.
type attemptResult struct {
	// failure is nil after a complete response.
	failure *resultcode.Failure
	// sent reports that bytes of the request may have reached the target.
	sent bool
	// status is the HTTP status of the target's response; zero if none arrived.
	status int
	// targetFailed reports that the target or the connection to it failed, or that the
	// target refused a request that its owner expected it to accept.
	targetFailed bool
	// isFinal reports that no other target can serve the request.
	isFinal bool
	// buffered is an error response of the target itself, not sent to the caller yet because
	// another target may succeed.
	buffered      *bufferedResponse
	cost          float64
	firstByteTime time.Duration
	// eventCount is the number of events of a stream received in this attempt.
	eventCount int
}

// minEventsForInterval is the minimum number of events for a meaningful mean interval.
const minEventsForInterval = 4

// eventInterval returns the mean time between the events of a complete stream; zero means
// unknown.
func (r *attemptResult) eventInterval(elapsed time.Duration) time.Duration {
	if r.failure != nil || r.eventCount < minEventsForInterval {
		return 0
	}
	return (elapsed - r.firstByteTime) / time.Duration(r.eventCount-1)
}

// bufferedResponse is a response that has not been sent to the caller yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run processes an accepted request until it has a response or a final failure.
func (s *Server) run(ctx context.Context, pr *proxyRequest) *resultcode.Failure {
	defer s.grace.remove(pr)
	ctx, cancel := context.WithDeadline(ctx, pr.deadline)
	defer cancel()
	pr.cancel = cancel
	s.creditRetryBudget(pr.service.Name, pr.arrived)
	defer s.releasePending(pr)
	outcome := resultcode.NotRun
	if failure := s.findOrigin(ctx, pr); failure != nil {
		return s.placementFailure(ctx, pr, failure, outcome)
	}
	for {
		if failure := s.heldBack(pr); failure != nil {
			return correctOutcome(failure, outcome)
		}
		if pr.grace.isOver() || s.grace.tooLate(pr) {
			return s.grace.refuse(outcome)
		}
		s.grace.enter(pr, graceWaiting, cancel)
		placement, dispatched := s.placeOrWait(ctx, pr)
		s.grace.enter(pr, graceRunning, cancel)
		s.releasePending(pr)
		if failure := s.checkPlacement(ctx, pr, placement, outcome); failure != nil {
			return failure
		}
		r := s.attempt(ctx, pr, placement.Target, dispatched)
		if r.failure == nil {
			return nil
		}
		outcome = retry.WorstOutcome(outcome, r.failure.Code.Outcome)
		if ctx.Err() != nil {
			return s.contextFailure(ctx, pr, outcome)
		}
		if !s.prepareRetry(pr, r, placement.Target) {
			return s.finalFailure(pr, r, outcome)
		}
	}
}

// checkPlacement returns the failure of a request that may not be sent to its target after the wait for a placement,
// and nil if it may. It releases a booking that is not used.
func (s *Server) checkPlacement(ctx context.Context, pr *proxyRequest, placement control.Placement, outcome resultcode.Outcome) *resultcode.Failure {
	if pr.grace.isOver() || s.grace.tooLate(pr) {
		if placement.Failure == nil {
			s.Placer.Finish(pr.id, booking.Result{NotRun: true})
		}
		return s.grace.refuse(outcome)
	}
	if placement.Failure != nil {
		return s.placementFailure(ctx, pr, placement.Failure, outcome)
	}
	if s.CallerGone(ctx) {
		s.Placer.Finish(pr.id, booking.Result{})
		return resultcode.Fail(resultcode.CallerGone, "")
	}
	if failure := s.heldBack(pr); failure != nil { // the request may have become held back during its wait
		s.Placer.Finish(pr.id, booking.Result{NotRun: true})
		return correctOutcome(failure, outcome)
	}
	if s.waitedTooLong(pr) {
		s.Placer.Finish(pr.id, booking.Result{})
		return busyFailure()
	}
	return nil
}

// waitedTooLong reports whether a request has waited in this daemon so long that its
// response cannot be in time any more.
//
// On a daemon that cannot keep up, a request that has been read may wait to be scheduled
// until its caller disconnects, and the disconnect is noticed just as late: the engine would
// work on a response that nobody receives. The caller is told to retry instead, as another
// daemon may still serve it.
func (s *Server) waitedTooLong(pr *proxyRequest) bool {
	return pr.stats.attempts == 0 && time.Now().After(pr.plan.Due) && s.Shedding()
}

// place has a target assigned to the request.
func (s *Server) place(ctx context.Context, pr *proxyRequest) (control.Placement, time.Time) {
	pr.placementStart = time.Now()
	request := booking.Request{
		ID: pr.id, Service: pr.service.Name, Workspace: pr.workspace,
		Deadline: pr.plan.Due, Late: pr.plan.Late, PreviouslyPlaced: pr.stats.attempts > 0 || pr.resumed.trusted,
		OwnerContacted: pr.stats.attempts+pr.stats.unsentAttempts > 0 || pr.takesUpStream(), Avoid: pr.stats.avoid, Regions: pr.regions, Paused: s.pauses(),
	}
	if pr.origin != nil {
		request.Pinned, request.Version = true, pr.origin.Version
	}
	if pr.service.ServesModel {
		request.Prompt, request.Output, request.Parts = pr.info.PromptTokens, pr.info.OutputTokens, pr.info.Parts
	}
	if request.PreviouslyPlaced {
		request.Deadline = pr.deadline
	}
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanPlace)
	placement := s.Placer.Place(ctx, request)
	span.End()
	dispatched := time.Now()
	pr.stats.placementTime += dispatched.Sub(pr.placementStart)
	pr.stats.basis = placement.Basis
	s.Metrics.QueueWait(pr.service.Name, string(pr.route.Retry), dispatched.Sub(pr.placementStart))
	return placement, dispatched
}

// attempt sends the request to one target and releases the slot afterwards.
func (s *Server) attempt(ctx context.Context, pr *proxyRequest, id ident.Target, dispatched time.Time) attemptResult {
	entry := s.targets.Load().ByIdentity[id]
	if failure := s.checkSend(pr, id); failure != nil {
		s.Placer.Finish(pr.id, booking.Result{NotRun: true})
		pr.stats.unsentAttempts++ // or it would be placed there again and again until its deadline
		return attemptResult{failure: failure}
	}
	pr.stats.target, pr.stats.version = id, entry.Version
	var r attemptResult
	ended := false
	defer func() {
		// Without this, a panic would leak the slot.
		if !ended {
			s.Placer.Finish(pr.id, booking.Result{})
		}
	}()
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanTarget, trace.WithAttributes(attribute.String("target", string(id))))
	r = s.exchange(ctx, pr, entry, dispatched)
	span.End()
	ended = true
	elapsed := time.Since(dispatched)
	s.reportAttempt(pr, entry, r, elapsed)
	s.observeRun(pr, entry, r, elapsed)
	return r
}

// reportAttempt passes the result of an attempt to the scheduler and the metrics.
func (s *Server) reportAttempt(pr *proxyRequest, entry registry.Entry, r attemptResult, elapsed time.Duration) {
	notRun := r.failure != nil && r.failure.Code.Outcome == resultcode.NotRun
	// While this daemon's own messages are late, a connection that fails or times out tells nothing about
	// the target; its owner would keep all other daemons away from it. A response does.
	failed := r.targetFailed && (r.status != 0 || s.OutOfTouch == nil || !s.OutOfTouch())
	s.Placer.Finish(pr.id, booking.Result{Elapsed: elapsed, Failed: failed, NotRun: notRun, EventInterval: r.eventInterval(elapsed)})
	if r.sent {
		pr.stats.attempts++
		if !notRun {
			pr.stats.runs++
		}
	} else {
		pr.stats.unsentAttempts++
	}
	pr.stats.firstByteTime = r.firstByteTime
	if r.firstByteTime > 0 {
		s.Metrics.FirstByte(entry.Service, r.firstByteTime)
	}
	s.grace.observe(pr, r, elapsed)
	s.Metrics.Served(entry.Service, pr.workspace, int64(r.cost))
}

// prepareRetry reports whether the request is retried at another target. If so, it takes the
// retry from the budget and excludes the failed target.
func (s *Server) prepareRetry(pr *proxyRequest, r attemptResult, target ident.Target) bool {
	if r.isFinal || !r.sent && pr.stats.unsentAttempts > maxUnsentAttempts || s.grace.tooLate(pr) {
		return false
	}
	// A request that failed in the engine has run, but a repeatable one may run again.
	outcome := r.failure.Code.Outcome
	if outcome == resultcode.Ran {
		outcome = resultcode.MayHaveRun
	}
	reason := retry.ReasonAgainst(retry.Attempt{
		Outcome: outcome, Status: r.status,
		Attempts: pr.stats.attempts, Runs: pr.stats.runs,
		Delivered:  pr.responseStarted && !(pr.route.Retry == route.Stream && pr.route.Resumable),
		Repeatable: pr.route.Repeatable(),
		CallerGone: r.failure.Code == resultcode.CallerGone,
	}, pr.route.MaxAttempts, pr.route.MaxAttempts)
	if reason != "" {
		return false
	}
	if r.sent && !s.takeRetry(pr.service.Name, time.Now()) {
		return false
	}
	if !slices.Contains(pr.stats.avoid, target) {
		pr.stats.avoid = append(pr.stats.avoid, target)
	}
	s.Metrics.Retry(pr.service.Name)
	return true
}

// finalFailure returns the failure of a request that is not retried, or nil if a buffered
// error response was sent to the caller instead.
func (s *Server) finalFailure(pr *proxyRequest, r attemptResult, outcome resultcode.Outcome) *resultcode.Failure {
	if r.buffered != nil && !pr.responseStarted {
		s.writeBuffered(pr, r.buffered)
		return nil
	}
	return correctOutcome(r.failure, outcome)
}

// correctOutcome replaces a failure whose outcome is "not run" if an earlier attempt may
// have run.
func correctOutcome(f *resultcode.Failure, outcome resultcode.Outcome) *resultcode.Failure {
	if f.Code.Outcome == resultcode.NotRun && outcome != resultcode.NotRun {
		return resultcode.Fail(resultcode.ConnectionLost, "an earlier attempt may have run").WithCause(f)
	}
	return f
}

// placementFailure returns the failure of a request that was not assigned a target.
func (s *Server) placementFailure(ctx context.Context, pr *proxyRequest, f *resultcode.Failure, outcome resultcode.Outcome) *resultcode.Failure {
	if ctx.Err() != nil {
		return s.contextFailure(ctx, pr, outcome)
	}
	return correctOutcome(f, outcome)
}

// callerGone reports whether the request ended because its caller disconnected, or because the daemon stops.
func callerGone(ctx context.Context, pr *proxyRequest) bool {
	return errors.Is(ctx.Err(), context.Canceled) || pr.inbound.Context().Err() != nil
}

// contextFailure returns the failure of a request whose context has ended: the caller
// disconnected or the deadline passed.
func (s *Server) contextFailure(ctx context.Context, pr *proxyRequest, outcome resultcode.Outcome) *resultcode.Failure {
	if pr.grace.isOver() && pr.inbound.Context().Err() == nil {
		return s.grace.ended(pr, outcome)
	}
	if callerGone(ctx, pr) {
		return resultcode.Fail(resultcode.CallerGone, "")
	}
	if outcome == resultcode.NotRun {
		return resultcode.Fail(resultcode.DeadlineUnmet, "the time is up after %s", time.Since(pr.arrived).Round(time.Millisecond))
	}
	return resultcode.Fail(resultcode.TargetStalled, "the time is up after %s", time.Since(pr.arrived).Round(time.Millisecond))
}
