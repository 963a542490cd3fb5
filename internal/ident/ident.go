// Package ident holds the typed identifiers that every other package shares.
// All of them are opaque strings: they are compared and never parsed.
package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// Service names one document and the targets it describes, such as "lm-pool".
type Service string

// Workspace names one customer whose share is kept, such as "club-nord".
type Workspace string

// Target names one back end of a service. It is unique within its service.
type Target string

// Daemon names one savorystalld. It is unique among the live daemons.
type Daemon string

// Zone names one availability zone.
type Zone string

// Request identifies one request of a caller for as long as a daemon holds it.
type Request string

// Attempt identifies one try at running a request on a target. A resumed
// stream keeps its attempt; a retry gets a new one.
type Attempt string

const idBytes = 12

// NewRequest returns a fresh random request id of 24 hexadecimal digits.
func NewRequest() Request { return Request(random()) }

// NewAttempt returns a fresh random attempt id of 24 hexadecimal digits.
func NewAttempt() Attempt { return Attempt(random()) }

func random() string {
	var b [idBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
