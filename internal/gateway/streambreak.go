package gateway

import (
	"errors"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/eventmemory"
	"github.com/savorystall/savorystall/internal/eventstream"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/responsehead"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Causes for which the response of a target is incomplete, besides the violations of package
// eventstream.
const (
	breakConnection     = "connection"
	breakTruncatedEvent = "truncated_event"
	breakTargetEnded    = "target_ended"
	// breakUnconfirmed: the target does not have an event of another target that was delivered.
	breakUnconfirmed = "unconfirmed_event"
	// breakEventMemory: the events of all streams took too much memory, and this stream was ended to free some.
	breakEventMemory = "event_memory"
)

// breakCauses names the errors with which a response is rejected.
var breakCauses = []struct {
	err  error
	name string
}{
	{errTruncatedEvent, breakTruncatedEvent},
	{errTargetEnded, breakTargetEnded},
	{errUnconfirmedEvent, breakUnconfirmed},
	{eventmemory.ErrEnded, breakEventMemory},
	{errUnsigned, "unsigned"},
	{errEncoded, "encoded"},
	{errNoStream, "no_stream"},
	{responsehead.ErrFieldName, "trailer"},
}

// breakCause returns why a response is incomplete, for logs and metrics; empty if the failure has another reason.
func breakCause(f *resultcode.Failure) string {
	if f == nil || f.Code != resultcode.AnswerCut && f.Code != resultcode.TargetProtocol {
		return ""
	}
	var violation eventstream.Violation
	if errors.As(f, &violation) {
		return string(violation)
	}
	for _, c := range breakCauses {
		if errors.Is(f, c.err) {
			return c.name
		}
	}
	return breakConnection
}

// logForeignBytes logs that a target has sent bytes within a stream that are no event of it. The bytes are
// not logged, as they may belong to the response of another caller.
func (s *Server) logForeignBytes(pr *proxyRequest, entry registry.Entry, cause string, eventsBefore int) {
	if !s.logBudgets.failed.Allow() {
		return
	}
	event.StreamMalformed.Log(s.Log, "target", entry.Identity, "cause", cause, "request", pr.info.AttemptID, "service", entry.Service,
		"events_before", eventsBefore, "attempt", pr.stats.attempts+1, "last_event", pr.events.lastID.Value)
}
