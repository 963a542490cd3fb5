// Package config brings the service documents from the platform's table into
// force on a daemon, and lets operators change them.
//
// Three rules keep an accepted document in force. A change is one transaction
// that raises the fleet's configuration revision by one, so that revisions are
// totally ordered and never used twice. A Store puts in force only a higher
// revision of a service than it has, whoever offers it. A deletion is a
// revision as well, and its entry is kept, so that an older document cannot
// come back after it.
package config

import (
	"github.com/savorystall/savorystall/internal/ident"
)

// Entry is one service's document at one revision.
type Entry struct {
	Service ident.Service
	// Revision is the fleet's configuration revision that wrote the entry. It
	// is unique among all entries of all services, and starts at 1.
	Revision uint64
	// Deleted marks the end of the service; Text is then empty.
	Deleted bool
	// Text is the document.
	Text []byte
}
