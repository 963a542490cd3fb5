package config

// Since returns the entries above a head, and the head up to which they are
// complete. Both are of one moment: a head that is read later covers changes
// that the entries lack.
func (s *Store) Since(after uint64) (entries []Entry, head uint64) {
	all := s.archive()
	for _, e := range all.Entries {
		if e.Revision > after {
			entries = append(entries, e)
		}
	}
	return entries, all.Revision
}

// CatchUp puts in force what a peer has in force, and raises Head to the peer's.
// Entries must be all of the peer's above a Head that this Store had before.
// It serves a daemon that cannot read the table.
//
// It guards against a peer that was restarted without state between telling
// its head and giving its entries: the head would be raised without the
// documents, and this daemon would take itself for up to date. The change that
// made a head belongs to one service, whose entry has that revision or a later
// one; without such an entry the head stays. Whatever else a peer may lack is
// found by the next poll of the table, which checks the digest.
func (s *Store) CatchUp(entries []Entry, head uint64) (accepted bool, err error) {
	accepted, err = s.OfferAll(entries)
	if s.newest() >= head {
		s.raiseHead(head)
	}
	return accepted, err
}

// newest returns the highest revision that was offered.
func (s *Store) newest() uint64 {
	var newest uint64
	for _, revision := range s.seen() {
		newest = max(newest, revision)
	}
	return newest
}
