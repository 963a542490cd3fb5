package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/poison"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/targetconn"
)

const (
	// crashCheckDelay is how long after a broken exchange the target is checked: its process may
	// close its connections before its listener. crashCheckTimeout bounds the check.
	crashCheckDelay   = 50 * time.Millisecond
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckLifetime is how long a target counts as ended after a check.
	crashCheckLifetime = time.Second
	// maxCrashChecks bounds the results that are kept.
	maxCrashChecks = 1024
)

// endedWithTarget reports whether a response that has ended with its connection did so because its
// target has ended. One that leaves may accept no connections while it completes its responses.
func (s *Server) endedWithTarget(x *targetconn.Exchange, entry registry.Entry) bool {
	if !x.EndsWithConnection() {
		return false
	}
	current, known := s.targets.Load().ByIdentity[entry.Identity]
	leaves := !known || current.Draining || s.Notices.Leaves(entry)
	return !leaves && s.crashChecks.hasEnded(s.targetAccepts, entry)
}

func (s *Server) targetAccepts(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return s.Pool.Accepts(ctx, address)
}

// crashChecks finds out whether targets have ended. All requests that broke off at a target share
// one check. It is safe for concurrent use.
type crashChecks struct {
	mu     sync.Mutex
	checks map[poison.Process]*crashCheck
}

type crashCheck struct {
	began time.Time
	// done is closed when ended is set.
	done  chan struct{}
	ended bool
}

// isValidAt reports whether the check holds for a request that breaks off at a time: its connection
// is opened later than that, or the target had ended before.
func (c *crashCheck) isValidAt(now time.Time) bool {
	age := now.Sub(c.began)
	if age < crashCheckDelay {
		return true
	}
	select {
	case <-c.done:
		return c.ended && age < crashCheckLifetime
	default:
		return false
	}
}

// hasEnded reports whether a target at which a request has just broken off has ended: it does not
// accept connections any more. One that is reached at its address again within crashCheckDelay
// counts as not ended.
func (c *crashChecks) hasEnded(accepts func(address string) bool, entry registry.Entry) bool {
	check, first := c.begin(processOf(entry))
	if first {
		time.Sleep(crashCheckDelay)
		check.ended = !accepts(entry.Address)
		close(check.done)
	}
	<-check.done
	return check.ended
}

// begin returns the check of a target, and whether the caller has to carry it out.
func (c *crashChecks) begin(target poison.Process) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if known := c.checks[target]; known != nil && known.isValidAt(now) {
		return known, false
	}
	if c.checks == nil || len(c.checks) >= maxCrashChecks {
		c.checks = map[poison.Process]*crashCheck{}
	}
	check = &crashCheck{began: now, done: make(chan struct{})}
	c.checks[target] = check
	return check, true
}
