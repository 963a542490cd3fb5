package origin_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/origin"
)

// network connects the cores of a few daemons; messages arrive at once.
type network struct {
	now      time.Time
	cores    map[ident.Daemon]*origin.Core
	zones    map[ident.Daemon]ident.Zone
	findings map[ident.Request]origin.Finding
}

// newNetwork returns daemons named after their zones, z0-0 to z1-1 for two zones of two, which
// know that v1 is the only version.
func newNetwork(zones, perZone int) *network {
	n := &network{now: start, cores: map[ident.Daemon]*origin.Core{}, zones: map[ident.Daemon]ident.Zone{}, findings: map[ident.Request]origin.Finding{}}
	for z := range zones {
		for i := range perZone {
			id := ident.Daemon(fmt.Sprintf("z%d-%d", z, i))
			n.zones[id] = ident.Zone(fmt.Sprintf("z%d", z))
			n.cores[id] = origin.New(origin.Config{Self: id, Zone: n.zones[id], MaxViewAge: simViewAge, FirstStart: true}, n.now)
		}
	}
	n.updateMembers()
	n.observe("v1")
	n.pass(2 * time.Second) // until nothing needs a record
	return n
}

func (n *network) names() []ident.Daemon { return slices.Sorted(maps.Keys(n.cores)) }

func (n *network) updateMembers() {
	for _, id := range n.names() {
		var others []origin.Member
		for _, other := range n.names() {
			if other != id {
				others = append(others, origin.Member{ID: other, Zone: n.zones[other]})
			}
		}
		n.cores[id].SetMembers(n.now, others)
	}
}

// observe has all daemons see these versions.
func (n *network) observe(versions ...ident.Version) {
	for _, id := range n.names() {
		n.cores[id].Observe(n.now, view(versions...))
		n.cores[id].Confirm(n.now, n.now)
	}
}

// end removes a daemon without a warning to the others.
func (n *network) end(id ident.Daemon) {
	delete(n.cores, id)
	n.updateMembers()
	for _, other := range n.names() {
		n.cores[other].LinkLost(n.now, id)
	}
}

// pass advances the time; the store confirms what the daemons know.
func (n *network) pass(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(50 * time.Millisecond)
		for _, id := range n.names() {
			n.cores[id].Confirm(n.now, n.now)
			n.cores[id].Tick(n.now)
		}
		n.deliver()
	}
}

func (n *network) deliver() {
	for moved := true; moved; {
		moved = false
		for _, id := range n.names() {
			for _, effect := range n.cores[id].TakeEffects() {
				moved = true
				switch e := effect.(type) {
				case origin.Found:
					n.findings[e.Request] = e.Finding
				case origin.Send:
					if to := n.cores[e.To]; to != nil {
						to.Receive(n.now, id, e.Message)
					}
				}
			}
		}
	}
}

// find returns what a daemon finds out about a stream.
func (n *network) find(at ident.Daemon, key origin.Key) origin.Finding {
	const request = "r"
	n.cores[at].Find(n.now, request, key, "r")
	n.pass(time.Second)
	return n.findings[request]
}

var (
	key     = origin.NewKey("w", "attempt")
	firstV1 = origin.Origin{Service: "pool", Version: "v1"}
)

// Guards against a stream that is joined at a daemon which has not seen a new version yet, although
// another daemon that it asks has.
func TestNewVersionSeenByOneDaemonIsEnough(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 2)
	n.cores["z0-1"].Observe(n.now, view("v1", "v2"))
	is.Equal(n.find("z0-0", key).Known(), false)
}

// Guards against a daemon that has restarted and takes the only version that it sees for the only one
// there was: before its links are up, or when no row tells what was in use.
func TestRestartedDaemonDoesNotTrustWhatItSeesAlone(t *testing.T) {
	is := is.New(t)
	restarted := func(past map[ident.Service][]ident.Version, others ...origin.Member) origin.Finding {
		c := origin.New(origin.Config{Self: "z0-0", Zone: "z0", MaxViewAge: simViewAge, PeersExpected: true}, start)
		c.Recall(start, past)
		c.Observe(start, view("v1"))
		c.Confirm(start, start)
		c.SetMembers(start, others)
		c.Find(start, "r", key, "r")
		for {
			effects := c.TakeEffects()
			is.True(len(effects) > 0)
			for _, e := range effects {
				switch e := e.(type) {
				case origin.Found:
					return e.Finding
				case origin.Send:
					c.Receive(start, e.To, origin.Message{Answers: []origin.Answer{{ID: e.Message.Questions[0].ID, Status: origin.Sole, Origin: firstV1}}})
				}
			}
		}
	}
	known := map[ident.Service][]ident.Version{"pool": {"v1"}}
	is.Equal(restarted(known).Known(), false)
	is.Equal(restarted(nil).Known(), false)
	is.Equal(restarted(known, origin.Member{ID: "z0-1", Zone: "z0"}).Status, origin.Sole)
	is.Equal(restarted(nil, origin.Member{ID: "z0-1", Zone: "z0"}).Status, origin.Sole) // the other one knows
}

// Guards against streams that cannot go on after a planned stop: their records were not sent while
// there was only one version, and a second one comes after the stop.
func TestPlannedStopHandsOnRecords(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 2)
	n.cores["z0-0"].Began(n.now, key, firstV1)
	n.cores["z0-0"].Leave(n.now)
	n.pass(time.Second)
	n.end("z0-0")
	n.observe("v1", "v2")
	f := n.find("z1-0", key)
	is.Equal(f.Status, origin.Recorded)
	is.Equal(f.Origin, firstV1)
}

// Guards against streams that cannot go on although only planned stops followed the end of the daemon
// that began them.
func TestPlannedStopHandsOnRecordsOfOthers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 1)
	n.observe("v1", "v2")
	n.cores["z0-0"].Began(n.now, key, firstV1)
	n.pass(time.Second)
	n.end("z0-0")
	n.cores["z3-0"] = origin.New(origin.Config{Self: "z3-0", Zone: "z3", MaxViewAge: simViewAge}, n.now)
	n.zones["z3-0"] = "z3"
	n.updateMembers()
	for _, id := range []ident.Daemon{"z1-0", "z2-0"} {
		n.cores[id].Leave(n.now)
		n.pass(time.Second)
		n.end(id)
	}
	n.observe("v1", "v2")
	is.Equal(n.find("z3-0", key).Status, origin.Recorded)
}

// Guards against records that are lost although the daemons that hold them are killed one after the
// other, with time between.
func TestRecordsMoveToNewKeepers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 3)
	n.observe("v1", "v2")
	var keys []origin.Key
	for i := range 20 {
		keys = append(keys, origin.NewKey("w", fmt.Sprint(i)))
		n.cores["z0-0"].Began(n.now, keys[i], firstV1)
	}
	n.pass(time.Second)
	for _, id := range n.names() {
		if id != "z0-0" && id != "z2-2" && id != "z1-1" {
			n.end(id)
			n.pass(time.Second)
		}
	}
	n.end("z0-0")
	for _, k := range keys {
		is.Equal(n.find("z1-1", k).Status, origin.Recorded)
	}
}

// Guards against a daemon that has restarted and lacks the records that it kept before.
func TestRestartedKeeperGetsItsRecordsAgain(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 2)
	n.observe("v1", "v2")
	n.cores["z0-0"].Began(n.now, key, firstV1)
	n.pass(time.Second)
	n.cores["z0-1"] = origin.New(origin.Config{Self: "z0-1", Zone: "z0", MaxViewAge: simViewAge}, n.now)
	n.updateMembers()
	n.cores["z0-0"].LinkUp(n.now, "z0-1")
	n.pass(time.Second)
	n.end("z0-0")
	is.Equal(n.find("z0-1", key).Status, origin.Recorded)
}

// Guards against a stream that goes on at either version because two requests used one attempt ID.
func TestAttemptIDUsedTwiceIsNotKnown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 3)
	n.observe("v1", "v2")
	n.cores["z0-0"].Began(n.now, key, firstV1)
	n.pass(time.Second)
	n.cores["z0-1"].Began(n.now, key, origin.Origin{Service: "pool", Version: "v2"})
	n.pass(time.Second)
	is.Equal(n.find("z0-1", key).Known(), false)
	is.Equal(n.find("z0-2", key).Known(), false)
}

// Guards against streams that are refused during an outage of the store, in which no daemon can be
// sure that there is one version only.
func TestRecordsAreKeptDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 1)
	outage := n.now.Add(simViewAge + 2*time.Second)
	for n.now.Before(outage) {
		n.now = n.now.Add(100 * time.Millisecond)
		for _, id := range n.names() {
			n.cores[id].Tick(n.now)
		}
		n.deliver()
	}
	n.cores["z0-0"].Began(n.now, key, firstV1)
	for range 10 {
		n.now = n.now.Add(100 * time.Millisecond)
		n.cores["z0-0"].Tick(n.now)
		n.deliver()
	}
	n.end("z0-0")
	n.cores["z1-0"].Find(n.now, "r", key, "r")
	n.deliver()
	is.Equal(n.findings["r"].Status, origin.Recorded)
	n.cores["z1-0"].Find(n.now, "r2", 0, "r")
	n.deliver()
	is.Equal(n.findings["r2"].Known(), false) // not named by its caller
}

// Guards against memory that grows with the streams, or with the attempt IDs that callers make up.
func TestRecordsAreBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 1)
	n.observe("v1", "v2")
	n.cores["z0-0"].Began(n.now, key, firstV1)
	is.Equal(n.find("z0-0", key).Status, origin.Recorded)
	for i := range 100000 {
		n.cores["z0-0"].Began(n.now, origin.NewKey("w", fmt.Sprint(i)), firstV1)
	}
	is.Equal(n.find("z0-0", origin.NewKey("w", "99999")).Status, origin.Several) // beyond the bound
	is.Equal(n.find("z0-0", key).Status, origin.Recorded)
	n.pass(3 * lifetime)
	is.Equal(n.find("z0-0", key).Status, origin.Several)
}

// Guards against a caller that waits for the answer of a daemon that does not reply.
func TestSearchEndsWithoutAnswers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 2)
	n.observe("v1", "v2")
	n.cores["z0-0"].Find(n.now, "r", key, "r")
	n.cores["z0-0"].TakeEffects() // all questions are lost
	n.pass(600 * time.Millisecond)
	f := n.findings["r"]
	is.Equal(f.Status, origin.Several)
	is.Equal(f.Asked, 3)
	is.Equal(f.Silent, 1) // the questions of the second round arrive
}
