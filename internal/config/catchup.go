package config

// EntriesAfter returns the entries with revisions above a given head, and the
// head up to which they are complete. Both are read atomically: a head that is
// read later could cover changes that the entries lack.
func (s *Store) EntriesAfter(after uint64) (entries []Entry, head uint64) {
	current := s.exportArchive()
	for _, e := range current.Entries {
		if e.Revision > after {
			entries = append(entries, e)
		}
	}
	return entries, current.Revision
}

// CatchUp applies a peer's active entries and advances Head to the peer's head.
// Entries must hold all of the peer's entries above an earlier Head of this
// Store. It lets a daemon that cannot read the table receive changes.
//
// The head is not advanced if the peer restarted without state between
// announcing its head and sending its entries; otherwise this daemon would
// consider itself up to date without having the documents. The change that
// produced a head belongs to one service, whose entry has that revision or a
// later one, so the head stays where it is unless such an entry is present. Any
// other entry that a peer lacks is found by the next poll of the table, which
// compares the digest.
func (s *Store) CatchUp(entries []Entry, head uint64) (changed bool, err error) {
	changed, err = s.ApplyNewer(entries)
	if s.newestRevision() >= head {
		s.advanceHead(head)
	}
	return changed, err
}

// newestRevision returns the highest revision passed to the Store so far,
// including those of rejected documents.
func (s *Store) newestRevision() uint64 {
	var newest uint64
	for _, revision := range s.seenRevisions() {
		newest = max(newest, revision)
	}
	return newest
}
