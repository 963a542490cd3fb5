package daemon

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/event"
)

// wakeExpiry makes expire look again at what is due when.
func (s *storeSync) wakeExpiry() {
	select {
	case s.targetsUpdated <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// expire removes targets whose entries lapsed during an outage of the store and were not
// registered again. It also accepts the entries of a restored backup that the store still
// holds when their quarantine ends.
func (s *storeSync) expire(ctx context.Context) {
	for {
		s.mu.Lock()
		returned, nextReturn := s.evacuations.expire(time.Now())
		quarantined := s.registry.Quarantined()
		expired, next := s.registry.Expire(time.Now())
		if len(s.registry.Quarantined()) > 0 {
			quarantined = nil
		}
		s.mu.Unlock()
		if len(expired)+len(quarantined) > 0 {
			event.TargetsChanged.Log(s.deps.Log, "lapsed", expired, "believed", quarantined)
		}
		if len(expired)+len(quarantined) > 0 || returned {
			s.view.apply()
		}
		next = earliest(next, nextReturn)
		select {
		case <-ctx.Done():
			return
		case <-s.targetsUpdated:
		case <-timerAt(next):
		}
	}
}

// earliest returns the earlier of two times; a zero one counts as none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// timerAt returns a channel that receives a value at a time; never if it is zero.
func timerAt(t time.Time) <-chan time.Time {
	if t.IsZero() {
		return nil
	}
	return time.After(time.Until(t))
}

// applyNotices applies what targets say about themselves in their responses.
func (s *storeSync) applyNotices(ctx context.Context) {
	for {
		s.mu.Lock()
		next := s.nextNotice
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-s.deps.Notices.Changed():
		case <-timerAt(next):
		}
		s.view.apply()
	}
}
