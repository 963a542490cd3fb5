package config

// CatchUp puts in force what a peer has in force, and raises Head to the peer's.
// Entries must be all of the peer's above a Head that this Store had before.
// It serves a daemon that cannot read the table.
func (s *Store) CatchUp(entries []Entry, head uint64) (accepted bool, err error) {
	accepted, err = s.OfferAll(entries)
	s.raiseHead(head)
	return accepted, err
}
