package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
)

// resumedStream describes the stream that a caller takes up again.
type resumedStream struct {
	finding origin.Finding
	// trusted reports that the stream is believed to have begun, so that the work done for it is
	// lost if it is refused now.
	trusted bool
}

// takesUpStream reports whether the caller already has events of a stream, which this request is
// to continue.
func (pr *proxyRequest) takesUpStream() bool {
	return pr.route.Retry == route.Stream && (pr.info.LastEventID.Value > 0 || pr.info.Resumes != "")
}

// streamKey returns the key of the request's stream; zero if the caller takes up a stream without
// naming it.
func (pr *proxyRequest) streamKey() origin.Key {
	attempt := pr.info.AttemptID
	if pr.takesUpStream() {
		attempt = pr.info.Resumes
	}
	return origin.NewKey(pr.workspace, attempt)
}

// mayUse reports whether the request may be sent to a target: once events of a stream have
// reached the caller, only targets of the same version may continue it.
func (pr *proxyRequest) mayUse(entry registry.Entry) bool {
	return pr.origin == nil || entry.Version != "" && entry.Version == pr.origin.Version
}

const (
	// unknownRetryDelay is the delay after which the origin of a stream may be known although
	// it was not found now.
	unknownRetryDelay = 400 * time.Millisecond
	// roomInterval is how often a stream that has begun asks again for room at full targets, and
	// maxRoomWait how long it does so. A refusal would cost its caller what it already has.
	roomInterval = 50 * time.Millisecond
	maxRoomWait  = time.Second
)

// placeOrWait has a target assigned to the request. A stream that has begun can use the targets
// of one version only, so that it waits for a moment if these are full.
func (s *Server) placeOrWait(ctx context.Context, pr *proxyRequest) (control.Placement, time.Time) {
	end := time.Now().Add(min(maxRoomWait, time.Until(pr.deadline)/2))
	for {
		placement, dispatched := s.place(ctx, pr)
		if placement.Failure != nil && placement.Failure.Code == resultcode.StreamVersionGone {
			s.streams.gone.Add(1)
		}
		if !pr.hasBegun() || placement.Failure == nil || placement.Failure.Code != resultcode.FleetFull || time.Now().After(end) {
			return placement, dispatched
		}
		s.releasePending(pr)
		select {
		case <-ctx.Done():
			return placement, dispatched
		case <-time.After(roomInterval):
		}
		if s.CallerGone(ctx) {
			return placement, dispatched
		}
	}
}

// hasBegun reports whether the caller has events of the stream, which a refusal would make
// worthless.
func (pr *proxyRequest) hasBegun() bool {
	return pr.responseStarted && pr.route.Resumable || pr.resumed.trusted
}

// findOrigin finds out which service and version began the stream that the caller takes up, and
// selects that service. It does nothing for a request that begins a stream.
func (s *Server) findOrigin(ctx context.Context, pr *proxyRequest) *resultcode.Failure {
	if !pr.takesUpStream() {
		return nil
	}
	f := s.Origins.FindOrigin(ctx, pr.id, pr.streamKey(), pr.route.Name)
	pr.resumed.finding = f
	if !f.Known() {
		s.streams.unknown.Add(1)
		failure := resultcode.Fail(resultcode.StreamUnknown, "%d daemons asked, %d did not answer", f.Asked, f.Silent)
		if f.Status != origin.Recorded {
			failure.RetryAfter = unknownRetryDelay // its record may still be on its way
		}
		return failure
	}
	if !routesTo(pr.route, f.Origin) {
		s.streams.gone.Add(1)
		return resultcode.Fail(resultcode.StreamVersionGone, "the route does not lead to service %s any more", f.Origin.Service)
	}
	pr.origin = &f.Origin
	pr.resumed.trusted = f.Status == origin.Recorded || s.resumeCredits.take(pr.workspace)
	pr.service = route.Service{Name: f.Origin.Service}
	if known, ok := pr.table.Service(f.Origin.Service); ok {
		pr.service = *known
	}
	return nil
}

// routesTo reports whether a route sends requests to the service of an origin.
func routesTo(r *route.Route, o origin.Origin) bool {
	for _, s := range r.Services {
		if s.Service == o.Service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// recordOrigin records that a target has sent the first events of the request's stream, or the
// first ones after it was taken up again. From here on only targets of its version may continue
// the stream.
func (s *Server) recordOrigin(pr *proxyRequest) {
	if pr.origin == nil {
		pr.origin = &origin.Origin{Service: pr.service.Name, Version: pr.stats.version}
	}
	s.streams.countBegun(pr)
	s.resumeCredits.earn(pr.workspace)
	if pr.route.Resumable {
		s.Origins.Began(pr.streamKey(), *pr.origin)
	}
}

const (
	// creditPerStream is how many returns a stream of a workspace allows. A few break, and their
	// callers return to any daemon.
	creditPerStream = 0.5
	// maxResumeCredit bounds the returns at once, as after the end of a daemon; a workspace starts
	// with startResumeCredit.
	maxResumeCredit   = 50
	startResumeCredit = 5
)

// resumeCredits bounds the returns of each workspace that are believed without a record of their
// stream. It guards the shares of the others: a caller that stated a last event with every request
// would have all of them placed as work that is in progress.
type resumeCredits struct {
	mu          sync.Mutex
	byWorkspace map[ident.Workspace]float64
}

// earn adds the credit for one stream.
func (c *resumeCredits) earn(workspace ident.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byWorkspace[workspace] = min(maxResumeCredit, c.balance(workspace)+creditPerStream)
}

// take uses the credit for one return and reports whether there was any.
func (c *resumeCredits) take(workspace ident.Workspace) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	balance := c.balance(workspace)
	if balance < 1 {
		return false
	}
	c.byWorkspace[workspace] = balance - 1
	return true
}

// balance returns the credit of a workspace. The caller holds the lock.
func (c *resumeCredits) balance(workspace ident.Workspace) float64 {
	if balance, known := c.byWorkspace[workspace]; known {
		return balance
	}
	return startResumeCredit
}

// streamCounts counts the streams that callers begin and take up again, since the last report.
type streamCounts struct {
	// asked counts requests, begun those of which at least one event has arrived.
	asked, begun                          atomic.Int64
	resumeAsked, resumed, resumedByRecord atomic.Int64
	// unknown counts those whose origin is not known, gone those whose service or version has no
	// target left.
	unknown, gone atomic.Int64
}

func (c *streamCounts) countAsked(pr *proxyRequest) {
	switch {
	case pr.route.Retry != route.Stream:
	case pr.takesUpStream():
		c.resumeAsked.Add(1)
	default:
		c.asked.Add(1)
	}
}

// countBegun counts the first events of an attempt, once for each request.
func (c *streamCounts) countBegun(pr *proxyRequest) {
	switch {
	case pr.responseStarted:
	case !pr.takesUpStream():
		c.begun.Add(1)
	default:
		c.resumed.Add(1)
		if pr.resumed.finding.Status == origin.Recorded {
			c.resumedByRecord.Add(1)
		}
	}
}

// LogStreams logs how many streams were begun and taken up again since the last call, unless none
// were taken up.
func (s *Server) LogStreams() {
	c := &s.streams
	resumeAsked := c.resumeAsked.Swap(0)
	counts := []any{
		"asked", c.asked.Swap(0), "begun", c.begun.Swap(0), "resume_asked", resumeAsked, "resumed", c.resumed.Swap(0),
		"by_record", c.resumedByRecord.Swap(0), "unknown", c.unknown.Swap(0), "version_gone", c.gone.Swap(0),
	}
	if resumeAsked > 0 {
		event.StreamsResumed.Log(s.Log, counts...)
	}
}
