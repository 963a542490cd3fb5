package fairshare

import "github.com/savorystall/savorystall/internal/ident"

// SlotLeadFunc returns a function that gives a workspace's lead within its
// group as Pick computes it, but without bounds: the number of slots, divided
// by weight, that the owner withholds from it to repay the difference. The
// function is valid until the ledger changes.
func (l *Ledger) SlotLeadFunc() func(ident.Workspace) float64 {
	medians := map[*group]float64{}
	for a := range l.backlogged {
		if _, known := medians[a.group]; !known {
			medians[a.group], _ = l.backloggedMedian(a.group)
		}
	}
	return func(ws ident.Workspace) float64 {
		a := l.accounts[ws]
		if a == nil {
			return 0
		}
		median, ok := medians[a.group]
		if !ok {
			return 0
		}
		return (a.virtualTime - median) / l.runningCharge
	}
}
