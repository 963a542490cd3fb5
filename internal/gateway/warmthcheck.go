package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/targetconn"
)

const (
	// warmthCheckTimeout limits the duration of one health check. A later proof would admit hardly more.
	warmthCheckTimeout = 250 * time.Millisecond
	// maxHealthBody is how much of the body of a health response is read to keep the connection.
	maxHealthBody = 4 << 10
)

// errHealthTimeout is the cause of the end of a health check that takes too long. It is not a timeout of
// the connection, after which all idle connections to the target would be closed.
var errHealthTimeout = errors.New("the health check took too long")

// HealthDialect converts the headers of health checks.
type HealthDialect interface {
	// SetHealthHeaders sets the headers of a health check of a target.
	SetHealthHeaders(h http.Header, target ident.Target)
	// ParseHealth returns how much longer a target stays cold according to the response to its health
	// check. It returns false if the response does not come from the target or states no sensible time.
	ParseHealth(target ident.Target, status int, h http.Header) (coldLeft time.Duration, ok bool)
}

// healthResult is the result of a health check, as a metric shows it.
type healthResult string

// Results of health checks.
const (
	healthWarm healthResult = "warm"
	healthCold healthResult = "cold"
	// healthRejected is a response that proves nothing.
	healthRejected healthResult = "rejected"
	// healthFailed is a check without a response in time.
	healthFailed healthResult = "failed"
	// healthUnsent is a check of which nothing was sent.
	healthUnsent healthResult = "unsent"
)

// CheckWarmth checks the health of a target once. It does not count as a request, and its failure says
// nothing about the target.
func (s *Server) CheckWarmth(ctx context.Context, check booking.CheckWarmth) booking.Warmth {
	warmth, result := s.checkHealth(ctx, check)
	s.Metrics.WarmthCheck(check.Service, string(result))
	if result == healthCold {
		event.TargetColdByCheck.Log(s.Log, "target", check.Target, "service", check.Service, "for_ms", warmth.ColdLeft.Milliseconds())
	}
	return warmth
}

func (s *Server) checkHealth(ctx context.Context, check booking.CheckWarmth) (booking.Warmth, healthResult) {
	table := s.Routes.Current()
	entry, known := s.targets.Load().ByIdentity[check.Target]
	if table == nil || !known {
		return booking.Warmth{}, healthUnsent
	}
	service, known := table.Service(check.Service)
	if !known || service.HealthPath == "" {
		return booking.Warmth{}, healthUnsent
	}
	ctx, cancel := context.WithTimeoutCause(ctx, warmthCheckTimeout, errHealthTimeout)
	defer cancel()
	header := http.Header{}
	s.Health.SetHealthHeaders(header, check.Target)
	var sentAt time.Time
	x, err := s.Pool.Do(ctx, entry.Address, targetconn.Request{
		Method: http.MethodGet, RequestTarget: service.HealthPath, Host: entry.Address, Header: header,
		MaxConnections: s.connectionLimit(service.MaxConnections),
		MaySend: func() error {
			sentAt = time.Now()
			if sentAt.Sub(check.AskedAt) > booking.MaxProvenSendDelay || !s.mayCheck(check, entry) {
				return errNotAllowed
			}
			return nil
		},
		// A late response to an earlier request on the connection names that request.
		MatchesResponse: func(status int, h http.Header, _ bool) bool {
			return s.Dialect.ParseResponse(status, h).AttemptID == ""
		},
	})
	if err != nil {
		var unsent *targetconn.UnsentError
		if errors.As(err, &unsent) {
			return booking.Warmth{}, healthUnsent
		}
		return booking.Warmth{}, healthFailed
	}
	defer x.Abort() // no-op after a complete response
	coldLeft, ok := s.Health.ParseHealth(check.Target, x.Response.StatusCode, x.Response.Header)
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxHealthBody)) // the header is the result
	switch {
	case !ok:
		return booking.Warmth{}, healthRejected
	case coldLeft > 0:
		return booking.Warmth{Valid: true, SentAt: sentAt, ColdLeft: coldLeft}, healthCold
	}
	return booking.Warmth{Valid: true, SentAt: sentAt}, healthWarm
}

// mayCheck reports whether a target may be sent a health check. What has changed since the check was
// asked for counts.
func (s *Server) mayCheck(check booking.CheckWarmth, asked registry.Entry) bool {
	targets := s.targets.Load()
	entry, known := targets.ByIdentity[check.Target]
	return known && entry.Service == check.Service && entry.Address == asked.Address && entry.StartedAtMillis == asked.StartedAtMillis &&
		!entry.Draining && !targets.Evacuated.Contains(entry.Zone) && !s.Notices.IsPaused(time.Now(), entry)
}
