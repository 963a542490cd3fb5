package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/preemption"
)

// Preempt stops the attempt of a running request. The caller of the Core
// cancels the stream, reports it with Finish and Result.Preempted, and queues
// the request again with Requeue.
type Preempt struct {
	Request ident.Request
}

func (Preempt) effect() {}

// preemptTimeout is how long an owner waits for a slot it has requested back.
// An ingress in another zone responds within a few ticks. One that has nothing
// to stop does not respond, and a lost message is not retransmitted.
const preemptTimeout = time.Second

// pendingPreemption is a slot that this owner has requested back and not yet
// received.
type pendingPreemption struct {
	beneficiary, victim *workspace
	ingress             ident.Daemon
	requestedAt         time.Time
}

// requestPreemptions asks ingresses to return slots if all slots are in use and
// an interactive request of a workspace below its fair share is waiting.
func (c *Core) requestPreemptions(now time.Time, s *service) {
	if !s.preemptionEnabled || !slices.ContainsFunc(s.active, (*workspace).hasInteractiveDemand) {
		return
	}
	s.pendingPreemptions = slices.DeleteFunc(s.pendingPreemptions, func(p pendingPreemption) bool { return now.Sub(p.requestedAt) >= preemptTimeout })
	running, slots := s.slotsInUse()
	for slots > 0 && s.preemptionBudget.Available(now, slots) {
		involved, usages := s.workspaceUsage(running)
		beneficiary, victim, ok := preemption.Choose(slots, usages)
		if !ok {
			return
		}
		g := s.latestGrant(involved[victim], involved[beneficiary])
		if g == nil {
			return
		}
		s.preemptionBudget.Spend()
		g.preemptRequested = true
		s.pendingPreemptions = append(s.pendingPreemptions, pendingPreemption{beneficiary: involved[beneficiary], victim: involved[victim], ingress: g.ingress, requestedAt: now})
		if g.ingress == c.cfg.Self {
			c.handlePreempt(now, c.cfg.Self, g.ID)
			continue
		}
		m := c.messageTo(g.ingress)
		m.PreemptGrants = append(m.PreemptGrants, g.ID)
	}
}

// slotsInUse counts the slots in use on the owned targets, by workspace and in
// total. Grants for targets that now have another owner are excluded, because
// that owner would grant their slots.
func (s *service) slotsInUse() (running map[ident.Workspace]int, slots int) {
	running = map[ident.Workspace]int{}
	for _, t := range s.owned {
		for _, g := range t.grants {
			running[g.Workspace]++
			slots++
		}
	}
	return running, slots
}

// workspaceUsage returns the workspaces that hold slots here or have waiting
// requests, with the usage of each.
func (s *service) workspaceUsage(running map[ident.Workspace]int) (involved []*workspace, usages []preemption.WorkspaceUsage) {
	leadOf := s.ledger.SlotLeadFunc()
	for _, w := range s.sortedWorkspaces {
		if running[w.Name] == 0 && w.waiting() == 0 && w.remoteWaiting() == 0 {
			continue
		}
		usage := preemption.WorkspaceUsage{
			Weight: w.Weight, Running: running[w.Name],
			WaitingInteractive: w.ownDemand().interactive + w.remoteTotal.interactive, Lead: leadOf(w.Name),
		}
		if !w.ownsAllowedTarget {
			usage.WaitingInteractive = 0 // this owner has no target that it may use
		}
		for _, p := range s.pendingPreemptions {
			if p.beneficiary == w {
				usage.Running++
				usage.WaitingInteractive--
			}
			if p.victim == w {
				usage.Releasing++
			}
		}
		involved, usages = append(involved, w), append(usages, usage)
	}
	return involved, usages
}

// latestGrant returns the workspace's latest grant that has not been requested
// back, on a target that the beneficiary may use, or nil. Each grant is
// requested back only once: an ingress that has nothing to stop for it is
// unlikely to have something later.
func (s *service) latestGrant(victim, beneficiary *workspace) *issuedGrant {
	var latest *issuedGrant
	for _, t := range s.owned {
		if !beneficiary.mayUse(t.Name) {
			continue
		}
		for _, g := range t.grants {
			if g.Workspace == victim.Name && !g.preemptRequested && (latest == nil || g.ID > latest.ID) {
				latest = g
			}
		}
	}
	return latest
}

// reassignPreemptedSlot grants a preempted slot to the workspace it was
// requested for, if an interactive request of that workspace is still waiting.
func (c *Core) reassignPreemptedSlot(now time.Time, g *issuedGrant) {
	s := g.target.service
	i := slices.IndexFunc(s.pendingPreemptions, func(p pendingPreemption) bool { return p.ingress == g.ingress && p.victim.Name == g.Workspace })
	if i < 0 {
		return
	}
	w := s.pendingPreemptions[i].beneficiary
	s.pendingPreemptions = slices.Delete(s.pendingPreemptions, i, i+1)
	if s.workspaces[w.Name] != w || !w.hasInteractiveDemand() {
		return
	}
	s.listFreeTargets()
	if t := c.chooseTarget(s, w); t != nil {
		w.pickCount = 0 // choose among ingresses with interactive requests
		c.grant(now, t, w, c.pickIngress(w))
	}
}

// handlePreempt handles an owner's request to return the slot of a grant. It
// stops the request that runs on it, or another request of the same workspace
// on that owner's slots that loses less work. Only the ingress knows which of
// them may be stopped.
//
// Unknown or finished grants are ignored, and so are grants that were requested
// back before: a late or duplicate message would stop a second stream for a
// slot that no request is waiting for.
func (c *Core) handlePreempt(now time.Time, owner ident.Daemon, id uint64) {
	var requested *request
	for _, r := range c.requests {
		if r.running && r.owner == owner && r.grant.ID == id {
			requested = r
		}
	}
	if requested == nil || requested.preemptRequested {
		return
	}
	requested.preemptRequested = true
	if r := c.cheapestToPreempt(now, requested); r != nil {
		r.stopping = true
		c.emit(Preempt{Request: r.ID})
	}
}

func (c *Core) cheapestToPreempt(now time.Time, requested *request) *request {
	s := c.services[requested.Service]
	if s == nil {
		return nil
	}
	var cheapest *request
	for _, r := range c.requests {
		if !r.running || r.stopping || r.owner != requested.owner || r.Service != requested.Service || r.Workspace != requested.Workspace {
			continue
		}
		if !r.preemptionStream(s).Preemptible(now) {
			continue
		}
		if cheapest == nil || r.reprocessCost() < cheapest.reprocessCost() || r.reprocessCost() == cheapest.reprocessCost() && r.grant.ID > cheapest.grant.ID {
			cheapest = r
		}
	}
	return cheapest
}

func (r *request) preemptionStream(s *service) preemption.Stream {
	return preemption.Stream{
		Allowed: r.Preemptible && s.preemptionEnabled && r.Class != Interactive,
		Served:  r.reprocessCost(), Cost: r.Cost, Preemptions: r.Preemptions,
		Deadline: r.Deadline, MedianServiceTime: s.admission.MedianServiceTime(uint8(r.Class)),
	}
}

// reprocessCost is the cost already delivered, as far as reported, which a
// resumed request has to process again.
func (r *request) reprocessCost() float64 { return r.PriorServed + r.charged }
