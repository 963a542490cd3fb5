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
	// shard is the one that the workspace belongs to in the reduced exchange.
	shard int
	// queue holds the requests that wait here, running counts those that run.
	queue   *queue.Queue[*request]
	running int
	// since is when the queue was last empty, urgentSince when it last held no
	// interactive request.
	since, urgentSince time.Time
	// owners caches the peers to show demand to, in order.
	owners []*peer
	// shown is the demand that each owner knows: what it was last told, less
	// the grants that came from it since, where that is not nothing.
	shown map[ident.Daemon]demand
	// demand is what each ingress was last known to have waiting, less the
	// grants that were sent to it since, where that is not nothing; remote is
	// its sum.
	demand map[ident.Daemon]demand
	remote demand
	// active tells that the workspace is in the service's list of active ones,
	// told that there is nothing to tell owners before the next settle.
	active, told bool
	// turn counts the picks of an ingress, up to urgentTurns.
	turn int
	// granted counts the grants of this owner that are in use.
	granted int
	// given lists them by ingress, in order of their ids.
	given map[ident.Daemon][]uint64
}

func newWorkspace(spec Workspace) *workspace {
	return &workspace{
		queue:  queue.New[*request](queue.Config{Limit: spec.Queue}),
		shown:  map[ident.Daemon]demand{},
		demand: map[ident.Daemon]demand{},
		given:  map[ident.Daemon][]uint64{},
	}
}

func (w *workspace) configure(spec Workspace) {
	w.Workspace = spec
	if spec.Queue > 0 {
		w.queue.SetLimit(spec.Queue)
	}
}

func (w *workspace) waiting() int { return w.queue.Len() }

// remoteDemand is how many requests wait at other ingresses.
func (w *workspace) remoteDemand() int { return w.remote.waiting }

// setDemand changes what is known to wait at an ingress.
func (w *workspace) setDemand(ingress ident.Daemon, d demand) {
	old := w.demand[ingress]
	w.remote.waiting += d.waiting - old.waiting
	w.remote.urgent += d.urgent - old.urgent
	setOrDelete(w.demand, ingress, d)
}

// setShown changes what an owner is known to have been told.
func (w *workspace) setShown(owner ident.Daemon, d demand) {
	setOrDelete(w.shown, owner, d)
	w.told = false
}

func setOrDelete(m map[ident.Daemon]demand, id ident.Daemon, d demand) {
	if d == (demand{}) {
		delete(m, id)
		return
	}
	m[id] = d
}

// quiet tells that nothing waits anywhere and that every owner knows it.
func (w *workspace) quiet() bool {
	return w.waiting() == 0 && len(w.demand) == 0 && len(w.shown) == 0
}

// own is the demand of this ingress.
func (w *workspace) own() demand {
	return demand{waiting: w.waiting(), urgent: w.queue.LenClass(uint8(Interactive))}
}

// give remembers a grant, take forgets it.
func (w *workspace) give(to ident.Daemon, id uint64) {
	w.granted++
	w.given[to] = append(w.given[to], id)
}

func (w *workspace) take(from ident.Daemon, id uint64) {
	list := w.given[from]
	i, ok := slices.BinarySearch(list, id)
	if !ok {
		return
	}
	w.granted--
	w.given[from] = slices.Delete(list, i, i+1)
}

// unseen counts the grants to an ingress that it had not seen at the id.
func (w *workspace) unseen(ingress ident.Daemon, seen uint64) int {
	list := w.given[ingress]
	i, _ := slices.BinarySearch(list, seen+1)
	return len(list) - i
}
