package main

import (
	"math/bits"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/scheduler"
)

// Bytes that a message costs besides its fields: the frame headers of gRPC and
// HTTP/2, and one TCP segment.
const messageOverhead = 5 + 9 + 40

// messageBytes is the size of a message with its names written out and its
// numbers as varints, as protocol buffers would write it.
func messageBytes(m scheduler.Message) int {
	n := messageOverhead + varint(m.Incarnation)
	for _, d := range m.Demand {
		n += field + names(d.Service, d.Workspace) + varint(uint64(d.Waiting)) + varint(d.Seen) + 2
	}
	for _, g := range m.Grants {
		n += field + names(g.Service, g.Workspace) + 2 + len(g.Target) + varint(g.ID) + 1
	}
	for _, r := range m.Releases {
		n += field + varint(r.Grant) + 1 + releaseBytes(r)
	}
	for _, p := range m.Parts {
		n += field + names(p.Service, p.Workspace) + 1 + 8
	}
	for _, t := range m.News {
		n += field + 2 + len(t.Service) + 2 + len(t.Target) + 2 + len(t.Health)
	}
	for _, h := range m.Held {
		n += varint(h)
	}
	return n
}

// field is the tag and the length of a nested message.
const field = 2

// releaseBytes is the size of a result: the cost and two times.
func releaseBytes(r scheduler.Release) int {
	if r.Unused {
		return 2
	}
	return field + 9 + 6 + 6
}

func names(s ident.Service, w ident.Workspace) int { return 2 + len(s) + 2 + len(w) }

func varint(x uint64) int { return max(1, (bits.Len64(x)+6)/7) }
