package daemon

import "sync"

// viewApplier installs a view of what several followers have read, each time one of them
// has read something new.
//
// It guards against an older view that is installed after a newer one. Without the lock,
// the follower of routes could take a snapshot and be descheduled while the follower of
// targets takes a later snapshot and installs it; the first would then install its outdated
// snapshot, which has routes but no targets. The daemon would refuse every request with "no
// usable target" until the next change of a table, which may be minutes away. The lock is
// held from the snapshot to its installation, so that each installed view is at least as
// new as all before it.
type viewApplier[View any] struct {
	mu       sync.Mutex
	snapshot func() View
	install  func(View)
}

func (a *viewApplier[View]) apply() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.install(a.snapshot())
}
