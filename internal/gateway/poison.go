package gateway

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Poison knows which requests, and parts of prompts, end the targets that run them.
type Poison interface {
	PoisonTable() *poison.Table
	// Crashed reports that a target ended with a request in progress, Completed that a watched
	// request, or one with a watched part, has run to its end.
	Crashed(run poison.Run)
	Completed(f poison.Fingerprint)
	// RecentlyCompleted returns where to record each request that has run to its end, with its parts.
	RecentlyCompleted() *poison.Recent
}

// noPoison holds no request back.
type noPoison struct{}

func (noPoison) PoisonTable() *poison.Table        { return nil }
func (noPoison) Crashed(poison.Run)                {}
func (noPoison) Completed(poison.Fingerprint)      {}
func (noPoison) RecentlyCompleted() *poison.Recent { return poison.NewRecent() }

const (
	// earlyRunTime is how long after its first byte a request is a likely cause of the end of its
	// target.
	earlyRunTime = 500 * time.Millisecond
)

// filter returns the request's filter. The body is hashed once.
func (pr *proxyRequest) filter() poison.Filter {
	if !pr.hasFilter {
		pr.hasFilter = true
		pr.poisonFilter = poison.NewFilter(pr.workspace, pr.inbound.Method, pr.inbound.Host, requestTarget(pr.inbound), pr.body)
	}
	return pr.poisonFilter
}

// subject returns what the request is known as while it is suspected. The body is hashed once.
func (pr *proxyRequest) subject() poison.Subject {
	if pr.poisonSubject == nil {
		pr.poisonSubject = &poison.Subject{
			Fingerprint: pr.fingerprint(),
			Filter:      pr.filter(), Workspace: pr.workspace, Route: pr.route.Name,
		}
	}
	return *pr.poisonSubject
}

// fingerprint returns the request's fingerprint. The body is hashed once.
func (pr *proxyRequest) fingerprint() poison.Fingerprint {
	if pr.bodyFingerprint == nil {
		f := poison.NewFingerprint(pr.workspace, pr.inbound.Method, pr.inbound.Host, requestTarget(pr.inbound), pr.body)
		pr.bodyFingerprint = &f
	}
	return *pr.bodyFingerprint
}

// part returns a part of the request's prompt as it is known to the hold of requests.
func (pr *proxyRequest) part(p booking.PromptPart) poison.Part {
	return poison.Part{Service: pr.service.Name, ID: p.ID}
}

// partSubjects returns what the shared parts of the prompt are known as while they are suspected.
func (pr *proxyRequest) partSubjects() []poison.Subject {
	shared := pr.info.sharedParts()
	out := make([]poison.Subject, len(shared))
	for i, p := range shared {
		out[i] = poison.NewPartSubject(pr.workspace, pr.route.Name, pr.part(p))
	}
	return out
}

// partFilters returns the filters of the shared parts of the prompt.
func (pr *proxyRequest) partFilters() []poison.Filter {
	shared := pr.info.sharedParts()
	out := make([]poison.Filter, len(shared))
	for i, p := range shared {
		out[i] = poison.NewPartFilter(pr.workspace, pr.part(p))
	}
	return out
}

// processOf returns the process of a target that a registration is of.
func processOf(entry registry.Entry) poison.Process {
	return poison.Process{Target: entry.Identity, StartedAtMillis: entry.StartedAtMillis}
}

// heldBack returns the failure of a request that is held back, or nil.
func (s *Server) heldBack(pr *proxyRequest) *resultcode.Failure {
	table := s.Poison.PoisonTable()
	if table.Empty() {
		return nil
	}
	if hold, held := heldParts(table, pr); held {
		return resultcode.Fail(resultcode.RequestHeld, "fingerprint %s, for parts of its prompt, %d targets ended", hold.Key(), len(hold.Ended))
	}
	if !table.Contains(pr.filter()) {
		return nil
	}
	fingerprint := pr.subject().Fingerprint
	hold, held := table.Held(fingerprint)
	if !held {
		return nil
	}
	return resultcode.Fail(resultcode.RequestHeld, "fingerprint %s, %d targets ended", fingerprint, len(hold.Ended))
}

// heldParts returns the hold of parts that the request has.
func heldParts(table *poison.Table, pr *proxyRequest) (poison.Hold, bool) {
	shared := pr.info.sharedParts()
	if len(shared) == 0 || !table.HoldsParts() {
		return poison.Hold{}, false
	}
	ids := make([]uint64, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return table.HeldParts(pr.workspace, pr.service.Name, poison.NewPartSet(ids...))
}

// observeRun reports how an attempt ended if that tells whether the request ends its targets.
func (s *Server) observeRun(pr *proxyRequest, entry registry.Entry, r attemptResult, elapsed time.Duration) {
	switch {
	case r.failure == nil && pr.status >= http.StatusOK && pr.status < http.StatusMultipleChoices:
		s.recordCompletion(pr)
	case r.brokeOff():
		run := poison.Run{
			Request: pr.subject(), Parts: pr.partSubjects(), Process: processOf(entry),
			Early: r.firstByteTime == 0 || elapsed-r.firstByteTime < earlyRunTime,
		}
		brokeAt := time.Now()
		go func() {
			if s.crashChecks.hasEnded(s.targetAccepts, entry) {
				run.Ago = time.Since(brokeAt)
				s.Poison.Crashed(run)
				return
			}
			s.unproven.add(unprovenCrash{run, entry.Address, brokeAt})
			s.reportProvenCrashes() // the next process may be registered already
		}()
	}
}

// recordCompletion records that the request has run to its end.
func (s *Server) recordCompletion(pr *proxyRequest) {
	parts := pr.partFilters()
	s.Poison.RecentlyCompleted().Add(time.Now(), pr.filter(), parts...)
	table := s.Poison.PoisonTable()
	if table.Empty() {
		return
	}
	if table.Contains(pr.filter()) && table.Watched(pr.subject().Fingerprint) {
		s.Poison.Completed(pr.subject().Fingerprint)
	}
	if !slices.ContainsFunc(parts, table.Contains) {
		return
	}
	for _, p := range pr.partSubjects() {
		if table.Watched(p.Fingerprint) {
			s.Poison.Completed(p.Fingerprint)
		}
	}
}

// brokeOff reports whether the target's side ended the exchange, as opposed to this daemon, the
// caller, or a network path on which nothing arrives any more.
func (r *attemptResult) brokeOff() bool {
	if !r.sent || !r.targetFailed || r.failure == nil {
		return false
	}
	if r.failure.Code != resultcode.ConnectionLost && r.failure.Code != resultcode.AnswerCut {
		return false
	}
	return !errors.Is(r.failure.Cause, syscall.ETIMEDOUT)
}
