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

// maxUnsent bounds the tries of one request that fail before a byte leaves, such
// as at a target that refuses connections. They cost targets nothing.
const maxUnsent = 3

// result is how an attempt at one target ended.
type result struct {
	// failure is nil after a complete answer.
	failure *resultcode.Failure
	// sent tells that bytes of the request may have reached the target.
	sent bool
	// status is that of the target's answer; zero where none arrived.
	status int
	// targetFailed tells that the target or the way to it failed, or that the
	// target refused what its owner thought it could take.
	targetFailed bool
	// answer is a failure of the target's own, held back while another target may
	// do better.
	answer *held
	served float64
	first  time.Duration
	// events counts those of a stream that came in this attempt.
	events int
}

// leastEvents is how many events tell a mean pause between them.
const leastEvents = 4

// pause is the mean time between the events of a whole stream; zero: not known.
func (r *result) pause(elapsed time.Duration) time.Duration {
	if r.failure != nil || r.events < leastEvents {
		return 0
	}
	return (elapsed - r.first) / time.Duration(r.events-1)
}

// held is an answer that is not handed over yet.
type held struct {
	status int
	header http.Header
	body   []byte
}

// run brings a request to its end: an answer, or one final failure.
func (s *Server) run(ctx context.Context, j *job) *resultcode.Failure {
	ctx, cancel := context.WithDeadline(ctx, j.until)
	defer cancel()
	j.leave = cancel
	s.accepted(j.service.Name, j.arrived)
	defer s.settled(j)
	outcome := resultcode.NotRun
	for {
		placed, began := s.place(ctx, j)
		s.settled(j)
		if placed.Failure != nil {
			return s.unplaced(ctx, j, placed.Failure, outcome)
		}
		if s.Gone(ctx) {
			s.Placer.Finish(j.id, booking.Result{})
			return resultcode.Fail(resultcode.CallerGone, "")
		}
		if s.heldTooLong(j) {
			s.Placer.Finish(j.id, booking.Result{})
			return busy()
		}
		r := s.try(ctx, j, placed.Target, began)
		if r.failure == nil {
			return nil
		}
		outcome = retry.WorstOutcome(outcome, r.failure.Code.Outcome)
		if ctx.Err() != nil {
			return s.expired(ctx, j, outcome)
		}
		if !s.again(j, r, placed.Target) {
			return s.final(j, r, outcome)
		}
	}
}

// heldTooLong tells whether a request has waited in this daemon for so long that its
// answer can't be in time.
//
// On a daemon that does not keep up a request that was read may wait for its turns until
// its caller leaves, and the close waits as long to be noticed: the engine would work on
// for nobody. The caller is sent elsewhere instead, where it may be served at least.
func (s *Server) heldTooLong(j *job) bool {
	return j.trace.sends == 0 && time.Now().After(j.plan.Due) && s.Busy()
}

// place finds a target.
func (s *Server) place(ctx context.Context, j *job) (control.Placement, time.Time) {
	asked := time.Now()
	request := booking.Request{
		ID: j.id, Service: j.service.Name, Workspace: j.workspace,
		Deadline: j.plan.Due, Late: j.plan.Late, PreviouslyPlaced: j.trace.sends > 0, OwnerContacted: j.trace.sends+j.trace.unsent > 0, Avoid: j.trace.avoid,
	}
	if j.service.Model {
		request.Prompt, request.Output, request.Parts = j.call.PromptTokens, j.call.OutputTokens, j.call.Parts
	}
	if request.PreviouslyPlaced {
		request.Deadline = j.until
	}
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanPlace)
	placed := s.Placer.Place(ctx, request)
	span.End()
	began := time.Now()
	j.trace.waited += began.Sub(asked)
	j.trace.basis = placed.Basis
	s.Metrics.Wait(j.service.Name, string(j.route.Repeat), began.Sub(asked))
	return placed, began
}

// try sends the request to one target and gives the slot back.
func (s *Server) try(ctx context.Context, j *job, id ident.Target, began time.Time) result {
	entry, known := s.targets.Load().ByIdentity[id]
	if !known || entry.Draining || entry.Service != j.service.Name {
		s.Placer.Finish(j.id, booking.Result{NotRun: true})
		j.trace.unsent++ // else it would be placed there again and again until its time is up
		return result{failure: resultcode.Fail(resultcode.NoTarget, "target %s is gone", id)}
	}
	j.trace.target = id
	var r result
	ended := false
	defer func() {
		// A panic on the way would keep the slot for good.
		if !ended {
			s.Placer.Finish(j.id, booking.Result{})
		}
	}()
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanTarget, trace.WithAttributes(attribute.String("target", string(id))))
	r = s.exchange(ctx, j, entry, began)
	span.End()
	ended = true
	s.report(j, entry, r, time.Since(began))
	return r
}

// report tells the scheduler and the metrics how an attempt ended.
func (s *Server) report(j *job, entry registry.Entry, r result, elapsed time.Duration) {
	notRun := r.failure != nil && r.failure.Code.Outcome == resultcode.NotRun
	s.Placer.Finish(j.id, booking.Result{Elapsed: elapsed, Failed: r.targetFailed, NotRun: notRun, EventInterval: r.pause(elapsed)})
	if r.sent {
		j.trace.sends++
		if !notRun {
			j.trace.runs++
		}
	} else {
		j.trace.unsent++
	}
	j.trace.first = r.first
	if r.first > 0 {
		s.Metrics.First(entry.Service, r.first)
	}
	s.Metrics.Served(entry.Service, j.workspace, int64(r.served))
}

// again decides whether another target follows.
func (s *Server) again(j *job, r result, target ident.Target) bool {
	if !r.sent && j.trace.unsent > maxUnsent {
		return false
	}
	// An engine's failure counts as run; a repeatable request may run again.
	outcome := r.failure.Code.Outcome
	if outcome == resultcode.Ran {
		outcome = resultcode.MayHaveRun
	}
	reason := retry.ReasonAgainst(retry.Attempt{
		Outcome: outcome, Status: r.status,
		Attempts: j.trace.sends, Runs: j.trace.runs,
		Delivered:  j.began && !(j.route.Repeat == route.Stream && j.route.Resumable),
		Repeatable: j.route.Repeatable(),
		CallerGone: r.failure.Code == resultcode.CallerGone,
	}, j.route.Attempts, j.route.Attempts)
	if reason != "" {
		return false
	}
	if r.sent && !s.mayRepeat(j.service.Name, time.Now()) {
		return false
	}
	if !slices.Contains(j.trace.avoid, target) {
		j.trace.avoid = append(j.trace.avoid, target)
	}
	s.Metrics.Retry(j.service.Name)
	return true
}

// final is the last word on a request that no other target follows.
func (s *Server) final(j *job, r result, outcome resultcode.Outcome) *resultcode.Failure {
	if r.answer != nil && !j.began {
		s.handOver(j, r.answer)
		return nil
	}
	return truthful(r.failure, outcome)
}

// truthful keeps a refusal from saying "not run" after an earlier attempt that
// may have run.
func truthful(f *resultcode.Failure, outcome resultcode.Outcome) *resultcode.Failure {
	if f.Code.Outcome == resultcode.NotRun && outcome != resultcode.NotRun {
		return resultcode.Fail(resultcode.ConnectionLost, "an earlier attempt may have run").Because(f)
	}
	return f
}

// unplaced is the answer to a request that got no target.
func (s *Server) unplaced(ctx context.Context, j *job, f *resultcode.Failure, outcome resultcode.Outcome) *resultcode.Failure {
	if ctx.Err() != nil {
		return s.expired(ctx, j, outcome)
	}
	return truthful(f, outcome)
}

// callerLeft tells whether the request has ended because its caller left.
func callerLeft(ctx context.Context, j *job) bool {
	return errors.Is(ctx.Err(), context.Canceled) || j.in.Context().Err() != nil
}

// expired tells a caller that left from one whose time is up.
func (s *Server) expired(ctx context.Context, j *job, outcome resultcode.Outcome) *resultcode.Failure {
	if callerLeft(ctx, j) {
		return resultcode.Fail(resultcode.CallerGone, "")
	}
	if outcome == resultcode.NotRun {
		return resultcode.Fail(resultcode.DeadlineUnmet, "the time is up after %s", time.Since(j.arrived).Round(time.Millisecond))
	}
	return resultcode.Fail(resultcode.TargetStalled, "the time is up after %s", time.Since(j.arrived).Round(time.Millisecond))
}
