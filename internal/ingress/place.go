package ingress

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/retry"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// place queues a job until it has a target and runs it there. A failed attempt
// is followed by another, on another target, where the retry policy allows it.
func (s *Server) place(ctx context.Context, j *job, hold *claim.Hold) *resultcode.Failure {
	if !j.deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, j.deadline)
		defer cancel()
		ctx = bounded
	}
	request := scheduler.Request{
		ID: j.w.request, Service: j.name(), Workspace: j.workspace,
		Class: class(j.operation.Class), Cost: j.cost, Deadline: j.deadline, Prefix: j.prefix,
		Preemptible: j.stoppable,
	}
	s.retries.accepted(j.name())
	var tried history
	for {
		placed := s.wait(ctx, j, request, tried.attempts+j.stops > 0)
		if placed.Failure != nil {
			return tried.add(notRun(placed.Failure)).Failure
		}
		target := placed.Target
		last := s.try(ctx, j, placed, hold)
		if last.Preempted {
			tried.stopped(last)
			request.Preemptions, request.PriorServed = j.stops, j.earlier
			continue
		}
		total := tried.add(last)
		if last.Failure == nil || !s.again(ctx, j, hold, last, tried) {
			return total.Failure
		}
		request.Avoid = avoid(request.Avoid, target, len(j.service.Document.Targets))
		s.Metrics.Retry(j.name())
	}
}

// avoid adds a target to those that the next attempt must not use. Once every
// target has failed, all but the last are allowed again: a request that avoids
// all of them would wait until its deadline beside idle slots.
func avoid(tried []ident.Target, last ident.Target, targets int) []ident.Target {
	switch {
	case len(tried)+1 < targets:
		return append(tried, last)
	case targets > 1:
		return []ident.Target{last}
	}
	return nil
}

// again tells whether another attempt follows, after the wait that goes before
// it.
func (s *Server) again(ctx context.Context, j *job, hold *claim.Hold, last attempt.Result, tried history) bool {
	decision := s.retries.decide(j.name(), retry.Attempt{
		Outcome: last.Outcome, Status: last.Status,
		Attempts: tried.attempts, Runs: tried.runs,
		Delivered: j.delivered(last), Repeatable: j.repeatable(),
		CallerGone: ctx.Err() != nil, TimeLeft: j.left(time.Now()),
	})
	if !decision.Retry {
		return false
	}
	if hold != nil && !hold.MarkNotRun() {
		return false
	}
	timer := time.NewTimer(decision.Backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// wait holds the job in its queue until a target is granted.
func (s *Server) wait(ctx context.Context, j *job, request scheduler.Request, again bool) control.Assignment {
	queued, span := s.Tracing.Start(ctx, telemetry.SpanQueue)
	defer span.End()
	began := time.Now()
	alive := j.keepAlive(pauseHeartbeat)
	placed := s.Placer.Place(ctx, request, again)
	alive()
	if placed.Failure != nil {
		return control.Assignment{Failure: s.waitFailure(ctx, placed.Failure)}
	}
	_, grant := s.Tracing.Start(queued, telemetry.SpanGrant, trace.WithAttributes(
		attribute.String("target", string(placed.Target)),
	))
	grant.End()
	s.Metrics.Wait(j.name(), string(j.operation.Class), time.Since(began))
	return placed
}

// waitFailure tells a passed deadline from a caller that left.
func (s *Server) waitFailure(ctx context.Context, f *resultcode.Failure) *resultcode.Failure {
	if f.Code == resultcode.CallerGone && ctx.Err() == context.DeadlineExceeded {
		return resultcode.Fail(resultcode.DeadlinePassed, "")
	}
	return f
}

// try runs one attempt on a granted target and gives the slot back.
func (s *Server) try(ctx context.Context, j *job, placed control.Assignment, hold *claim.Hold) attempt.Result {
	target := placed.Target
	to, known := address(j.service, target)
	if current, ok := s.Store.Snapshot().Service(j.name()); ok && !known {
		to, known = address(current, target)
	}
	if !known {
		s.Placer.Finish(j.w.request, scheduler.Result{NotRun: true})
		return notRun(resultcode.Fail(resultcode.NoTarget, "target %s has no address", target))
	}
	if hold != nil {
		if err := hold.Start(time.Now()); err != nil {
			s.Placer.Finish(j.w.request, scheduler.Result{NotRun: true})
			return notRun(asFailure(err))
		}
	}
	ended := false
	defer func() {
		// A panic on the way would keep the slot for good.
		if !ended {
			s.Placer.Finish(j.w.request, scheduler.Result{})
		}
	}()
	ctx, end := stoppable(ctx, placed.Preempted)
	defer end()
	result := j.attempt(ctx, ident.NewAttempt(), to)
	ended = true
	s.report(j, target, result)
	return result
}

// address finds a target in a document.
func address(service *config.Service, target ident.Target) (string, bool) {
	for _, t := range service.Document.Targets {
		if t.Name == target {
			return t.Address, true
		}
	}
	return "", false
}

func notRun(f *resultcode.Failure) attempt.Result {
	return attempt.Result{Outcome: resultcode.NotRun, Failure: f}
}

func asFailure(err error) *resultcode.Failure {
	if f, ok := err.(*resultcode.Failure); ok {
		return f
	}
	return resultcode.Fail(resultcode.StoreUnavailable, "").WithCause(err)
}

// report tells the scheduler and the metrics how an attempt ended.
func (s *Server) report(j *job, target ident.Target, result attempt.Result) {
	served := j.served(result)
	s.Placer.Finish(j.w.request, scheduler.Result{
		Served:    served,
		Elapsed:   result.Elapsed,
		FirstByte: result.FirstByte,
		Failed:    result.TargetFailed,
		NotRun:    result.Outcome == resultcode.NotRun,
		Preempted: result.Preempted,
	})
	if result.Leaving {
		s.Placer.TargetHealth(j.name(), target, scheduler.HealthLeaving)
	}
	if result.Preempted {
		j.stops++
		j.earlier += served
		s.Metrics.Preempted(j.name(), j.reread())
	}
	if result.Outcome == resultcode.NotRun {
		return
	}
	if result.FirstByte > 0 && j.stops == 0 {
		s.Metrics.First(j.name(), result.FirstByte)
	}
	s.Metrics.Served(j.name(), j.workspace, int64(served))
	if result.Failure == nil {
		s.estimates.observe(j.grain(), j.earlier+served)
	}
}
