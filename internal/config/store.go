package config

import (
	"bytes"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
)

// Store holds the active configuration of one daemon. Readers get a Snapshot
// without locking. A Store is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	entries  map[ident.Service]Entry
	services map[ident.Service]*Service
	// rejected maps each service to its highest revision whose text is not
	// valid for this release.
	rejected map[ident.Service]uint64
	// head is the revision up to which all changes are known to be included.
	head uint64
	// verified is the head up to which the digest of the table has confirmed
	// that no change is missing. Peers and archives advance head, but only the
	// table verifies it.
	verified uint64
	changed  chan struct{}
	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns an empty Store.
func NewStore() *Store {
	s := &Store{
		entries:  map[ident.Service]Entry{},
		services: map[ident.Service]*Service{},
		rejected: map[ident.Service]uint64{},
		changed:  make(chan struct{}),
	}
	s.snapshot.Store(newSnapshot(nil))
	return s
}

// ApplyNewer applies each entry whose revision is higher than the active one of
// its service, builds one snapshot, and reports whether any entry was applied.
//
// It never reverts a service. Stale reads of the table, lagging peers and old
// archives supply older entries; applying them would return a service to an
// earlier document or bring it back after its deletion. This cannot happen
// because the comparison and the update are one step under the lock, and because
// entries are replaced but never removed.
//
// The error describes the first entry that has a higher revision but an invalid
// text (written without Apply, or by a newer release). The active entry of that
// service is then kept, and the other entries are still applied.
func (s *Store) ApplyNewer(entries []Entry) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		applied, entryErr := s.apply(e)
		changed = changed || applied
		if entryErr != nil && err == nil {
			err = entryErr
		}
	}
	if changed {
		s.publish()
	}
	return changed, err
}

func (s *Store) apply(e Entry) (bool, error) {
	if e.Revision <= s.entries[e.Service].Revision {
		return false, nil
	}
	service, err := e.compile()
	if err != nil {
		s.rejected[e.Service] = max(s.rejected[e.Service], e.Revision)
		return false, err
	}
	e.Text = bytes.Clone(e.Text)
	s.entries[e.Service] = e
	if service == nil {
		delete(s.services, e.Service)
	} else {
		s.services[e.Service] = service
	}
	return true, nil
}

// compile parses the document of the entry. It returns nil for a deletion.
func (e Entry) compile() (*Service, error) {
	if e.Deleted {
		return nil, nil
	}
	d, err := document.Parse(e.Text)
	if err != nil {
		return nil, merry.Prependf(err, "service %s at revision %d", e.Service, e.Revision)
	}
	if d.Service != e.Service {
		return nil, merry.Errorf("entry of service %s at revision %d contains the document of service %s", e.Service, e.Revision, d.Service)
	}
	return newService(d, e.Revision), nil
}

func (s *Store) publish() {
	services := make([]*Service, 0, len(s.services))
	for _, service := range s.services {
		services = append(services, service)
	}
	s.snapshot.Store(newSnapshot(services))
	s.notifyChanged()
}

func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns the active configuration. It never blocks.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Entries returns the active entries sorted by service, including deletions, for
// peers that catch up. The texts must not be modified.
func (s *Store) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return list
}

func (s *Store) entry(service ident.Service) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[service]
	return e, ok
}

// Revisions returns the active revision of each service, including deletions.
// Peers compare it with theirs and request only the missing entries.
func (s *Store) Revisions() map[ident.Service]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := make(map[ident.Service]uint64, len(s.entries))
	for name, e := range s.entries {
		revisions[name] = e.Revision
	}
	return revisions
}

// Head returns the revision up to which all changes are known to be included in
// this Store. It is zero until the table, an archive or the entries of a peer
// have been read.
func (s *Store) Head() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// seenRevisions returns the highest revision of each service passed to the
// Store so far, including those with rejected texts.
func (s *Store) seenRevisions() map[ident.Service]uint64 {
	revisions := s.Revisions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, revision := range s.rejected {
		revisions[name] = max(revisions[name], revision)
	}
	return revisions
}

// advanceHead records that all changes up to head have been passed to the Store.
func (s *Store) advanceHead(head uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head > s.head {
		s.head = head
		s.notifyChanged()
	}
}

// markVerified records that the digest of the table matches at head.
func (s *Store) markVerified(head uint64) {
	s.advanceHead(head)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verified = max(s.verified, head)
}

func (s *Store) verifiedHead() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verified
}

// Changed returns a channel that is closed at the next change of the entries or
// of Head. Get the channel before reading, so that no change is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
