package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/registry"
)

const (
	// lateProofTime is how long after a request has broken off a new process at the address of its
	// target proves that the target ended. A target is back after some seconds.
	lateProofTime = 6 * time.Second
	// maxUnproven bounds the requests that wait for such a proof.
	maxUnproven = 1024
)

// unprovenCrashes holds the requests that have broken off at targets whose addresses accept
// connections all the same: whatever supervises a process may hold its listener. That the process has
// ended is then known only from the registration of the next one. It is safe for concurrent use.
type unprovenCrashes struct {
	mu   sync.Mutex
	runs []unprovenCrash
}

type unprovenCrash struct {
	run     poison.Run
	address string
	brokeAt time.Time
}

// add records a request that has broken off.
func (u *unprovenCrashes) add(c unprovenCrash) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.runs) >= maxUnproven {
		u.runs = u.runs[1:]
	}
	u.runs = append(u.runs, c)
}

// takeProven returns the requests whose targets have ended according to the registered ones, and
// forgets these, those of targets that leave, and those that broke off too long ago.
func (u *unprovenCrashes) takeProven(now time.Time, targets *Targets) (proven []poison.Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.runs) == 0 {
		return nil
	}
	processes := map[string]registry.Entry{}
	for _, e := range targets.ByIdentity {
		processes[e.Address] = e
	}
	u.runs = slices.DeleteFunc(u.runs, func(c unprovenCrash) bool {
		age := now.Sub(c.brokeAt)
		if targets.ByIdentity[c.run.Process.Target].Draining || age > lateProofTime {
			return true
		}
		current, known := processes[c.address]
		if !known || processOf(current) == c.run.Process {
			return false
		}
		c.run.Ago = age
		proven = append(proven, c.run)
		return true
	})
	return proven
}

func (s *Server) reportProvenCrashes() {
	for _, run := range s.unproven.takeProven(time.Now(), s.targets.Load()) {
		s.Poison.Crashed(run)
	}
}
