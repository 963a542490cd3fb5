package slowreader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/slowreader"
)

const mb = 1 << 20

func readers(n int, workspace ident.Workspace, bytes int64, waiting time.Duration) []slowreader.Reader {
	out := make([]slowreader.Reader, n)
	for i := range out {
		out[i] = slowreader.Reader{Workspace: workspace, Bytes: bytes, Waiting: waiting + time.Duration(i)*time.Millisecond}
	}
	return out
}

// Guards against slow readers that fill a VM, and against neighbours that pay for the workspace that holds most.
func TestSlowestReadersOfTheLargestHolderAreEnded(t *testing.T) {
	is := is.New(t)
	l := slowreader.NewLimits(184*mb, 0.25, 2*time.Second)
	all := append(readers(20, "small", mb, time.Second), readers(1000, "large", 144<<10, 300*time.Millisecond)...)
	r := l.Decide(all)
	left := int64(0)
	ended := map[int]bool{}
	for _, e := range r.Endings {
		ended[e.Index] = true
		is.Equal(all[e.Index].Workspace, ident.Workspace("large"))
	}
	for i, reader := range all {
		if !ended[i] {
			left += reader.Bytes
			is.True(reader.Workspace == "small" || reader.Waiting <= all[r.Endings[len(r.Endings)-1].Index].Waiting) // the slowest first
		}
	}
	is.True(left <= l.Workspace+20*mb && left > l.Workspace+19*mb)
	is.True(r.Bytes > l.VM)
}

// Guards against many workspaces that fill the VM although none is above its own limit.
func TestVMIsBoundedOverAllWorkspaces(t *testing.T) {
	is := is.New(t)
	l := slowreader.NewLimits(100*mb, 0.2, 0)
	var all []slowreader.Reader
	for _, w := range []ident.Workspace{"a", "b", "c"} {
		all = append(all, readers(9, w, mb, time.Second)...)
	}
	endings := l.Decide(all).Endings
	is.Equal(len(endings), 7) // 27 MB, 20 allowed
	for _, e := range endings {
		is.Equal(e.Reason, slowreader.VMFull)
	}
}

// Guards against responses that stay unread until their targets cut them off, and against callers that are
// ended for a write that took a moment, or while they send a body.
func TestStalledReadersAreEnded(t *testing.T) {
	is := is.New(t)
	l := slowreader.NewLimits(0, 0, 2*time.Second)
	all := []slowreader.Reader{
		{Workspace: "a", Bytes: 1, Waiting: 3 * time.Second}, {Workspace: "a", Bytes: 1, Waiting: time.Second},
		{Workspace: "a", Bytes: 1, Waiting: 3 * time.Second, Receiving: true},
	}
	is.Equal(l.Decide(all).Endings, []slowreader.Ending{{Index: 0, Reason: slowreader.Stalled}})
	is.Equal(len(slowreader.NewLimits(mb, 0.1, time.Second).Decide(readers(500, "a", mb, 0)[:200]).Endings), 0) // a moment
	is.True(!slowreader.NewLimits(184*mb, 0, 0).Enabled())
}
