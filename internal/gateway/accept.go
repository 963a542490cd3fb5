package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
	"github.com/savorystall/savorystall/internal/patience"
	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/region"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetconn"
)

// proxyRequest is an accepted request and its state until the response is complete.
type proxyRequest struct {
	w  http.ResponseWriter
	id ident.Request
	// inbound is the caller's request; its body has been read into body.
	inbound *http.Request
	body    []byte
	info    RequestInfo

	route     *route.Route
	service   route.Service
	workspace ident.Workspace
	table     *route.Table
	// regions are those whose targets may run the request.
	regions region.Set
	arrived time.Time
	// deadline is when the caller's or the operator's time limit ends.
	deadline time.Time
	plan     patience.Plan
	// placementStart is when the last search for a target began.
	placementStart time.Time
	// cancel ends the request because its caller has disconnected.
	cancel context.CancelFunc

	// isPending reports whether the request counts as pending: its body is being read or it
	// is being placed.
	isPending bool
	// responseStarted reports whether part of the response has been sent to the caller.
	responseStarted bool
	// status is the HTTP status of the response; zero before the response starts.
	status int
	// events tracks the event stream that has been received so far.
	events eventFilter
	// sentOn holds the connections to targets on which the request was sent.
	sentOn targetconn.History
	// streamEnd ends the current attempt of a stream that holds too much memory.
	streamEnd *streamEnd
	// resumed describes the stream that the caller takes up again. Once origin is set, the
	// request may only be sent to targets of this service and version.
	resumed resumedStream
	origin  *origin.Origin
	// poisonFilter is valid if hasFilter is set. poisonSubject is set once it was needed.
	hasFilter     bool
	poisonFilter  poison.Filter
	poisonSubject *poison.Subject
	// bodyFingerprint is set once it was needed, or the body was released.
	bodyFingerprint *poison.Fingerprint
	stats           requestStats
	// grace bounds the request during a graceful shutdown.
	grace graceLimit
}

// requestStats holds what is logged about a request.
type requestStats struct {
	target ident.Target
	// version is the software version of target. firstTarget and firstVersion are those of the
	// target that started the response.
	version, firstVersion ident.Version
	firstTarget           ident.Target
	// attempts counts the targets that the request was sent to, runs those that may have run
	// it, and unsentAttempts the attempts that failed before a byte was sent.
	attempts, runs, unsentAttempts int
	// basis is what the last placement decision was based on.
	basis booking.Basis
	// placementTime is the total time spent on placement, firstByteTime the time from the
	// last dispatch to the first byte of the response.
	placementTime, firstByteTime time.Duration
	avoid                        []ident.Target
}

const (
	// bodyReadTimeout bounds the time to receive a body.
	bodyReadTimeout = 10 * time.Second
	// defaultMaxBodyBytes is the body size limit if the operator has not set one.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout is the time limit of a request if its route has none.
	defaultTimeout = time.Minute
)

// TimeLimit returns the longest time that a request of a route may take.
func TimeLimit(r *route.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultTimeout
}

// timeLeft returns how long a request that arrives may take.
func timeLeft(r *route.Route, info *RequestInfo) time.Duration {
	if info.Remaining > 0 {
		return min(TimeLimit(r), info.Remaining)
	}
	return TimeLimit(r)
}

// accept does all checks that need no target. The returned request is nil on failure.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*proxyRequest, *resultcode.Failure) {
	arrived := s.arrivalTime(r)
	if s.closing.Load() {
		return nil, resultcode.Fail(resultcode.Stopping, "")
	}
	table := s.Routes.Current()
	if table == nil {
		return nil, resultcode.Fail(resultcode.ConfigurationAbsent, "")
	}
	if s.RoutesBehind != nil && s.RoutesBehind() {
		s.recordShedDemand(r)
		w.Header().Set("Connection", "close") // a new connection reaches another daemon
		return nil, busyFailure()
	}
	path, _, _ := strings.Cut(requestTarget(r), "?")
	matched, ok := table.Find(r.Host, path)
	if !ok {
		return nil, s.rejectUnknown(resultcode.Fail(resultcode.NotFound, "no route for %s%s", r.Host, path))
	}
	info := s.Dialect.ParseRequest(r.Header)
	if info.Malformed != "" {
		return nil, resultcode.Fail(resultcode.BadRequest, "%s", info.Malformed)
	}
	workspace, failure := table.Identify(matched, info.Key)
	if failure != nil {
		return nil, s.rejectUnknown(failure)
	}
	pr := &proxyRequest{
		w: w, id: ident.NewRequest(), inbound: r, info: info,
		route: matched, workspace: workspace, table: table, arrived: arrived,
		deadline: arrived.Add(timeLeft(matched, &info)),
		regions:  table.AllowedRegions(matched, info.Key),
		events:   newEventFilter(info.LastEventID, s.Dialect.IsEventField),
	}
	if failure := s.receive(w, pr); failure != nil {
		return nil, failure
	}
	s.planRequest(pr, table)
	s.streams.countAsked(pr)
	return pr, nil
}

// receive reads the body of a request, which is pending from then on.
func (s *Server) receive(w http.ResponseWriter, pr *proxyRequest) (failure *resultcode.Failure) {
	if s.pending.Add(1) > maxPending {
		s.pending.Add(-1)
		s.recordShedDemand(pr.inbound)
		s.discardBody(w, pr.inbound, pr.route)
		return resultcode.Fail(resultcode.FleetFull, "this daemon has %d requests to place", maxPending)
	}
	pr.isPending = true
	s.grace.add(pr)
	if pr.body, failure = s.readBody(w, pr, pr.table.Limits); failure != nil {
		s.grace.remove(pr)
		s.releasePending(pr)
	}
	return failure
}

// arrivalTime returns when a request arrived. On a daemon short of processor time that can
// be well before the request is read; a deadline counted from the read would let the target
// work on after the caller has given up.
func (s *Server) arrivalTime(r *http.Request) time.Time {
	now := time.Now()
	if s.ReadDelay == nil {
		return now
	}
	return now.Add(-s.ReadDelay(r.Context()))
}

// rejectUnknown returns the failure for a request whose route or key is unknown. If this
// daemon may not have read the latest routes yet, the caller is told to retry, so that it
// reaches another daemon.
func (s *Server) rejectUnknown(f *resultcode.Failure) *resultcode.Failure {
	if s.RoutesMayBeStale != nil && s.RoutesMayBeStale() {
		return busyFailure()
	}
	return f
}

// releasePending stops counting a request as pending.
func (s *Server) releasePending(pr *proxyRequest) {
	if pr.isPending {
		pr.isPending = false
		s.pending.Add(-1)
	}
}

const (
	// refusalFraction is the part of a route's objective within which a request that is not served is refused. The
	// caller then has time for an attempt at another daemon.
	refusalFraction = 1.0 / 8
	// minDiscardTime is enough to read a body that has arrived with its header.
	minDiscardTime = 5 * time.Millisecond
	// lateBodyTime is how long the rest of a body is still read after the response, so that the caller reads the
	// response before the connection is reset.
	lateBodyTime = 500 * time.Millisecond
)

// discardBody reads a short body of a request of a route, which may be nil, and drops it: closing a connection with
// unread bytes would reset it, and the caller might not receive the response. If the body arrives too slowly for
// a refusal in time, the response is sent first and the connection closed after it.
func (s *Server) discardBody(w http.ResponseWriter, r *http.Request, matched *route.Route) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	limited := matched != nil && matched.Objective > 0
	if limited {
		until := s.arrivalTime(r).Add(time.Duration(refusalFraction * float64(matched.Objective)))
		if least := time.Now().Add(minDiscardTime); until.Before(least) {
			until = least
		}
		limited = controller.SetReadDeadline(until) == nil
	}
	// Another error means that the caller has disconnected.
	_, err := io.CopyN(io.Discard, r.Body, defaultMaxBodyBytes)
	switch {
	case !limited:
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		_ = controller.SetReadDeadline(time.Now().Add(lateBodyTime))
	default:
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// planRequest selects the service and sets the wait plan.
func (s *Server) planRequest(pr *proxyRequest, table *route.Table) {
	pr.service = s.chooseService(pr.route, table)
	pr.plan = patience.Decide(patience.Request{
		Arrived: pr.arrived, Remaining: timeLeft(pr.route, &pr.info), MaxWait: TimeLimit(pr.route), Objective: pr.route.Objective,
		Resumed: pr.takesUpStream(), Stated: pr.info.Remaining, Usual: s.usualWait(pr),
	})
}

// usualWait returns how long callers of the request's route usually state that they wait; zero if that
// is not known.
func (s *Server) usualWait(pr *proxyRequest) time.Duration {
	if pr.info.Remaining <= 0 {
		return 0
	}
	usual, known := s.usualWaits.Load(pr.route.Name)
	if !known {
		usual, _ = s.usualWaits.LoadOrStore(pr.route.Name, &patience.Usual{})
	}
	return usual.(*patience.Usual).Observe(pr.info.Remaining)
}

// chooseService selects one of a route's weighted services for a request.
func (s *Server) chooseService(r *route.Route, table *route.Table) route.Service {
	usable := s.targets.Load().Usable
	name := r.Choose(rand.Float64(), func(n ident.Service) bool { return usable[n] })
	if known, ok := table.Service(name); ok {
		return *known
	}
	return route.Service{Name: name}
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // absolute form or asterisk form
}

// onBody reports how many bytes the body of a request occupies.
func (s *Server) onBody(pr *proxyRequest, bytes int, receiving bool) {
	if s.OnBody != nil {
		s.OnBody(pr.inbound.Context(), pr.workspace, bytes, receiving)
	}
}

func (s *Server) readBody(w http.ResponseWriter, pr *proxyRequest, limits route.Limits) (body []byte, failure *resultcode.Failure) {
	r := pr.inbound
	maxBytes := limits.MaxBodyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", maxBytes)
	}
	if r.ContentLength == 0 {
		s.onBody(pr, 0, false)
		return nil, nil
	}
	controller := http.NewResponseController(w)
	// Without support for read deadlines the body is read without one.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	s.onBody(pr, 0, true)
	s.grace.enter(pr, graceReceiving, func() { _ = controller.SetReadDeadline(time.Now()) })
	body, err := readAll(io.LimitReader(r.Body, maxBytes+1), r.ContentLength, func(size int) { s.onBody(pr, size, true) })
	s.onBody(pr, len(body), false) // before the deadline is cleared, which a slow body's end may set
	s.grace.enter(pr, graceWaiting, nil)
	_ = controller.SetReadDeadline(time.Time{})
	var timeout net.Error
	switch {
	case err != nil && pr.grace.isOver():
		s.grace.unreceived.Add(1)
		w.Header().Set("Connection", "close") // the rest of the body is not read
		_ = controller.SetReadDeadline(time.Now().Add(lateBodyTime))
		return nil, resultcode.Fail(resultcode.Stopping, "the body has not arrived")
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, resultcode.Fail(resultcode.BodyTimeout, "")
	case err != nil:
		return nil, resultcode.Fail(resultcode.BadRequest, "the body broke off").WithCause(err)
	case int64(len(body)) > maxBytes:
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", maxBytes)
	}
	return body, nil
}

// maxUnreceivedBody is how much memory is allocated for a body before any of it has arrived. Nearly all bodies
// are smaller and are read into one allocation; a caller that announces 4 MB and sends nothing occupies no more.
const maxUnreceivedBody = 256 << 10

// readAll reads a body of the given length, or until EOF if length is negative. It calls grown with each size of
// its buffer.
func readAll(from io.Reader, length int64, grown func(size int)) ([]byte, error) {
	known := length >= 0
	size := int64(maxUnreceivedBody)
	if known {
		size = min(length, size)
	}
	body, received := make([]byte, size), 0
	grown(len(body))
	for {
		n, err := io.ReadFull(from, body[received:])
		received += n
		switch {
		case !known && (err == io.EOF || err == io.ErrUnexpectedEOF):
			return body[:received], nil
		case err != nil || known && int64(received) == length:
			return body[:received], err
		}
		size = 2 * int64(len(body))
		if known {
			size = min(length, size)
		}
		larger := make([]byte, size)
		grown(len(body) + len(larger))
		copy(larger, body)
		body = larger
		grown(len(body))
	}
}
