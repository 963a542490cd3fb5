package order

import (
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// FromDocument returns the desired state of each target that the document, which
// is in force with the revision, manages. It is nil if the document does not
// manage its targets.
func FromDocument(d *document.Document, revision uint64) []Desired {
	if d.Orders == nil {
		return nil
	}
	addresses := make(map[ident.Target]string, len(d.Targets))
	for _, t := range d.Targets {
		addresses[t.Name] = t.Address
	}
	desired := make([]Desired, 0, len(d.Orders.Targets))
	for _, t := range d.Orders.Targets {
		desired = append(desired, Desired{
			Service: d.Service, Target: t.Name, Address: addresses[t.Name], DocumentRevision: revision,
			Fenced: d.Orders.Fencing == document.Enforced, LongestOrder: d.Orders.LongestOrder,
			State: State{Models: t.Models, Adapters: t.Adapters, Version: t.Version, Role: t.Role},
		})
	}
	return desired
}
