package scheduler

import (
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/queue"
)

// workspace is the state of one workspace of one service.
type workspace struct {
	Workspace
	// shard is the shard of the workspace in hierarchical aggregation.
	shard int
	// queue holds the requests that wait at this daemon; running counts those that
	// run.
	queue   *queue.Queue[*request]
	running int
	// nonEmptySince is when the queue was last empty, and interactiveSince when it
	// last held no interactive request.
	nonEmptySince, interactiveSince time.Time
	// owners caches the peers to send demand to, in order.
	owners []*peer
	// sentDemand is the demand that each owner knows: what it was last sent, less the
	// grants received from it since. Zero values are omitted.
	sentDemand map[ident.Daemon]demand
	// ingressDemand is the demand last reported by each ingress, less the grants sent
	// to it since. Zero values are omitted. remoteTotal is its sum.
	ingressDemand map[ident.Daemon]demand
	remoteTotal   demand
	// active is set while the workspace is in the service's list of active ones,
	// demandUpToDate while owners need no update before demand is next withdrawn.
	active, demandUpToDate bool
	// pickCount counts the times an ingress was picked for a grant, modulo
	// maxInteractiveGrants + 1.
	pickCount int
	// allowedTargets are the targets that a workspace restricted to some targets may
	// use; nil means all. ownsAllowedTarget reports whether this daemon owns one.
	allowedTargets    map[ident.Target]bool
	ownsAllowedTarget bool
	// activeGrants counts the grants of this owner that are in use, and recentGrants
	// those younger than an exchange interval, whether in use or not.
	activeGrants, recentGrants int
	// grantIDs lists the active grants by ingress, in ascending order.
	grantIDs map[ident.Daemon][]uint64
}

func newWorkspace(spec Workspace) *workspace {
	return &workspace{
		queue:         queue.New[*request](queue.Config{Limit: spec.QueueLimit}),
		sentDemand:    map[ident.Daemon]demand{},
		ingressDemand: map[ident.Daemon]demand{},
		grantIDs:      map[ident.Daemon][]uint64{},
	}
}

func (w *workspace) configure(spec Workspace) {
	w.Workspace = spec
	w.setTargets(spec.Targets)
	if spec.QueueLimit > 0 {
		w.queue.SetLimit(spec.QueueLimit)
	}
}

func (w *workspace) waiting() int { return w.queue.Len() }

// remoteWaiting returns how many requests wait at other ingresses.
func (w *workspace) remoteWaiting() int { return w.remoteTotal.waiting }

// setIngressDemand changes the known demand of an ingress.
func (w *workspace) setIngressDemand(ingress ident.Daemon, d demand) {
	old := w.ingressDemand[ingress]
	w.remoteTotal.waiting += d.waiting - old.waiting
	w.remoteTotal.interactive += d.interactive - old.interactive
	setOrDelete(w.ingressDemand, ingress, d)
}

// setSentDemand changes the demand that an owner is known to have received.
func (w *workspace) setSentDemand(owner ident.Daemon, d demand) {
	setOrDelete(w.sentDemand, owner, d)
	w.demandUpToDate = false
}

func setOrDelete(m map[ident.Daemon]demand, id ident.Daemon, d demand) {
	if d == (demand{}) {
		delete(m, id)
		return
	}
	m[id] = d
}

// isQuiet reports whether no request waits anywhere and every owner knows it.
func (w *workspace) isQuiet() bool {
	return w.waiting() == 0 && len(w.ingressDemand) == 0 && len(w.sentDemand) == 0
}

// ownDemand returns the demand of this ingress.
func (w *workspace) ownDemand() demand {
	return demand{waiting: w.waiting(), interactive: w.queue.LenClass(uint8(Interactive))}
}

// addGrant records a grant to an ingress.
func (w *workspace) addGrant(to ident.Daemon, id uint64) {
	w.activeGrants++
	w.grantIDs[to] = append(w.grantIDs[to], id)
}

func (w *workspace) removeGrant(from ident.Daemon, id uint64) {
	list := w.grantIDs[from]
	i, ok := slices.BinarySearch(list, id)
	if !ok {
		return
	}
	w.activeGrants--
	w.grantIDs[from] = slices.Delete(list, i, i+1)
}

// unseenGrants counts the grants to an ingress with IDs above the last one it has
// seen.
func (w *workspace) unseenGrants(ingress ident.Daemon, seen uint64) int {
	list := w.grantIDs[ingress]
	i, _ := slices.BinarySearch(list, seen+1)
	return len(list) - i
}
