package booking

import (
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// run is a request on a target, as its owner knows it.
type run struct {
	ingress ident.Daemon
	id      uint64
	target  *engine
	// work is what is to be read, in tokens at the pace of an empty context.
	work float64
	// fetch is the time that copying its beginning from another target takes, before
	// the rest is read.
	fetch time.Duration
	// memory is what it fills beyond its shared parts when it has ended, in tokens.
	memory int
	shared []Part
	// own is the last part of its prompt, with the memory that stays when it has ended.
	own Part
	at  time.Time
	// expected is when the first byte should come.
	expected time.Time
	read     bool
	// firstAt is when its first byte came, readBefore what the target had read by then.
	firstAt    time.Time
	readBefore time.Duration
	// behind is the request that it is held back for; nil: none.
	behind *run
	// until is when the request is forgotten if nothing is heard of it.
	until time.Time
	// workspace was granted so much for it by this owner; zero: nothing.
	workspace ident.Workspace
	granted   float64
}

// memoryOf returns the shared parts of a request, and what it fills beyond them.
func memoryOf(a *Ask) (shared []Part, own int) {
	own = a.Prompt + a.Output
	if len(a.Parts) < 2 {
		return nil, own
	}
	shared = a.Parts[:len(a.Parts)-1]
	for _, p := range shared {
		own -= p.Tokens
	}
	return shared, max(0, own)
}
