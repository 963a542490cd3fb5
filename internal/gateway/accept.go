package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/patience"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/route"
)

// job is an accepted request on its way to a target and back.
type job struct {
	w  http.ResponseWriter
	id ident.Request
	// in is the caller's request, of which the body is read into body.
	in   *http.Request
	body []byte
	call Call

	route     *route.Route
	service   route.Service
	workspace ident.Workspace
	version   uint64
	arrived   time.Time
	// until is when the caller or the operator wants no answer any more.
	until time.Time
	plan  patience.Plan
	// leave ends the request because its caller has left.
	leave context.CancelFunc

	// isPending tells that it counts among those being read or placed.
	isPending bool
	// began tells that a part of the answer has gone to the caller.
	began bool
	// status is that of the answer; zero before it has one.
	status int
	// events is what is known of the stream so far.
	events progress
	trace  history
}

// history is what the line about the request tells.
type history struct {
	target ident.Target
	// sends counts the targets that it was sent to, runs those that may have run
	// it, and unsent the tries that failed before a byte left.
	sends, runs, unsent int
	// basis is what the last placement was decided by.
	basis booking.Basis
	// waited is the time that the placing took, first from the last dispatch to the first
	// byte of the answer.
	waited, first time.Duration
	avoid         []ident.Target
}

const (
	// bodyTimeout bounds the arrival of a body where the operator states nothing.
	bodyTimeout = 10 * time.Second
	// defaultBody bounds a body where the operator states nothing.
	defaultBody = 4 << 20
	// forever stands in for a time limit that nobody set.
	forever = time.Minute
)

// accept checks everything that can be checked before a target is needed. The
// job is nil where there is a failure.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, *resultcode.Failure) {
	arrived := s.arrival(r)
	if s.closing.Load() {
		return nil, resultcode.Fail(resultcode.Stopping, "")
	}
	table := s.Routes.Current()
	if table == nil {
		return nil, resultcode.Fail(resultcode.ConfigurationAbsent, "")
	}
	path, _, _ := strings.Cut(requestTarget(r), "?")
	found, ok := table.Find(r.Host, path)
	if !ok {
		return nil, s.unknown(resultcode.Fail(resultcode.NotFound, "no route for %s%s", r.Host, path))
	}
	call := s.Dialect.Call(r.Header)
	workspace, failure := table.Identify(found, call.Key)
	if failure != nil {
		return nil, s.unknown(failure)
	}
	j := &job{
		w: w, id: ident.NewRequest(), in: r, call: call,
		route: found, workspace: workspace, version: table.Version, arrived: arrived,
		events: progress{last: call.LastEvent},
	}
	if s.pending.Add(1) > maxPending {
		s.pending.Add(-1)
		discard(r)
		return nil, resultcode.Fail(resultcode.FleetFull, "this daemon has %d requests to place", maxPending)
	}
	j.isPending = true
	if j.body, failure = readBody(w, r, table.Limits); failure != nil {
		s.settled(j)
		return nil, failure
	}
	s.schedule(j, table)
	return j, nil
}

// arrival is when a request has come. On a daemon short of processor time that may be well
// before it is read, and a target that is told otherwise works on after its caller has left.
func (s *Server) arrival(r *http.Request) time.Time {
	now := time.Now()
	if s.Late == nil {
		return now
	}
	return now.Add(-s.Late(r.Context()))
}

// unknown is the answer to a request whose route or key is not known here. It sends the caller
// elsewhere where that may be because this daemon has not come to read of them.
func (s *Server) unknown(f *resultcode.Failure) *resultcode.Failure {
	if s.Stale != nil && s.Stale() {
		return busy()
	}
	return f
}

// settled tells that a request is not being read or placed any more.
func (s *Server) settled(j *job) {
	if j.isPending {
		j.isPending = false
		s.pending.Add(-1)
	}
}

// discard reads a short body without keeping it: closing a connection with unread
// bytes would reset it, and the caller might not get its answer.
func discard(r *http.Request) {
	// An error means that the caller has left.
	_, _ = io.CopyN(io.Discard, r.Body, defaultBody)
}

// schedule decides the service, and how long the request may wait.
func (s *Server) schedule(j *job, table *route.Table) {
	j.service = s.choose(j.route, table)
	limit := forever
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	left := limit
	if j.call.Patience > 0 {
		left = min(left, j.call.Patience)
	}
	j.until = j.arrived.Add(left)
	j.plan = patience.Decide(patience.Request{
		Arrived: j.arrived, Remaining: left, MaxWait: limit, Objective: j.route.Objective,
		Resumed: j.call.LastEvent > 0,
	})
}

// choose returns the service of a route's split that is to serve a request.
func (s *Server) choose(r *route.Route, table *route.Table) route.Service {
	usable := s.targets.Load().Usable
	name := r.Choose(rand.Float64(), func(n ident.Service) bool { return usable[n] })
	if known, ok := table.Service(name); ok {
		return *known
	}
	return route.Service{Name: name}
}

// requestTarget is the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the absolute form, or the asterisk
}

func readBody(w http.ResponseWriter, r *http.Request, limits route.Limits) ([]byte, *resultcode.Failure) {
	most := limits.BodyBytes
	if most == 0 {
		most = defaultBody
	}
	if r.ContentLength > most {
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", most)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	deadline := http.NewResponseController(w)
	// A server without deadlines reads on without one.
	_ = deadline.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readAll(io.LimitReader(r.Body, most+1), r.ContentLength)
	_ = deadline.SetReadDeadline(time.Time{})
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, resultcode.Fail(resultcode.BodyTimeout, "")
	case err != nil:
		return nil, resultcode.Fail(resultcode.BadRequest, "the body broke off").Because(err)
	case int64(len(body)) > most:
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", most)
	}
	return body, nil
}

// readAll reads a body whose length may be known in advance.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}
