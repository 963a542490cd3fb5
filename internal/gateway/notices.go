package gateway

import (
	"net/http"
	"time"

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
}
