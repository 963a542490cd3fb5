// Package ident defines the typed identifiers that all packages share. They are opaque
// strings, which are compared but never parsed.
package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// Service identifies a service document and the targets it describes, such as "lm-pool".
type Service string

// Workspace identifies a customer with a share of its own, such as "club-nord".
type Workspace string

// Target identifies a backend of a service. It is unique within its service.
type Target string

// Daemon identifies a savorystalld process. It is unique among the live daemons.
type Daemon string

// Zone identifies an availability zone.
type Zone string

// Region identifies a region, which consists of availability zones.
type Region string

// Version identifies the software version of a target. Versions have no order. The empty
// Version means that a target states none; it equals no other version.
type Version string

// maxVersionLength is the length in bytes up to which a Version is the text itself, so that it
// is a valid name on the links between daemons.
const maxVersionLength = 64

// NewVersion returns the Version for a text. A long text is represented by its hash.
func NewVersion(text string) Version {
	if len(text) <= maxVersionLength {
		return Version(text)
	}
	sum := sha256.Sum256([]byte(text))
	return Version(hex.EncodeToString(sum[:]))
}

// Request identifies a request of a caller for as long as a daemon holds it.
type Request string

// Attempt identifies one attempt to run a request on a target. A resumed stream keeps its
// attempt ID; a retry gets a new one.
type Attempt string

const idBytes = 12

// NewRequest returns a random request ID of 24 hexadecimal digits.
func NewRequest() Request { return Request(randomID()) }

// NewAttempt returns a random attempt ID of 24 hexadecimal digits.
func NewAttempt() Attempt { return Attempt(randomID()) }

func randomID() string {
	var b [idBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
