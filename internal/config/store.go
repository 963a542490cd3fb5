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

// Store holds the configuration that is in force on one daemon. Readers take a
// Snapshot without a lock. A Store is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	entries map[ident.Service]Entry
	parsed  map[ident.Service]*Service
	// refused holds the highest revision of a service whose text is not valid
	// for this release.
	refused map[ident.Service]uint64
	// head is the revision up to which every change is known to be included.
	head uint64
	// proven is the head up to which the table's digest has shown that nothing
	// is missing. Peers and archives raise head, but only the table proves it.
	proven   uint64
	changed  chan struct{}
	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns an empty Store.
func NewStore() *Store {
	s := &Store{
		entries: map[ident.Service]Entry{},
		parsed:  map[ident.Service]*Service{},
		refused: map[ident.Service]uint64{},
		changed: make(chan struct{}),
	}
	s.snapshot.Store(newSnapshot(nil))
	return s
}

// OfferAll puts each entry in force whose revision is higher than the one in
// force for its service, builds one snapshot, and tells whether any was taken.
//
// It guards against reverting: a stale read of the table, a peer that lags or
// an old snapshot offers an older entry, which would show as a service that
// returns to an earlier document or comes back after its deletion. The rule
// holds because the comparison and the change are one step under the lock, and
// because entries are replaced but never removed.
//
// The error tells of the first entry that is higher but whose text is not valid
// (written past Apply, or by a newer release). The entry in force stays then, and
// the others are not hindered.
func (s *Store) OfferAll(entries []Entry) (accepted bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		took, offerErr := s.take(e)
		accepted = accepted || took
		if offerErr != nil && err == nil {
			err = offerErr
		}
	}
	if accepted {
		s.publish()
	}
	return accepted, err
}

func (s *Store) take(e Entry) (bool, error) {
	if e.Revision <= s.entries[e.Service].Revision {
		return false, nil
	}
	service, err := e.compile()
	if err != nil {
		s.refused[e.Service] = max(s.refused[e.Service], e.Revision)
		return false, err
	}
	e.Text = bytes.Clone(e.Text)
	s.entries[e.Service] = e
	if service == nil {
		delete(s.parsed, e.Service)
	} else {
		s.parsed[e.Service] = service
	}
	return true, nil
}

// compile parses the entry's document; a deletion has none.
func (e Entry) compile() (*Service, error) {
	if e.Deleted {
		return nil, nil
	}
	d, err := document.Parse(e.Text)
	if err != nil {
		return nil, merry.Prependf(err, "service %s at revision %d", e.Service, e.Revision)
	}
	if d.Service != e.Service {
		return nil, merry.Errorf("the entry of service %s at revision %d holds the document of %s", e.Service, e.Revision, d.Service)
	}
	return newService(d, e.Revision), nil
}

func (s *Store) publish() {
	services := make([]*Service, 0, len(s.parsed))
	for _, service := range s.parsed {
		services = append(services, service)
	}
	s.snapshot.Store(newSnapshot(services))
	s.signal()
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns the configuration in force. It never blocks.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Entries returns the entries in force by service, deletions included, for
// peers that catch up. The texts must not be changed.
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

// Revisions returns the revision in force for each service, deletions
// included. Peers compare it with theirs and ask only for what is missing.
func (s *Store) Revisions() map[ident.Service]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := make(map[ident.Service]uint64, len(s.entries))
	for name, e := range s.entries {
		revisions[name] = e.Revision
	}
	return revisions
}

// Head returns the revision up to which every change is known to be in force
// here; zero until the table or a whole snapshot of it was read once.
func (s *Store) Head() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// seen returns the highest revision offered for each service, refused texts
// included.
func (s *Store) seen() map[ident.Service]uint64 {
	revisions := s.Revisions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, revision := range s.refused {
		revisions[name] = max(revisions[name], revision)
	}
	return revisions
}

// raiseHead notes that every change up to head has been offered.
func (s *Store) raiseHead(head uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if head > s.head {
		s.head = head
		s.signal()
	}
}

// prove notes that the table's digest agrees at head.
func (s *Store) prove(head uint64) {
	s.raiseHead(head)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proven = max(s.proven, head)
}

func (s *Store) provenHead() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proven
}

// Changed returns a channel that is closed at the next change of the entries
// or of Head. Take the channel first, then read.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
