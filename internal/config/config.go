// Package config distributes the service documents from the platform's table
// to the daemons, and lets operators change them.
//
// Three rules ensure that an accepted document is never replaced by an older
// one. Each change is one transaction that increments the fleet's configuration
// revision, so that revisions are totally ordered and never reused. A Store
// applies an entry only if its revision is higher than the active revision of
// the service, regardless of the source. A deletion is a revision as well, and
// its entry is kept as a tombstone, so that an older document cannot reappear.
package config

import (
	"github.com/savorystall/savorystall/internal/ident"
)

// Entry is the document of one service at one revision.
type Entry struct {
	Service ident.Service
	// Revision is the fleet's configuration revision at which the entry was
	// written. It is unique across all services and starts at 1.
	Revision uint64
	// Deleted marks the entry as a tombstone; Text is then empty.
	Deleted bool
	// Text is the document.
	Text []byte
}
