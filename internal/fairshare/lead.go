package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// Leads returns a function that gives a workspace's lead in its group as Pick counts it,
// without its bounds: the slots over weight that the owner takes from it to
// repay the difference. It holds until the ledger changes.
func (l *Ledger) Leads() func(ident.Workspace) float64 {
	middles := map[*group]float64{}
	for a := range l.backlogged {
		if _, known := middles[a.group]; !known {
			middles[a.group], _ = l.middle(a.group)
		}
	}
	return func(ws ident.Workspace) float64 {
		a := l.accounts[ws]
		if a == nil {
			return 0
		}
		middle, ok := middles[a.group]
		if !ok {
			return 0
		}
		return (a.virtual - middle) / l.charge
	}
}
