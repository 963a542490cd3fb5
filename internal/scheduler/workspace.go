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
	// queue holds the requests that wait here, running counts those that run.
	queue   *queue.Queue[*request]
	running int
	// since is when the queue was last empty, urgentSince when it last held no
	// interactive request.
	since, urgentSince time.Time
	// owners caches the peers to show demand to, in order.
	owners []*peer
	// shown is the demand that each owner knows: what it was last told, less
	// the grants that came from it since. Owners that know of none are left out.
	shown map[ident.Daemon]demand
	// demand is what each ingress was last known to have waiting, less the
	// grants that were sent to it since.
	demand map[ident.Daemon]demand
	// turn counts the picks of an ingress, up to urgentTurns.
	turn int
	// granted counts the grants of this owner that are in use.
	granted int
	// given lists them by ingress, in order of their ids.
	given map[ident.Daemon][]uint64
}

// know notes the demand that an owner knows.
func (w *workspace) know(owner ident.Daemon, d demand) {
	if d == (demand{}) {
		delete(w.shown, owner)
		return
	}
	w.shown[owner] = d
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
func (w *workspace) remoteDemand() int {
	n := 0
	for _, d := range w.demand {
		n += d.waiting
	}
	return n
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
