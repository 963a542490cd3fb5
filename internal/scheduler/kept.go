package scheduler

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// keptGrant is a grant of another daemon that is kept for the workspace's next
// request, though nothing waits.
type keptGrant struct {
	Grant
	owner ident.Daemon
	// granted is when the grant was first used, until when it goes back.
	granted, until time.Time
	// result is that of the last request that ran on it.
	result Result
}

// keep holds a grant back for a moment instead of releasing it, where its owner
// said that it has slots to spare. It answers short calls that come one by one:
// without it each costs a demand, a grant and a release, and waits for the first
// two. A slot that is wanted elsewhere is not kept: the owner then grants without
// the mark, and one kept before that comes back within Linger.
func (c *Core) keep(now time.Time, r *request, result Result) bool {
	s := c.services[r.Service]
	until := r.granted.Add(c.cfg.Slice)
	if linger := now.Add(c.cfg.Linger); linger.Before(until) {
		until = linger
	}
	switch {
	case s == nil || !r.grant.Spare || r.owner == c.cfg.Self || c.peers[r.owner] == nil:
		return false
	case !now.Before(until) || result.Failed || result.NotRun || c.leaving:
		return false
	}
	if t := s.targets[r.grant.Target]; t == nil || !t.usable() {
		return false
	}
	c.kept = append(c.kept, keptGrant{Grant: r.grant, owner: r.owner, granted: r.granted, until: until, result: result})
	return true
}

// useKept binds the requests that wait to the grants kept for their workspace,
// the one kept last first: those that are not needed then go back.
func (c *Core) useKept(now time.Time, s *service, w *workspace) {
	for i := len(c.kept) - 1; i >= 0 && w.waiting() > 0; i-- {
		k := c.kept[i]
		if k.Service != s.name || k.Workspace != w.Name || c.peers[k.owner] == nil {
			continue
		}
		if t := s.targets[k.Target]; t == nil || !t.usable() {
			continue
		}
		r := c.bind(now, k.Grant)
		if r == nil {
			return
		}
		c.kept = append(c.kept[:i], c.kept[i+1:]...)
		c.start(r, k.owner, k.Grant, k.granted)
	}
}

// returnKept releases the kept grants whose time is over.
func (c *Core) returnKept(now time.Time) {
	left := c.kept[:0]
	for _, k := range c.kept {
		if now.Before(k.until) && c.peers[k.owner] != nil {
			left = append(left, k)
			continue
		}
		c.release(now, k.owner, Release{Grant: k.ID, Result: k.result})
	}
	c.kept = left
}

// spareShare is the part of an owner's slots that must be free for it to have
// slots to spare: what is kept then is at most as much as what stays free.
const spareShare = 0.5

// spare tells whether so many of the owned slots are free that an ingress may
// keep one idle.
func (s *service) spare() bool {
	free, all := 0, 0
	for _, t := range s.owned {
		limit := t.limit()
		all += limit
		free += max(0, limit-len(t.grants))
	}
	return float64(free) >= spareShare*float64(all)
}
