package platformstandin

import (
	"context"
	"net/http"
	"time"
)

// Store names one store of the platform.
type Store string

// Stores of the platform.
const (
	Table   Store = "table"
	Objects Store = "objects"
	VMs     Store = "vms"
	Weights Store = "weights"
)

// Faults says how a store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down answers every call by 503 without effect.
	Down bool
	// Silent reads every call and never answers; it has no effect.
	Silent bool
	// Delay is added to every call before it takes effect.
	Delay time.Duration
	// LoseAnswers makes that many writes take effect without an answer: the
	// connection breaks instead. A negative number loses all.
	LoseAnswers int
	// LateEffect makes lost writes take effect only after this time.
	LateEffect time.Duration
	// StaleBy makes reads see the table as it was that many commits ago.
	StaleBy uint64
	// ThrottleEvery answers each n-th call by 429; zero answers none so.
	ThrottleEvery int
}

// SetFaults changes how a store misbehaves from the next call on.
func (s *Server) SetFaults(store Store, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[store] = &f
}

// fault returns a copy of a store's faults, and counts the call.
func (s *Server) fault(store Store) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[store]++
	f, ok := s.faults[store]
	if !ok {
		return Faults{}
	}
	return *f
}

// loseAnswer tells whether the answer of this write is to be lost.
func (s *Server) loseAnswer(store Store) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[store]
	if !ok || f.LoseAnswers == 0 {
		return false
	}
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
	}
	return true
}

// Calls returns how many calls a store has had, refused ones included.
func (s *Server) Calls(store Store) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[store]
}

// admit applies the faults that come before a call takes effect. It returns
// false where the call has been answered, and does not return at all where
// the connection is to break.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, store Store) bool {
	f := s.fault(store)
	switch {
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.ThrottleEvery > 0 && s.Calls(store)%f.ThrottleEvery == 0:
		http.Error(w, "throttled", http.StatusTooManyRequests)
		return false
	}
	return wait(r.Context(), f.Delay)
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// breakConnection ends the exchange without an answer.
func breakConnection() { panic(http.ErrAbortHandler) }
