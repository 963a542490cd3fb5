package daemon

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/control"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/order"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// orderInterval is how soon a change of ownership or of the document reaches the
// reconciler. Orders take seconds to minutes, so that a second is soon enough.
const orderInterval = time.Second

// orderFollower hands the wanted state of the owned targets to the reconciler.
// Ownership is soft and may be double for a moment; who may give orders is
// decided by the lease of each target alone.
type orderFollower struct {
	store      *config.Store
	loop       *control.Loop
	reconciler *order.Reconciler
}

func (f *orderFollower) run(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	defer f.reconciler.Stop()
	for {
		f.reconciler.SetTargets(f.wanted())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *orderFollower) wanted() []order.Desired {
	owned := map[ident.Service]map[ident.Target]bool{}
	f.loop.Inspect(func(c *scheduler.Core) { owned = c.OwnedTargets() })
	var wanted []order.Desired
	for _, s := range f.store.Snapshot().Services() {
		for _, w := range order.FromDocument(s.Document, s.Revision) {
			if owned[w.Service][w.Target] {
				wanted = append(wanted, w)
			}
		}
	}
	return wanted
}
