package scheduler

import (
	"slices"
	"strings"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/placement"
)

// Workspaces may be restricted to a set of targets. Every daemon reads the
// restrictions from the service document, so no messages are needed: demand is
// reported only to the owners of the permitted targets, and no other targets
// are granted.

// setTargets sets the targets that the workspace may use; an empty list permits
// all.
func (w *workspace) setTargets(names []ident.Target) {
	w.allowedTargets = nil
	if len(names) == 0 {
		return
	}
	w.allowedTargets = make(map[ident.Target]bool, len(names))
	for _, name := range names {
		w.allowedTargets[name] = true
	}
}

// targetGroupKey returns a key that is equal for workspaces restricted to the
// same targets.
func targetGroupKey(names []ident.Target) string {
	var b strings.Builder
	for _, name := range slices.Sorted(slices.Values(names)) {
		b.WriteString(string(name) + " ")
	}
	return b.String()
}

// mayUse reports whether requests of the workspace may run on the target.
func (w *workspace) mayUse(name ident.Target) bool {
	return w.allowedTargets == nil || w.allowedTargets[name]
}

// mayUseAny reports whether the workspace may use one of the free targets.
func (w *workspace) mayUseAny(free []placement.FreeTarget) bool {
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

// updateOwnsTarget records whether this daemon owns a target that the workspace
// may use. If it does not, demand reported to it before a change of the
// document must not count as backlog: the leads of all other workspaces would
// be measured against a workspace that cannot be served here.
func (s *service) updateOwnsTarget(w *workspace) {
	w.ownsAllowedTarget = w.allowedTargets == nil
	for _, t := range s.owned {
		w.ownsAllowedTarget = w.ownsAllowedTarget || w.allowedTargets[t.Name]
	}
}

// ownersOf returns the daemons that own a target the workspace may use.
func (c *Core) ownersOf(s *service, w *workspace) map[ident.Daemon]bool {
	if w.allowedTargets == nil {
		return s.owners
	}
	owners := map[ident.Daemon]bool{}
	for name := range w.allowedTargets {
		if t := s.targets[name]; t != nil {
			owners[c.ownerOf(t)] = true
		}
	}
	return owners
}
