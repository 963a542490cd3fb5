package order

import (
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// FromDocument returns what the document, in force with the revision, wants of
// its targets; none where it leaves them alone.
func FromDocument(d *document.Document, revision uint64) []Wanted {
	if d.Orders == nil {
		return nil
	}
	addresses := make(map[ident.Target]string, len(d.Targets))
	for _, t := range d.Targets {
		addresses[t.Name] = t.Address
	}
	wanted := make([]Wanted, 0, len(d.Orders.Targets))
	for _, t := range d.Orders.Targets {
		wanted = append(wanted, Wanted{
			Service: d.Service, Target: t.Name, Address: addresses[t.Name], Document: revision,
			Fenced: d.Orders.Fencing == document.Enforced, LongestOrder: d.Orders.LongestOrder,
			State: State{Models: t.Models, Adapters: t.Adapters, Version: t.Version, Role: t.Role},
		})
	}
	return wanted
}
