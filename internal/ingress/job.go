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

// job is an accepted request that is being scheduled or run.
type job struct {
	w         *response
	service   *config.Service
	workspace ident.Workspace
	operation *document.Operation
	// cost is the estimated cost in units of the service.
	cost       float64
	method     string
	prefixHash uint64
	arrived    time.Time
	deadline   time.Time
	// idempotencyKey is the caller's Idempotency-Key, digest the fingerprint of the
	// request that the key identifies.
	idempotencyKey string
	digest         []byte
	// runAttempt runs one attempt on the target at address.
	runAttempt func(ctx context.Context, id ident.Attempt, address string) attempt.Result
	// completeResponse writes what remains to be written after a successful attempt.
	completeResponse func()
	// servedCost returns the actual cost of an attempt.
	servedCost func(attempt.Result) float64
	// preemptible reports whether the request can be stopped and resumed later,
	// streaming whether the caller asked for a stream.
	preemptible, streaming bool
	// preemptions counts how often the request was preempted, priorServed is the
	// cost of the preempted attempts, and reprocessedTokens returns the number of
	// tokens that the next attempt must process again.
	preemptions       int
	priorServed       float64
	reprocessedTokens func() int64
}

func (j *job) serviceName() ident.Service { return j.service.Document.Service }

func (j *job) estimateKey() estimateKey {
	return estimateKey{service: j.serviceName(), operation: j.operation.Name}
}

// newJob returns a job with the fields that follow from the request and the
// service document.
func (s *Server) newJob(w *response, r *http.Request, service *config.Service, ws ident.Workspace, op *document.Operation) *job {
	now := time.Now()
	deadline := op.Deadline
	if deadline == 0 {
		deadline = service.Document.Limits.Deadline
	}
	j := &job{w: w, service: service, workspace: ws, operation: op, arrived: now, method: r.Method, idempotencyKey: r.Header.Get(HeaderIdempotencyKey)}
	if deadline > 0 {
		j.deadline = now.Add(deadline)
	}
	return j
}

// requestDigest returns a digest of everything that must be equal for two
// requests with the same Idempotency-Key to count as the same request.
func requestDigest(r *http.Request, operation string, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), operation} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return h.Sum(nil)
}

// run processes a job until its response is complete or it has failed finally.
func (s *Server) run(r *http.Request, j *job) {
	ctx := s.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracing.Start(ctx, telemetry.SpanIngress, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("service", string(j.serviceName())),
		attribute.String("workspace", string(j.workspace)),
		attribute.String("request", string(j.w.requestID)),
	))
	defer span.End()
	failure := s.claimAndRun(ctx, j)
	if failure != nil {
		span.SetAttributes(attribute.Int("code", failure.Code.Number))
		s.writeFailure(j.w, j.serviceName(), failure)
		return
	}
	j.completeResponse()
	s.Metrics.Request(j.serviceName(), "0")
}

// claimAndRun runs a job and first claims it if it is non-idempotent.
func (s *Server) claimAndRun(ctx context.Context, j *job) *resultcode.Failure {
	if j.operation.KeyRequired && j.idempotencyKey == "" {
		return resultcode.Fail(resultcode.IdempotencyKeyRequired, "operation %s", j.operation.Name)
	}
	if !j.operation.Unrepeatable {
		return s.runAttempts(ctx, j, nil)
	}
	key := claim.Key{Service: j.serviceName(), Workspace: j.workspace, IdempotencyKey: j.idempotencyKey}
	decision, err := s.Claims.Claim(ctx, key, j.digest, ident.NewAttempt())
	if err != nil {
		return resultcode.Fail(resultcode.CallerGone, "").WithCause(err)
	}
	switch d := decision.(type) {
	case claim.Refuse:
		return d.Failure
	case claim.Replay:
		j.completeResponse = func() { writeReplay(j.w, d.Outcome) }
		return nil
	case claim.Proceed:
		return s.runClaimed(ctx, j, d.Hold)
	}
	return resultcode.Fail(resultcode.StoreUnavailable, "the claim was not decided")
}

// HeaderReplayed marks a response that was stored by an earlier run.
const HeaderReplayed = "X-Savorystall-Replayed"

func writeReplay(w *response, o claim.Outcome) {
	for name, values := range o.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderReplayed, "true")
	w.WriteHeader(o.StatusCode)
	_, _ = w.Write(o.Body)
}

// outcomeWriteTimeout limits how long the handler waits until the outcome is in
// the table. The write continues after the timeout.
const outcomeWriteTimeout = 2 * time.Second

// runClaimed runs a claimed request. The run continues if the caller disconnects,
// so that a retry of the caller gets the outcome; canceling the run would leave
// its outcome unknown.
func (s *Server) runClaimed(ctx context.Context, j *job, hold *claim.Hold) *resultcode.Failure {
	defer hold.Close()
	j.w.recorded = &recordedBody{}
	detached := context.WithoutCancel(ctx)
	failure := s.runAttempts(detached, j, hold)
	outcome := claim.Outcome{Result: resultcode.Ran}
	if failure != nil {
		outcome.Result = failure.Code.Outcome
	}
	if outcome.Result == resultcode.NotRun {
		hold.MarkNotRun() // returns false if the run never started, which is fine
		if hold.Abandon() {
			return failure
		}
	}
	if failure == nil {
		j.completeResponse()
		j.completeResponse = func() {}
		outcome.HasResponse = !j.w.recorded.tooLarge
		outcome.StatusCode = j.w.status
		outcome.Header = storableHeader(j.w.Header())
		outcome.Body = j.w.recorded.body
	}
	waitCtx, cancel := context.WithTimeout(detached, outcomeWriteTimeout)
	defer cancel()
	// If the wait times out, the write continues in the background; the response
	// does not depend on it.
	_ = hold.Finish(waitCtx, outcome)
	return failure
}

// storableHeader returns a copy of h without the headers that are specific to one
// connection or request.
func storableHeader(h http.Header) http.Header {
	stored := h.Clone()
	for _, name := range []string{HeaderRequestID, "Date", "Connection", "Transfer-Encoding", "Content-Length"} {
		stored.Del(name)
	}
	return stored
}

// schedulerClass maps a class of the document to that of the scheduler.
func schedulerClass(c document.Class) scheduler.Class {
	switch c {
	case document.Interactive:
		return scheduler.Interactive
	case document.Batch:
		return scheduler.Batch
	default:
		return scheduler.Standard
	}
}
