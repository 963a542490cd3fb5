package gateway

import (
	"net/http"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/registry"
)

// observeNotices records what a target says about itself in the head of a response, whichever request
// that belongs to. Another process that has got the address answers 421, and speaks for itself only.
func (s *Server) observeNotices(entry registry.Entry, status int, response ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if response.Leaving && s.Notices.Leave(time.Now(), entry) {
		event.TargetLeaving.Log(s.Log, "target", entry.Identity, "service", entry.Service)
	}
	if response.Pause > 0 && s.Notices.Pause(time.Now(), entry, response.Pause) {
		event.TargetPaused.Log(s.Log, "target", entry.Identity, "service", entry.Service, "for_ms", response.Pause.Milliseconds())
	}
	if response.PauseMalformed != "" && s.Notices.Malformed(entry) {
		event.PauseMalformed.Log(s.Log, "target", entry.Identity, "value", response.PauseMalformed)
	}
}

// pauses returns the targets to which this daemon may send nothing for a time.
func (s *Server) pauses() []booking.Pause {
	var list []booking.Pause
	for _, p := range s.Notices.Pauses(time.Now(), s.targets.Load().ByIdentity) {
		list = append(list, booking.Pause(p))
	}
	return list
}
