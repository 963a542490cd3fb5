package ingress

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// runAttempts queues a job until a target is assigned and runs it there. If the
// attempt fails and the retry policy allows it, the job is retried on another
// target. A preempted job is queued again.
func (s *Server) runAttempts(ctx context.Context, j *job, hold *claim.Hold) *resultcode.Failure {
	if !j.deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, j.deadline)
		defer cancel()
		ctx = bounded
	}
	request := scheduler.Request{
		ID: j.w.requestID, Service: j.serviceName(), Workspace: j.workspace,
		Class: schedulerClass(j.operation.Class), Cost: j.cost, Deadline: j.deadline, Prefix: j.prefixHash,
		Preemptible: j.preemptible,
	}
	s.retryPolicies.accepted(j.serviceName())
	var history attemptHistory
	for {
		placed := s.awaitPlacement(ctx, j, request, history.attempts+j.preemptions > 0)
		if placed.Failure != nil {
			return history.add(notRunResult(placed.Failure)).Failure
		}
		target := placed.Target
		last := s.dispatch(ctx, j, placed, hold)
		if last.Preempted {
			history.addPreempted(last)
			request.Preemptions, request.PriorServed = j.preemptions, j.priorServed
			continue
		}
		overall := history.add(last)
		if last.Failure == nil || !s.retryAfterBackoff(ctx, j, hold, last, history) {
			return overall.Failure
		}
		request.Avoid = extendAvoided(request.Avoid, target, len(j.service.Document.Targets))
		s.Metrics.Retry(j.serviceName())
	}
}

// extendAvoided adds a failed target to those that the next attempt must not use.
// Once every target has failed, all except the last one are allowed again: a
// request that avoids all targets would wait until its deadline although there
// are idle slots.
func extendAvoided(avoided []ident.Target, failed ident.Target, targetCount int) []ident.Target {
	switch {
	case len(avoided)+1 < targetCount:
		return append(avoided, failed)
	case targetCount > 1:
		return []ident.Target{failed}
	}
	return nil
}

// retryAfterBackoff reports whether to make another attempt. If so, it returns
// after the backoff.
func (s *Server) retryAfterBackoff(ctx context.Context, j *job, hold *claim.Hold, last attempt.Result, history attemptHistory) bool {
	decision := s.retryPolicies.decide(j.serviceName(), retry.Attempt{
		Outcome: last.Outcome, Status: last.Status,
		Attempts: history.attempts, Runs: history.runs,
		Delivered: j.delivered(last), Repeatable: j.repeatable(),
		CallerGone: ctx.Err() != nil, TimeLeft: j.timeLeft(time.Now()),
	})
	if !decision.Retry {
		return false
	}
	if hold != nil && !hold.MarkNotRun() {
		return false
	}
	return clock.Sleep(ctx, clock.Real, decision.Backoff)
}

// awaitPlacement queues the job until a target is granted.
func (s *Server) awaitPlacement(ctx context.Context, j *job, request scheduler.Request, requeue bool) control.Assignment {
	queueCtx, span := s.Tracing.Start(ctx, telemetry.SpanQueue)
	defer span.End()
	queuedAt := time.Now()
	stopHeartbeat := j.startHeartbeat(heartbeatInterval)
	placed := s.Placer.Place(ctx, request, requeue)
	stopHeartbeat()
	if placed.Failure != nil {
		return control.Assignment{Failure: s.placementFailure(ctx, placed.Failure)}
	}
	_, grant := s.Tracing.Start(queueCtx, telemetry.SpanGrant, trace.WithAttributes(
		attribute.String("target", string(placed.Target)),
	))
	grant.End()
	s.Metrics.QueueWait(j.serviceName(), string(j.operation.Class), time.Since(queuedAt))
	return placed
}

// placementFailure distinguishes an expired deadline from a caller that
// disconnected.
func (s *Server) placementFailure(ctx context.Context, f *resultcode.Failure) *resultcode.Failure {
	if f.Code == resultcode.CallerGone && ctx.Err() == context.DeadlineExceeded {
		return resultcode.Fail(resultcode.DeadlinePassed, "")
	}
	return f
}

// dispatch runs one attempt on the granted target and then releases the slot.
func (s *Server) dispatch(ctx context.Context, j *job, placed control.Assignment, hold *claim.Hold) attempt.Result {
	target := placed.Target
	address, known := targetAddress(j.service, target)
	if current, ok := s.Store.Snapshot().Service(j.serviceName()); ok && !known {
		address, known = targetAddress(current, target)
	}
	if !known {
		s.Placer.Finish(j.w.requestID, scheduler.Result{NotRun: true})
		return notRunResult(resultcode.Fail(resultcode.NoTarget, "target %s has no address", target))
	}
	if hold != nil {
		if err := hold.Start(time.Now()); err != nil {
			s.Placer.Finish(j.w.requestID, scheduler.Result{NotRun: true})
			return notRunResult(asFailure(err))
		}
	}
	finished := false
	defer func() {
		// After a panic the slot would otherwise never be released.
		if !finished {
			s.Placer.Finish(j.w.requestID, scheduler.Result{})
		}
	}()
	ctx, stopWatching := withPreemption(ctx, placed.Preempted)
	defer stopWatching()
	result := j.runAttempt(ctx, ident.NewAttempt(), address)
	finished = true
	s.reportResult(j, target, result)
	return result
}

// targetAddress returns the address of a target according to the service document.
func targetAddress(service *config.Service, target ident.Target) (string, bool) {
	for _, t := range service.Document.Targets {
		if t.Name == target {
			return t.Address, true
		}
	}
	return "", false
}

func notRunResult(f *resultcode.Failure) attempt.Result {
	return attempt.Result{Outcome: resultcode.NotRun, Failure: f}
}

func asFailure(err error) *resultcode.Failure {
	if f, ok := err.(*resultcode.Failure); ok {
		return f
	}
	return resultcode.Fail(resultcode.StoreUnavailable, "").WithCause(err)
}

// reportResult reports the result of an attempt to the scheduler and the metrics.
func (s *Server) reportResult(j *job, target ident.Target, result attempt.Result) {
	served := j.servedCost(result)
	s.Placer.Finish(j.w.requestID, scheduler.Result{
		Served:    served,
		Elapsed:   result.Elapsed,
		FirstByte: result.FirstByte,
		Failed:    result.TargetFailed,
		NotRun:    result.Outcome == resultcode.NotRun,
		Preempted: result.Preempted,
	})
	if result.Leaving {
		s.Placer.TargetHealth(j.serviceName(), target, scheduler.HealthLeaving)
	}
	if result.Preempted {
		j.preemptions++
		j.priorServed += served
		s.Metrics.Preempted(j.serviceName(), j.reprocessedTokens())
	}
	if result.Outcome == resultcode.NotRun {
		return
	}
	if result.FirstByte > 0 && j.preemptions == 0 {
		s.Metrics.FirstByte(j.serviceName(), result.FirstByte)
	}
	s.Metrics.Served(j.serviceName(), j.workspace, int64(served))
	if result.Failure == nil {
		s.costs.observe(j.estimateKey(), j.priorServed+served)
	}
}
