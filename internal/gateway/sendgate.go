package gateway

import (
	"errors"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// errNotAllowed is the cause of the error of an exchange that the send gate has stopped.
var errNotAllowed = errors.New("the request may not be sent to the target any more")

// checkSend is the gate that every request passes right before it is sent to a target, with the
// connection in hand: a first attempt, a retry, and a stream that is resumed. What has changed since
// its placement counts. It returns nil if the request may be sent.
func (s *Server) checkSend(pr *proxyRequest, id ident.Target) *resultcode.Failure {
	targets := s.targets.Load()
	entry, known := targets.ByIdentity[id]
	switch {
	case !known || entry.Draining || entry.Service != pr.service.Name || !pr.mayUse(entry):
		return resultcode.Fail(resultcode.NoTarget, "target %s is gone", id)
	case s.Notices.IsPaused(time.Now(), entry):
		return resultcode.Fail(resultcode.TargetsPaused, "target %s", id)
	case targets.Evacuated.Contains(entry.Zone):
		return resultcode.Fail(resultcode.ZonesEvacuated, "target %s", id)
	case !pr.regions.Allows(targets.Regions[entry.Zone]):
		return resultcode.Fail(resultcode.RegionNotAllowed, "target %s", id)
	case pr.service.ColdRate > 0 && time.Now().Before(entry.ColdUntil) && time.Since(pr.placementStart) > booking.MaxColdSendDelay:
		return resultcode.Fail(resultcode.NoTarget, "target %s is cold, and its admission is too old", id)
	case !pr.stats.basis.SendBy.IsZero() && time.Now().After(pr.stats.basis.SendBy):
		return resultcode.Fail(resultcode.NoTarget, "target %s may have turned cold since its admission", id)
	}
	return nil
}

// mayFetchFrom reports whether the prompt's prefix may be copied from a target: it is of the same
// service, and what is sent to it may be.
func (s *Server) mayFetchFrom(pr *proxyRequest, source, destination registry.Entry) bool {
	targets := s.targets.Load()
	return source.Service == destination.Service && !targets.Evacuated.Contains(source.Zone) && pr.regions.Allows(targets.Regions[source.Zone])
}
