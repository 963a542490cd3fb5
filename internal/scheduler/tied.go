package scheduler

import (
	"slices"
	"strings"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// A tied workspace may use only some targets. Every daemon has the ties from the
// service document, so that they need no message: its demand is shown to the
// owners of its targets alone, and no other target is granted to it.

// tie sets the targets that the workspace may use.
func (w *workspace) tie(names []ident.Target) {
	w.allowedTargets = nil
	if len(names) == 0 {
		return
	}
	w.allowedTargets = make(map[ident.Target]bool, len(names))
	for _, name := range names {
		w.allowedTargets[name] = true
	}
}

// groupName is the same for workspaces that are tied to the same targets.
func groupName(names []ident.Target) string {
	var b strings.Builder
	for _, name := range slices.Sorted(slices.Values(names)) {
		b.WriteString(string(name) + " ")
	}
	return b.String()
}

// mayUse tells whether requests of the workspace may run on the target.
func (w *workspace) mayUse(name ident.Target) bool {
	return w.allowedTargets == nil || w.allowedTargets[name]
}

// fits tells whether one of the free targets is for the workspace.
func (w *workspace) fits(free []placement.Free) bool {
	if w.allowedTargets == nil {
		return len(free) > 0
	}
	for _, f := range free {
		if w.allowedTargets[f.Target] {
			return true
		}
	}
	return false
}

// findHere notes whether this daemon owns a target that the workspace may use.
// Where it owns none, demand that was shown to it before a change of the
// document must not count as backlog: that of one workspace that cannot be
// served would be what the leads of all others are measured from.
func (s *service) findHere(w *workspace) {
	w.ownsAllowedTarget = w.allowedTargets == nil
	for _, t := range s.owned {
		w.ownsAllowedTarget = w.ownsAllowedTarget || w.allowedTargets[t.Name]
	}
}

// ownersOf returns the daemons that own a target which the workspace may use.
func (c *Core) ownersOf(s *service, w *workspace) map[ident.Daemon]bool {
	if w.allowedTargets == nil {
		return s.owners
	}
	owners := map[ident.Daemon]bool{}
	for name := range w.allowedTargets {
		if t := s.targets[name]; t != nil {
			owners[c.owner(t)] = true
		}
	}
	return owners
}
