package platformstandin

import (
	"io"
	"net/http"
	"time"

	"github.com/savorystall/savorystall/internal/platform/wire"
)

// Store identifies a store of the platform.
type Store string

// Stores of the platform.
const (
	Table   Store = "table"
	Objects Store = "objects"
	VMs     Store = "vms"
	Weights Store = "weights"
)

// Faults configures the faults of a store. The zero value is a healthy store.
type Faults struct {
	// Unavailable responds to every call with status 503, without effect.
	Unavailable bool
	// NoResponse reads every call but never responds, without effect.
	NoResponse bool
	// Delay delays every call before it takes effect. The call takes effect even
	// if its caller has given up in the meantime.
	Delay time.Duration
	// LostResponses is the number of writes that take effect without a response:
	// the connection is aborted instead. A negative number affects all writes.
	LostResponses int
	// LostWriteDelay is the time after which a write whose response is lost takes
	// effect.
	LostWriteDelay time.Duration
	// StaleCommits makes reads return the state of the table as of this many
	// commits ago.
	StaleCommits uint64
	// ThrottleInterval responds to every n-th call with status 429; zero means
	// never.
	ThrottleInterval int
}

// SetFaults replaces the faults of a store, starting with the next call.
func (s *Server) SetFaults(store Store, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[store] = &f
}

// countCall counts a call of the store and returns a copy of the store's faults.
func (s *Server) countCall(store Store) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[store]++
	f, ok := s.faults[store]
	if !ok {
		return Faults{}
	}
	return *f
}

// consumeLostResponse reports whether the response of this write is to be lost,
// and decrements the remaining number.
func (s *Server) consumeLostResponse(store Store) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[store]
	if !ok || f.LostResponses == 0 {
		return false
	}
	if f.LostResponses > 0 {
		f.LostResponses--
	}
	return true
}

// Calls returns the number of calls of a store, including rejected ones.
func (s *Server) Calls(store Store) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[store]
}

// applyFaults applies the faults and rate limits that come before a call takes
// effect. It returns false if it has sent an error response, and panics with
// http.ErrAbortHandler if the connection is to be aborted.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, store Store) bool {
	f := s.countCall(store)
	switch {
	case f.Unavailable:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case f.NoResponse:
		// The server detects a disconnected caller only after the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		abortConnection()
	case f.ThrottleInterval > 0 && s.Calls(store)%f.ThrottleInterval == 0:
		http.Error(w, "throttled", http.StatusTooManyRequests)
		return false
	}
	if !s.allowedByRateLimit(store, r) {
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return false
	}
	if f.Delay > 0 {
		<-s.config.Clock.After(f.Delay)
	}
	return true
}

// allowedByRateLimit applies the rate limits of Config. Only commits count as
// writes.
func (s *Server) allowedByRateLimit(store Store, r *http.Request) bool {
	switch {
	case store != Table:
		return true
	case r.URL.Path == wire.PathCommit:
		return s.writes.Allow()
	}
	return s.reads.Allow()
}

// abortConnection aborts the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }
