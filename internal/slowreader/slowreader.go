// Package slowreader decides which callers are disconnected because they read their responses, or send their
// requests, so slowly that they occupy memory which other callers need.
//
// The load pattern is a client of one workspace that opens hundreds of streams and stops reading them. Each
// fills the send buffer of its connection and the receive buffer of the connection to its target, and keeps a
// goroutine and the request. The package uses no network; time is part of its input.
package slowreader

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Sizes of socket buffers as they are set; the kernel reserves twice as much. Without them the kernel grows the
// buffers of one connection to several MB.
const (
	CallerSendBuffer    = 16 << 10
	CallerReceiveBuffer = 64 << 10
	TargetReceiveBuffer = 16 << 10
)

const (
	// processBytes is what the process itself holds for a blocked response: goroutine stacks, the buffers of
	// net/http and of the connection to the target, and the headers.
	processBytes = 48 << 10
	// ReaderBytes is the most memory that a blocked response occupies apart from the body of its request.
	ReaderBytes = 2*CallerSendBuffer + 2*TargetReceiveBuffer + processBytes
	// ReceivingBytes is the same for a body that is being received.
	ReceivingBytes = 2*CallerReceiveBuffer + processBytes
	// MinWait is how long a write has to be blocked before its caller counts as slow. Callers are 6 ms away,
	// and a lost packet is sent again after 200 ms.
	MinWait = 250 * time.Millisecond
	// workspaceFraction is the part of the limit of the VM that one workspace may occupy.
	workspaceFraction = 0.5
)

// Limits bounds what slow callers occupy. A zero field means no limit.
type Limits struct {
	// Stall is how long a caller may take none of its response.
	Stall time.Duration
	// Workspace and VM bound the bytes of one workspace and of all.
	Workspace, VM int64
}

// NewLimits returns the limits of a VM with the given memory, a fraction of which slow callers may occupy.
func NewLimits(memoryBytes int64, fraction float64, stall time.Duration) Limits {
	vm := int64(float64(memoryBytes) * fraction)
	return Limits{Stall: stall, Workspace: int64(float64(vm) * workspaceFraction), VM: vm}
}

// Enabled reports whether there is any limit.
func (l Limits) Enabled() bool { return l.Stall > 0 || l.VM > 0 }

// Reader is a caller that takes or sends nothing at the moment.
type Reader struct {
	Workspace ident.Workspace
	// Bytes is the memory that it occupies.
	Bytes int64
	// Waiting is how long its current write has been blocked, or its body has been received.
	Waiting time.Duration
	// Receiving is set if its request body is being received, for which there is a time limit elsewhere.
	Receiving bool
}

// Reason is the limit for which a caller is disconnected.
type Reason string

// The reasons.
const (
	Stalled       Reason = "stalled"
	WorkspaceFull Reason = "workspace"
	VMFull        Reason = "vm"
)

// Ending names a caller to disconnect by its index.
type Ending struct {
	Index  int
	Reason Reason
}

// Result is a decision.
type Result struct {
	Endings []Ending
	// Bytes is what the slow callers occupied before.
	Bytes int64
}

// holder is a workspace with its slow callers.
type holder struct {
	workspace ident.Workspace
	bytes     int64
	// readers are indexes in order of decreasing wait.
	readers []int
}

// Decide returns which callers to disconnect: those that have stalled, then the slowest of each workspace above
// its limit, then the slowest of the workspace that occupies most while the VM is above its limit.
func (l Limits) Decide(readers []Reader) Result {
	var r Result
	byWorkspace := map[ident.Workspace]*holder{}
	var holders []*holder
	total := int64(0)
	for i, reader := range readers {
		if reader.Waiting < MinWait {
			continue
		}
		r.Bytes += reader.Bytes
		if l.Stall > 0 && !reader.Receiving && reader.Waiting >= l.Stall {
			r.Endings = append(r.Endings, Ending{i, Stalled})
			continue
		}
		h := byWorkspace[reader.Workspace]
		if h == nil {
			h = &holder{workspace: reader.Workspace}
			byWorkspace[reader.Workspace] = h
			holders = append(holders, h)
		}
		h.bytes += reader.Bytes
		total += reader.Bytes
		h.readers = append(h.readers, i)
	}
	if l.VM <= 0 || total <= min(l.VM, l.Workspace) {
		return r
	}
	end := func(h *holder, reason Reason) {
		i := h.readers[0]
		h.readers = h.readers[1:]
		h.bytes -= readers[i].Bytes
		total -= readers[i].Bytes
		r.Endings = append(r.Endings, Ending{i, reason})
	}
	for _, h := range holders {
		slices.SortStableFunc(h.readers, func(a, b int) int { return cmp.Compare(readers[b].Waiting, readers[a].Waiting) })
		for h.bytes > l.Workspace && len(h.readers) > 0 {
			end(h, WorkspaceFull)
		}
	}
	for total > l.VM {
		end(slices.MaxFunc(holders, func(a, b *holder) int { return cmp.Compare(a.bytes, b.bytes) }), VMFull)
	}
	return r
}
