package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
)

// resumedStream describes the stream that a caller takes up again.
type resumedStream struct {
	finding origin.Finding
}

// takesUpStream reports whether the caller already has events of a stream, which this request is
// to continue.
func (pr *proxyRequest) takesUpStream() bool {
	return pr.route.Retry == route.Stream && (pr.info.LastEventID > 0 || pr.info.Resumes != "")
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
	// undecidedRetryDelay is the delay after which the origin of a stream may be known although
	// it was not found now.
	undecidedRetryDelay = 400 * time.Millisecond
)

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
			failure.RetryAfter = undecidedRetryDelay // its record may still be on its way
		}
		return failure
	}
	if !routesTo(pr.route, f.Origin) {
		s.streams.gone.Add(1)
		return resultcode.Fail(resultcode.StreamVersionGone, "the route does not lead to service %s any more", f.Origin.Service)
	}
	pr.origin = &f.Origin
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
	if pr.route.Resumable {
		s.Origins.Began(pr.streamKey(), *pr.origin)
	}
}

// streamCounts counts the streams that callers begin and take up again, since the last report.
type streamCounts struct {
	// asked counts requests, begun those of which at least one event has arrived.
	asked, begun                          atomic.Int64
	resumeAsked, resumed, resumedByRecord atomic.Int64
	// unknown counts those whose origin is not known, gone those whose version has no target.
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
