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

// desiredStateInterval bounds the delay until a change of ownership or of the document
// reaches the reconciler. Orders take seconds to minutes, so a second is short enough.
const desiredStateInterval = time.Second

// desiredStatePublisher passes the desired state of the owned targets to the reconciler.
// Ownership is not exclusive: two daemons may briefly own the same target. Only the lease
// of a target decides which daemon may send it orders.
type desiredStatePublisher struct {
	store      *config.Store
	loop       *control.Loop
	reconciler *order.Reconciler
}

func (f *desiredStatePublisher) run(ctx context.Context) {
	ticker := time.NewTicker(desiredStateInterval)
	defer ticker.Stop()
	defer f.reconciler.Stop()
	for {
		f.reconciler.SetTargets(f.desired())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *desiredStatePublisher) desired() []order.Desired {
	owned := map[ident.Service]map[ident.Target]bool{}
	f.loop.Inspect(func(c *scheduler.Core) { owned = c.OwnedTargets() })
	var desired []order.Desired
	for _, s := range f.store.Snapshot().Services() {
		for _, d := range order.FromDocument(s.Document, s.Revision) {
			if owned[d.Service][d.Target] {
				desired = append(desired, d)
			}
		}
	}
	return desired
}
