package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/preemption"
)

// Preempt stops the attempt of a running request. The caller of the Core cancels
// the stream, reports it by Finish with Result.Preempted, and queues the request
// again by Requeue.
type Preempt struct {
	Request ident.Request
}

func (Preempt) effect() {}

// preemptAnswer is how long an owner waits for the slot that it asked back. An
// ingress of another zone answers within a few ticks; one that has nothing to
// stop does not answer, and a lost message is not sent again.
const preemptAnswer = time.Second

// freeing is a slot that this owner has asked back and does not have yet.
type freeing struct {
	to, from *workspace
	ingress  ident.Daemon
	since    time.Time
}

// preempt asks ingresses for slots back, where all are taken and a question
// waits of a workspace below its share.
func (c *Core) preempt(now time.Time, s *service) {
	if !s.preemptionEnabled || !slices.ContainsFunc(s.active, (*workspace).anyUrgent) {
		return
	}
	s.pendingPreemptions = slices.DeleteFunc(s.pendingPreemptions, func(f freeing) bool { return now.Sub(f.since) >= preemptAnswer })
	running, slots := s.occupied()
	for slots > 0 && s.preemptionBudget.Available(now, slots) {
		involved, list := s.standings(running)
		to, from, ok := preemption.Choose(slots, list)
		if !ok {
			return
		}
		g := s.youngest(involved[from], involved[to])
		if g == nil {
			return
		}
		s.preemptionBudget.Spend()
		g.preemptRequested = true
		s.pendingPreemptions = append(s.pendingPreemptions, freeing{to: involved[to], from: involved[from], ingress: g.ingress, since: now})
		if g.ingress == c.cfg.Self {
			c.stop(now, c.cfg.Self, g.ID)
			continue
		}
		m := c.messageTo(g.ingress)
		m.PreemptGrants = append(m.PreemptGrants, g.ID)
	}
}

// occupied counts the slots in use of the owned targets, by workspace and in all.
// Grants of targets that have another owner by now are left out: their slots
// would be given away there.
func (s *service) occupied() (running map[ident.Workspace]int, slots int) {
	running = map[ident.Workspace]int{}
	for _, t := range s.owned {
		for _, g := range t.grants {
			running[g.Workspace]++
			slots++
		}
	}
	return running, slots
}

// standings lists the workspaces that have slots here or wait.
func (s *service) standings(running map[ident.Workspace]int) (involved []*workspace, list []preemption.WorkspaceUsage) {
	lead := s.ledger.SlotLeadFunc()
	for _, w := range s.sortedWorkspaces {
		if running[w.Name] == 0 && w.waiting() == 0 && w.remoteWaiting() == 0 {
			continue
		}
		one := preemption.WorkspaceUsage{
			Weight: w.Weight, Running: running[w.Name],
			WaitingInteractive: w.ownDemand().urgent + w.remoteTotal.urgent, Lead: lead(w.Name),
		}
		if !w.ownsAllowedTarget {
			one.WaitingInteractive = 0 // No slot of this owner is for it.
		}
		for _, f := range s.pendingPreemptions {
			if f.to == w {
				one.Running++
				one.WaitingInteractive--
			}
			if f.from == w {
				one.Releasing++
			}
		}
		involved, list = append(involved, w), append(list, one)
	}
	return involved, list
}

// youngest returns the workspace's latest grant that was not asked back yet, on a
// target that the other may use, or nil. Each is asked back once: an ingress that has nothing to stop for it will
// hardly have later.
func (s *service) youngest(w, to *workspace) *issuedGrant {
	var best *issuedGrant
	for _, t := range s.owned {
		if !to.mayUse(t.Name) {
			continue
		}
		for _, g := range t.grants {
			if g.Workspace == w.Name && !g.preemptRequested && (best == nil || g.ID > best.ID) {
				best = g
			}
		}
	}
	return best
}

// freed gives a slot that was asked back to the workspace that it was taken for,
// where a question of it still waits.
func (c *Core) freed(now time.Time, g *issuedGrant) {
	s := g.target.service
	i := slices.IndexFunc(s.pendingPreemptions, func(f freeing) bool { return f.ingress == g.ingress && f.from.Name == g.Workspace })
	if i < 0 {
		return
	}
	w := s.pendingPreemptions[i].to
	s.pendingPreemptions = slices.Delete(s.pendingPreemptions, i, i+1)
	if s.workspaces[w.Name] != w || !w.anyUrgent() {
		return
	}
	s.findFree()
	if t := c.freeTarget(s, w); t != nil {
		w.pickCount = 0 // the next draw is among ingresses with questions
		c.grant(now, t, w, c.pickIngress(w))
	}
}

// stop answers an owner that asks a grant's slot back: the request on it is
// stopped, or in its place another of the workspace's on that owner's slots, the
// one with the least to read again. Only the ingress knows which of them may be.
//
// A grant that has ended is ignored, and so is one that was asked back before: a
// message that comes late or twice would stop a second stream for a slot that
// nobody waits for.
func (c *Core) stop(now time.Time, owner ident.Daemon, id uint64) {
	var asked *request
	for _, r := range c.requests {
		if r.running && r.owner == owner && r.grant.ID == id {
			asked = r
		}
	}
	if asked == nil || asked.preemptRequested {
		return
	}
	asked.preemptRequested = true
	if r := c.leastLoss(now, asked); r != nil {
		r.stopping = true
		c.emit(Preempt{Request: r.ID})
	}
}

func (c *Core) leastLoss(now time.Time, like *request) *request {
	s := c.services[like.Service]
	if s == nil {
		return nil
	}
	var best *request
	for _, r := range c.requests {
		if !r.running || r.stopping || r.owner != like.owner || r.Service != like.Service || r.Workspace != like.Workspace {
			continue
		}
		if !r.stream(s).Preemptible(now) {
			continue
		}
		if best == nil || r.loss() < best.loss() || r.loss() == best.loss() && r.grant.ID > best.grant.ID {
			best = r
		}
	}
	return best
}

func (r *request) stream(s *service) preemption.Stream {
	return preemption.Stream{
		Allowed: r.Preemptible && s.preemptionEnabled && r.Class != Interactive,
		Served:  r.loss(), Cost: r.Cost, Preemptions: r.Preemptions,
		Deadline: r.Deadline, MedianServiceTime: s.admission.MedianServiceTime(uint8(r.Class)),
	}
}

// loss is what would be read again, as far as it was reported.
func (r *request) loss() float64 { return r.PriorServed + r.charged }
