package ingress

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/claim"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/scheduler"
	"github.com/savorystall/savorystall/internal/telemetry"
)

// job is an accepted request on its way through the scheduler and to a target.
type job struct {
	w         *response
	service   *config.Service
	workspace ident.Workspace
	operation *document.Operation
	// cost is the estimate in units of the service.
	cost     float64
	method   string
	prefix   uint64
	arrived  time.Time
	deadline time.Time
	// key is the caller's Idempotency-Key, digest covers what it stands for.
	key    string
	digest []byte
	// attempt runs one attempt.
	attempt func(ctx context.Context, id ident.Attempt, address string) attempt.Result
	// finish writes what is left to write after a complete answer.
	finish func()
	// served returns the true cost of an attempt.
	served func(attempt.Result) float64
	// stoppable tells that the request can be stopped and go on later, streams
	// that its caller reads a stream.
	stoppable, streams bool
	// stops counts how often it was stopped, earlier is the cost of the attempts
	// that were, and reread returns the tokens that the next one reads again.
	stops   int
	earlier float64
	reread  func() int64
}

func (j *job) name() ident.Service { return j.service.Document.Service }

func (j *job) grain() estimateKey {
	return estimateKey{service: j.name(), operation: j.operation.Name}
}

// newJob fills in what follows from the document.
func (s *Server) newJob(w *response, r *http.Request, service *config.Service, ws ident.Workspace, op *document.Operation) *job {
	now := time.Now()
	deadline := op.Deadline
	if deadline == 0 {
		deadline = service.Document.Limits.Deadline
	}
	j := &job{w: w, service: service, workspace: ws, operation: op, arrived: now, method: r.Method, key: r.Header.Get(HeaderIdempotencyKey)}
	if deadline > 0 {
		j.deadline = now.Add(deadline)
	}
	return j
}

// digestOf covers everything that must be equal for two requests with one
// Idempotency-Key to be the same request.
func digestOf(r *http.Request, operation string, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), operation} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return h.Sum(nil)
}

// run brings a job to its end: the whole answer, or one final failure.
func (s *Server) run(r *http.Request, j *job) {
	ctx := s.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanIngress, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("service", string(j.name())),
		attribute.String("workspace", string(j.workspace)),
		attribute.String("request", string(j.w.request)),
	))
	defer span.End()
	failure := s.runOnce(ctx, j)
	if failure != nil {
		span.SetAttributes(attribute.Int("code", failure.Code.Number))
		s.answerFailure(j.w, j.name(), failure)
		return
	}
	j.finish()
	s.Metrics.Request(j.name(), "0")
}

// runOnce claims unrepeatable requests before they are placed.
func (s *Server) runOnce(ctx context.Context, j *job) *resultcode.Failure {
	if j.operation.KeyRequired && j.key == "" {
		return resultcode.Fail(resultcode.IdempotencyKeyRequired, "operation %s", j.operation.Name)
	}
	if !j.operation.Unrepeatable {
		return s.place(ctx, j, nil)
	}
	key := claim.Key{Service: j.name(), Workspace: j.workspace, IdempotencyKey: j.key}
	decision, err := s.Claims.Claim(ctx, key, j.digest, ident.NewAttempt())
	if err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").WithCause(err)
	}
	switch d := decision.(type) {
	case claim.Refuse:
		return d.Failure
	case claim.Replay:
		j.finish = func() { replay(j.w, d.Outcome) }
		return nil
	case claim.Proceed:
		return s.runHeld(ctx, j, d.Hold)
	}
	return resultcode.Fail(resultcode.StoreUnavailable, "the claim was not decided")
}

// HeaderReplayed marks the kept answer of an earlier run.
const HeaderReplayed = "X-Savorystall-Replayed"

func replay(w *response, o claim.Outcome) {
	for name, values := range o.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(o.StatusCode)
	_, _ = w.Write(o.Body)
}

// recordWait bounds how long the handler waits until the outcome is in the
// table; the write goes on after it.
const recordWait = 2 * time.Second

// runHeld runs a claimed request. It goes on when its caller leaves: the
// caller's repeat then gets the outcome, where a canceled run would leave one
// that nobody knows.
func (s *Server) runHeld(ctx context.Context, j *job, hold *claim.Hold) *resultcode.Failure {
	defer hold.Close()
	j.w.record = &record{}
	held := context.WithoutCancel(ctx)
	failure := s.place(held, j, hold)
	outcome := claim.Outcome{Result: resultcode.Ran}
	if failure != nil {
		outcome.Result = failure.Code.Outcome
	}
	if outcome.Result == resultcode.NotRun {
		hold.MarkNotRun() // false where it never started, which is as well
		if hold.Abandon() {
			return failure
		}
	}
	if failure == nil {
		j.finish()
		j.finish = func() {}
		outcome.HasResponse = !j.w.record.overflow
		outcome.StatusCode = j.w.status
		outcome.Header = keptHeader(j.w.Header())
		outcome.Body = j.w.record.body
	}
	wait, cancel := context.WithTimeout(held, recordWait)
	defer cancel()
	// The record goes on being written after the wait; the answer need not.
	_ = hold.Finish(wait, outcome)
	return failure
}

// keptHeader leaves out what belongs to one connection or one request.
func keptHeader(h http.Header) http.Header {
	kept := h.Clone()
	for _, name := range []string{HeaderRequest, "Date", "Connection", "Transfer-Encoding", "Content-Length"} {
		kept.Del(name)
	}
	return kept
}

// class maps the document's class to the scheduler's.
func class(c document.Class) scheduler.Class {
	switch c {
	case document.Interactive:
		return scheduler.Interactive
	case document.Batch:
		return scheduler.Batch
	default:
		return scheduler.Standard
	}
}
