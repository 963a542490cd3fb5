// Package origin remembers the origin of each stream: the service and the software version of
// the target that sent its first event. It does no I/O; times are arguments.
//
// The failure it guards against: targets of several versions serve side by side, what two
// versions write does not fit together, and a caller whose connection broke takes its stream up
// at any daemon, most often because the daemon that knew the origin has ended. A stream is
// continued only if its origin is known. If it is not, the caller is told to begin anew.
//
// There are two sources. If the targets that a route can use have had one version for longer
// than any stream lasts, it is the origin of all of the route's streams (History). Otherwise the
// daemon that began a stream sends a record of its origin to two keepers: daemons chosen by
// rendezvous hashing, one in its own availability zone and one in another (directory). A daemon
// that does not know an origin asks those daemons of each zone that would be its keepers.
//
// Records are soft state in memory. Losing one costs a caller a new beginning, never a stream
// with events of two versions.
package origin

import (
	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Key identifies a stream in the fleet: a hash of its workspace and of the attempt ID of the
// request that brought its first event. Zero stands for a stream without an attempt ID.
type Key uint64

// NewKey returns the key of a stream. The workspace is part of it, so that no caller can take up
// the stream of another workspace.
func NewKey(workspace ident.Workspace, attempt string) Key {
	if attempt == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	// A hash never returns an error. The zero byte separates the two names.
	_, _ = d.WriteString(string(workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(attempt)
	return Key(max(1, d.Sum64()))
}

// Origin is the service and the software version of the target that began a stream.
type Origin struct {
	Service ident.Service
	// Version is empty if the target states none. Such a stream is not continued at another
	// target.
	Version ident.Version
}

// Status is how much is known about the origin of a stream.
type Status uint8

// Statuses.
const (
	// Unsure means that nothing reliable is known.
	Unsure Status = iota
	// Several means that there is no record of the stream, and that its route's streams may
	// have begun at more than one origin.
	Several
	// Sole means that there is no record of the stream, and that all of its route's streams
	// have the same origin.
	Sole
	// Recorded means that a daemon has a record of the stream.
	Recorded
)

// String returns the name of a status, for logs.
func (s Status) String() string {
	names := [...]string{Unsure: "unsure", Several: "several", Sole: "sole", Recorded: "recorded"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Finding is the result of a search for the origin of a stream.
type Finding struct {
	// Status is Recorded or Sole if the origin is known.
	Status Status
	Origin Origin
	// Asked is how many daemons were asked, and Silent how many of them did not answer: if the
	// origin is not known, a later search may find it only if some did not.
	Asked, Silent int
}

// Known reports whether the stream can be continued at targets of its origin.
func (f Finding) Known() bool {
	return (f.Status == Recorded || f.Status == Sole) && f.Origin.Version != ""
}
