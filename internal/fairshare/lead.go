package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// Leads returns a function that gives a workspace's lead as Pick counts it,
// without its bounds: the slots over weight that the owner takes from it to
// repay the difference. It holds until the ledger changes.
func (l *Ledger) Leads() func(ident.Workspace) float64 {
	middle, ok := l.middle()
	return func(ws ident.Workspace) float64 {
		a := l.accounts[ws]
		if a == nil || !ok {
			return 0
		}
		return (a.virtual - middle) / l.charge
	}
}
