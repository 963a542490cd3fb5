// Package poison finds what ends the targets that run it, and holds it back: a request, or parts that
// prompts of several requests share. It does no I/O; times are arguments.
//
// The failure it guards against: a request crashes each target that begins to run it, its caller
// sends it again, or another one like it, and it is placed at the next target, since only the target
// is blamed. Whatever else those targets run ends with them.
//
// A daemon whose request broke off at a target that then refuses connections reports a Crash to the
// keepers of the request, and of each part of its prompt: daemons chosen by rendezvous hashing of a
// Fingerprint. A keeper adds up the crashes of all daemons. All that a target ran is under suspicion each time; what clears a
// subject is that it runs to its end, lately at one of these daemons (Recent), or at any daemon once
// it is suspected. A subject whose blame reaches maxBlame is held: all daemons are told, and a row in the
// store tells those that start later.
//
// Parts that came together at all crashes are held together: a request is held back only if it has
// all of them, since any of them may be innocent.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Fingerprint identifies a request by what a target runs of it: the workspace, the method, the host,
// the path with its query, and the body. Headers are left out, since a caller's next try may have
// others. It is a cryptographic hash, so that no caller can have the request of another one held
// back by finding one with the same fingerprint; and no two workspaces share one.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(workspace ident.Workspace, method, host, requestTarget string, body []byte) Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(workspace), method, host, requestTarget} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ErrFingerprint is returned for a text that is no fingerprint.
var ErrFingerprint = merry.New("a fingerprint has 32 hexadecimal digits")

// ParseFingerprint decodes the result of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, ErrFingerprint
	}
	return Fingerprint(raw), nil
}

// Filter is a cheap hash of the same fields as a Fingerprint. Only where a request's filter is in the
// table is its fingerprint needed. Since a caller can find requests with the same filter, nothing is
// held back by it.
type Filter uint64

// NewFilter returns the filter of a request.
func NewFilter(workspace ident.Workspace, method, host, requestTarget string, body []byte) Filter {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{string(workspace), method, host, requestTarget} {
		// A hash never returns an error. The zero byte separates the fields.
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Filter(d.Sum64())
}

// Subject is a request, or a part of prompts, that is suspected or held.
type Subject struct {
	Fingerprint Fingerprint
	Filter      Filter
	Workspace   ident.Workspace
	// Route is the name of the route on which it came, of a part that of one request with it.
	Route string
	// Part is zero for a request.
	Part Part
}

// IsPart reports whether the subject is a part of prompts.
func (s Subject) IsPart() bool { return s.Part != Part{} }

// Process is one process of a target. A target that starts again may keep its identity.
type Process struct {
	Target ident.Target
	// StartedAtMillis is its start time in Unix milliseconds as it was registered; zero means
	// unspecified.
	StartedAtMillis int64
}

// Run is a request that was in progress at a target when the target ended.
type Run struct {
	Request Subject
	// Parts are the parts of its prompt that other requests may have, too.
	Parts   []Subject
	Process Process
	// Early reports that the target ended before or soon after it began to respond. A request that
	// had run for long is less likely to be the cause.
	Early bool
	// Ago is how long ago the target ended.
	Ago time.Duration
}

// Crash reports that a target ended while it ran a request, or while the request waited there.
type Crash struct {
	Subject
	// Request is the filter of the request, and Beside the other parts of its prompt that may be the
	// cause.
	Request Filter
	Beside  PartSet
	Process Process
	// Early and Ago are those of the Run.
	Early bool
	Ago   time.Duration
}

// Message carries everything that one Core sends to another at a time.
type Message struct {
	// Crashes and Completed are for the keepers of the subjects: what has ended targets, and what
	// has run to its end.
	Crashes   []Crash
	Completed []Fingerprint
	// Watched and Held are for all daemons: subjects whose ends are to be reported, and what to
	// hold back.
	Watched []Subject
	Held    []Hold
	// Released is for all daemons: subjects that are neither suspected nor held any more, or the
	// keys of holds.
	Released []Fingerprint
}

// Empty reports whether the message has no content.
func (m *Message) Empty() bool {
	return len(m.Crashes)+len(m.Completed)+len(m.Watched)+len(m.Held)+len(m.Released) == 0
}
