package booking_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against an incident in which a workspace got a tenth of its demand and no log line
// showed the demand that its daemons knew. Shares are reported while some workspace is
// underserved; if the capacity suffices for all there is nothing to report.
func TestSharesAreReportedWhileAWorkspaceIsUnderserved(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}, {Name: "cool", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 8, Memory: 100000}},
	}})
	c.SetPeers(now, nil)
	ask := func(id, workspace string, prompt int) {
		c.Submit(now, booking.Request{ID: ident.Request(id), Service: "pool", Workspace: ident.Workspace(workspace), Prompt: prompt, Output: 1, Deadline: now.Add(time.Second)})
		c.TakeEffects()
	}
	ask("1", "cool", 10)
	is.Equal(len(c.ShareReports(now)), 0)
	c.RecordShed(now, "pool", "hot", 9000)
	now = now.Add(100 * time.Millisecond)
	ask("2", "cool", 10)
	list := c.ShareReports(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Stated, 1000.0)
	is.Equal(list[0].MinUnderserved, 0.0) // it was granted nothing
	is.True(list[0].Level > 0)
	hot := list[0].TopWorkspaces[0]
	is.Equal(string(hot.Workspace), "hot")
	is.True(hot.Asked > 4000 && hot.Asked == hot.Shed && hot.Granted == 0)
	is.Equal(len(c.ShareReports(now.Add(10*time.Second))), 0) // no demand since, so that no workspace is underserved
}

// Guards against an incident without a trace in the log: a VM that owns no target does not
// decide by shares, and the one that refused most of a workspace's requests reported nothing
// about it.
func TestDaemonWithoutTargetsReportsItsRefusals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}, {Name: "cool", Weight: 1}},
	}})
	c.RecordShed(now, "pool", "hot", 9000)
	c.RecordShed(now, "pool", "cool", 100)
	c.RecordShed(now, "pool", "cool", 100)
	now = now.Add(time.Second)
	list := c.ShareReports(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Decisions, []booking.WorkspaceDecisions{{Workspace: "hot", Shed: 9000}, {Workspace: "cool", Shed: 200}})
	is.Equal(list[0].OwnedTargets, booking.TargetUtilization{})
	c.RecordShed(now, "pool", "cool", 50)
	is.Equal(c.ShareReports(now)[0].Decisions, []booking.WorkspaceDecisions{{Workspace: "cool", Shed: 50}}) // since the previous call
}

// Guards against an incident in which no log line shows what owners refused a workspace and by
// which limit, nor whether their targets were idle meanwhile.
func TestOwnerReportsGrantsAndRefusals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 4, Memory: 100000}},
	}})
	c.SetPeers(now, nil)
	for i := range 4 {
		// The first two fill half of the slots, beyond which a late request gets nothing.
		r := booking.Request{ID: ident.Request(rune('a' + i)), Service: "pool", Workspace: "hot", Prompt: 1000, Output: 1, Deadline: now.Add(time.Second)}
		r.Late = i >= 2
		c.Submit(now, r)
		c.TakeEffects()
	}
	c.RecordShed(now, "pool", "hot", 90000)
	now = now.Add(time.Second)
	list := c.ShareReports(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Decisions, []booking.WorkspaceDecisions{{Workspace: "hot", Shed: 90000, Granted: 2004, Refused: map[string]int{"spare": 2004}, Final: map[string]int{"spare": 2004}, FinalLate: 2004}})
	is.Equal(list[0].OwnedTargets.Owned, 1)
	is.Equal(list[0].OwnedTargets.SlotUtilization, 0.5)
}

// Guards against refusals that no log line sums up: a VM that gets no reply from owners refuses
// the requests that it reads.
func TestDaemonWithoutRepliesReportsItsRefusals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", ServesModel: true, Rate: 1000, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}}}
	var peers []booking.Peer
	for i := range 4 {
		name := strconv.Itoa(i)
		service.Targets = append(service.Targets, booking.Target{Name: ident.Target("t" + name), Zone: ident.Zone("z" + name), Slots: 1, Memory: 100000})
		peers = append(peers, booking.Peer{ID: ident.Daemon("d" + name), Incarnation: 1, Zone: ident.Zone("z" + name)})
	}
	c.SetPeers(now, peers) // each target has its owner in its own zone
	c.Configure(now, []booking.Service{service})
	const requests = 50
	placed := 0
	for i := range requests {
		c.Submit(now, booking.Request{ID: ident.Request(strconv.Itoa(i)), Service: "pool", Workspace: "hot", Prompt: 998, Output: 1, Deadline: now.Add(5 * time.Second)})
	}
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		c.Tick(now)
		for _, e := range c.TakeEffects() {
			if _, ok := e.(booking.Dispatch); ok {
				placed++
			}
		}
	}
	c.RecordShed(now, "pool", "hot", 9000)
	list := c.ShareReports(now)
	is.Equal(len(list), 1)
	is.True(placed < requests)
	is.Equal(list[0].Decisions, []booking.WorkspaceDecisions{{Workspace: "hot", Shed: 9000, Unanswered: 1000 * (requests - placed)}})
}

// Guards against a log line that grows with the number of workspaces.
func TestReportSizeIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	service := booking.Service{Name: "pool", ServesModel: true, Rate: 1000}
	for i := range 300 {
		service.Workspaces = append(service.Workspaces, booking.Workspace{Name: ident.Workspace(strconv.Itoa(i)), Weight: 1})
	}
	c.Configure(now, []booking.Service{service})
	for _, w := range service.Workspaces {
		c.RecordShed(now, "pool", w.Name, 9000)
	}
	list := c.ShareReports(now)
	is.Equal(len(list), 1)
	is.Equal(len(list[0].Decisions), 8)
	is.Equal(len(list[0].TopWorkspaces), 4)
}

// Guards against an incident without a trace in the log: slots were full although the stated rate
// exceeded the demand, so that no workspace counted as underserved, and owners refused most of what
// one asked for.
func TestRefusalsAreReportedWhileNoWorkspaceIsUnderserved(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	c.Configure(now, []booking.Service{{
		Name: "pool", ServesModel: true, Rate: 1e6, Workspaces: []booking.Workspace{{Name: "hot", Weight: 1}, {Name: "cool", Weight: 1}},
		Targets: []booking.Target{{Name: "t", Zone: "z", Slots: 1, Memory: 100000}},
	}})
	c.SetPeers(now, nil)
	for i, workspace := range []ident.Workspace{"hot", "cool", "cool"} {
		c.Submit(now, booking.Request{ID: ident.Request(strconv.Itoa(i)), Service: "pool", Workspace: workspace, Prompt: 998, Output: 1, Deadline: now.Add(time.Second), Late: i == 2})
		c.TakeEffects()
	}
	list := c.ShareReports(now)
	is.Equal(len(list), 1)
	is.Equal(list[0].Level, 0.0) // there is none: the stated rate suffices for all
	is.Equal(list[0].MinUnderserved, 0.0)
	is.Equal(list[0].Decisions, []booking.WorkspaceDecisions{
		{Workspace: "cool", Refused: map[string]int{"slots": 2000}, Final: map[string]int{"slots": 2000}, FinalLate: 1000},
		{Workspace: "hot", Granted: 1000},
	})
	is.Equal(len(c.ShareReports(now)), 0) // nothing refused since the previous call
}
