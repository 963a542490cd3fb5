package ingress

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// maxAttempts bounds the targets that one request is offered to.
const maxAttempts = 4

// place queues a job until it has a target and runs it there. Only an attempt
// that did not run is repeated, within the retry budget, on another target.
func (s *Server) place(ctx context.Context, j *job, hold *claim.Hold) *resultcode.Failure {
	if !j.deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, j.deadline)
		defer cancel()
		ctx = bounded
	}
	request := scheduler.Request{
		ID: j.w.request, Service: j.name(), Workspace: j.workspace,
		Class: class(j.operation.Class), Cost: j.cost, Deadline: j.deadline, Prefix: j.prefix,
	}
	s.Budget.Request()
	for n := 1; ; n++ {
		target, failure := s.wait(ctx, j, request, n > 1)
		if failure != nil {
			return failure
		}
		result := s.try(ctx, j, target, hold)
		failure = result.Failure
		if failure == nil || !s.again(j, hold, result, n) {
			return failure
		}
		request.Avoid = append(request.Avoid, target)
		s.Metrics.Retry(j.name())
	}
}

// again tells whether the attempt may be repeated.
func (s *Server) again(j *job, hold *claim.Hold, result attempt.Result, n int) bool {
	if result.Outcome != resultcode.NotRun || j.w.began || n == maxAttempts {
		return false
	}
	if hold != nil && !hold.NotRun() {
		return false
	}
	return s.Budget.Take()
}

// wait holds the job in its queue until a target is granted.
func (s *Server) wait(ctx context.Context, j *job, request scheduler.Request, again bool) (ident.Target, *resultcode.Failure) {
	queued, span := s.Tracing.Start(ctx, telemetry.SpanQueue)
	defer span.End()
	began := time.Now()
	placed := s.Placer.Place(ctx, request, again)
	if placed.Failure != nil {
		return "", s.waitFailure(ctx, placed.Failure)
	}
	_, grant := s.Tracing.Start(queued, telemetry.SpanGrant, trace.WithAttributes(
		attribute.String("target", string(placed.Target)),
	))
	grant.End()
	s.Metrics.Wait(j.name(), string(j.operation.Class), time.Since(began))
	return placed.Target, nil
}

// waitFailure tells a passed deadline from a caller that left.
func (s *Server) waitFailure(ctx context.Context, f *resultcode.Failure) *resultcode.Failure {
	if f.Code == resultcode.CallerGone && ctx.Err() == context.DeadlineExceeded {
		return resultcode.Fail(resultcode.DeadlinePassed, "")
	}
	return f
}

// try runs one attempt on a granted target and gives the slot back.
func (s *Server) try(ctx context.Context, j *job, target ident.Target, hold *claim.Hold) attempt.Result {
	to, known := address(j.service, target)
	if current, ok := s.Store.Snapshot().Service(j.name()); ok && !known {
		to, known = address(current, target)
	}
	if !known {
		s.Placer.Finish(j.w.request, scheduler.Result{NotRun: true})
		return notRun(resultcode.Fail(resultcode.NoTarget, "target %s has no address", target))
	}
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanTarget, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", string(target))))
	defer span.End()
	header := http.Header{}
	s.Tracing.Propagator.Inject(ctx, propagation.HeaderCarrier(header))
	if hold != nil {
		if err := hold.Start(time.Now()); err != nil {
			s.Placer.Finish(j.w.request, scheduler.Result{NotRun: true})
			return notRun(asFailure(err))
		}
	}
	result := j.attempt(ctx, ident.NewAttempt(), to, header)
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
	return resultcode.Fail(resultcode.StoreUnavailable, "").Because(err)
}

// report tells the scheduler and the metrics how an attempt ended.
func (s *Server) report(j *job, target ident.Target, result attempt.Result) {
	served := j.served(result)
	s.Placer.Finish(j.w.request, scheduler.Result{
		Served:  served,
		Elapsed: result.Elapsed,
		First:   result.First,
		Failed:  result.TargetFailed,
		NotRun:  result.Outcome == resultcode.NotRun,
	})
	if result.Leaving {
		s.Placer.TargetHealth(j.name(), target, scheduler.HealthLeaving)
	}
	if result.Outcome == resultcode.NotRun {
		return
	}
	if result.First > 0 {
		s.Metrics.First(j.name(), result.First)
	}
	s.Metrics.Served(j.name(), j.workspace, int64(served))
	if result.Failure == nil {
		s.estimates.observe(j.grain(), served)
	}
}
