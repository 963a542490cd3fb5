package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/poison"
)

var start = time.Unix(1000, 0)

// network is a fleet of cores whose messages arrive at once, except at daemons that are cut off.
type network struct {
	now   time.Time
	cores map[ident.Daemon]*poison.Core
	// recent is what has lately run to its end at each daemon.
	recent map[ident.Daemon]*poison.Recent
	cut    map[ident.Daemon]bool
	// tables are the tables as last published, stored the holds that were written to the store.
	tables map[ident.Daemon]*poison.Table
	stored map[poison.Fingerprint]poison.Hold
	// decided counts the decisions to hold a request.
	decided int
	// sent counts the messages.
	sent int
	// crashes counts the targets that crashParts has ended.
	crashes int
}

func newNetwork(daemons int) *network {
	n := &network{
		now: start, cores: map[ident.Daemon]*poison.Core{}, recent: map[ident.Daemon]*poison.Recent{}, cut: map[ident.Daemon]bool{},
		tables: map[ident.Daemon]*poison.Table{}, stored: map[poison.Fingerprint]poison.Hold{},
	}
	for i := range daemons {
		id := ident.Daemon(fmt.Sprint("d", i))
		n.recent[id] = poison.NewRecent()
		n.cores[id] = poison.New(id, n.recent[id])
	}
	n.setMembers()
	return n
}

func (n *network) names() []ident.Daemon {
	var out []ident.Daemon
	for id := range n.cores {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// setMembers tells each daemon of those that it reaches.
func (n *network) setMembers() {
	for id, c := range n.cores {
		var others []ident.Daemon
		for _, other := range n.names() {
			if other != id && !n.cut[id] && !n.cut[other] {
				others = append(others, other)
			}
		}
		c.SetMembers(n.now, others)
	}
	n.deliver()
}

// deliver carries out the effects of all daemons until there are none.
func (n *network) deliver() {
	for again := true; again; {
		again = false
		for _, id := range n.names() {
			for _, effect := range n.cores[id].TakeEffects() {
				again = true
				n.apply(id, effect)
			}
		}
	}
}

func (n *network) apply(from ident.Daemon, effect poison.Effect) {
	switch e := effect.(type) {
	case poison.Send:
		n.sent++
		if n.cores[e.To] != nil && !n.cut[from] && !n.cut[e.To] {
			n.cores[e.To].Receive(n.now, e.Message)
		}
	case poison.TableChanged:
		n.tables[from] = e.Table
	case poison.HoldBegan:
		if e.Persist {
			n.decided++
			n.stored[e.Hold.Key()] = e.Hold
		}
	case poison.HoldEnded:
		if e.Forget {
			delete(n.stored, e.Hold.Key())
		}
	}
}

// crash reports that a target ended with requests in progress at daemons.
func (n *network) crash(target string, early bool, running map[ident.Daemon]poison.Subject) {
	for _, id := range n.names() {
		if s, ok := running[id]; ok {
			n.cores[id].Crashed(n.now, poison.Run{Request: s, Process: poison.Process{Target: ident.Target(target)}, Early: early})
		}
	}
	n.deliver()
	n.pass(time.Second)
}

// heldBy returns how many daemons hold a request back.
func (n *network) heldBy(s poison.Subject) (count int) {
	for _, t := range n.tables {
		if _, held := t.Held(s.Fingerprint); held && t.Contains(s.Filter) {
			count++
		}
	}
	return count
}

func subject(name string) poison.Subject {
	return poison.Subject{
		Fingerprint: poison.NewFingerprint("club", "POST", "h", "/x", []byte(name)), Filter: poison.NewFilter("club", "POST", "h", "/x", []byte(name)), Workspace: "club", Route: "r",
	}
}

// Guards against a request that goes on ending targets because each daemon has seen only one of its
// crashes.
func TestCrashesAtDifferentDaemonsAddUp(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(6), subject("poison")
	for i := range 3 {
		is.Equal(n.heldBy(s), 0)
		n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{ident.Daemon(fmt.Sprint("d", i)): s})
	}
	is.Equal(n.heldBy(s), 6)
	is.Equal(len(n.stored), 1)
	is.Equal(n.stored[s.Fingerprint].Ended, []poison.Process{{Target: "t0"}, {Target: "t1"}, {Target: "t2"}})
}

// Guards against a request that ends its targets only after it has run for a while, and is never
// held because others have just begun each time.
func TestLateCrashesAddUpToo(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(3), subject("poison")
	for i := range 6 {
		is.Equal(n.heldBy(s), 0)
		n.crash(fmt.Sprint("t", i), false, map[ident.Daemon]poison.Subject{"d0": s})
	}
	is.Equal(n.heldBy(s), 3)
}

// Guards against a popular request that is held because it runs wherever a target ends.
func TestRequestThatRunsToItsEndIsCleared(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(6), subject("popular")
	for i := range 10 {
		n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d0": s, "d1": s})
		if i%2 == 1 {
			is.True(n.tables["d5"].Watched(s.Fingerprint)) // two crashes: everybody watches
			n.cores["d5"].Completed(n.now, s.Fingerprint)
			n.deliver()
			is.True(!n.tables["d4"].Watched(s.Fingerprint))
		}
	}
	is.Equal(n.heldBy(s), 0)
}

// Guards against a popular request that is held because all targets of its service end in a short
// time, so that it has no chance to clear itself.
func TestRequestThatHasLatelyRunToItsEndIsNotBlamed(t *testing.T) {
	is := is.New(t)
	for _, completedAt := range []ident.Daemon{"d0", "d3"} { // where it breaks off, and elsewhere
		n, s := newNetwork(6), subject("popular")
		n.recent[completedAt].Add(n.now, s.Filter)
		for i := range 4 {
			n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d0": s})
		}
		is.Equal(n.heldBy(s), 0)
		n.now = n.now.Add(3 * time.Minute)
		for i := range 3 {
			n.crash(fmt.Sprint("later t", i), true, map[ident.Daemon]poison.Subject{"d0": s})
		}
		is.Equal(n.heldBy(s), 6)
	}
}

// Guards against a popular request that is held because the fleet hears of three crashes at once, so
// that nobody was told to watch it.
func TestCrashesReportedAtOnceDoNotHoldWhatHasLatelyRun(t *testing.T) {
	is := is.New(t)
	for _, completedAt := range [][]ident.Daemon{{"d0"}, {"d1", "d2", "d3", "d4", "d5"}} { // the reporter, or all others
		n, s := newNetwork(6), subject("popular")
		for _, id := range completedAt {
			n.recent[id].Add(n.now, s.Filter)
		}
		for i := range 3 {
			n.cores["d0"].Crashed(n.now, poison.Run{Request: s, Process: poison.Process{Target: ident.Target(fmt.Sprint("t", i))}, Early: true, Ago: time.Duration(i) * time.Second})
		}
		n.deliver()
		is.Equal(n.decided, 0)
	}
}

// Guards against crashes that are forgotten when the daemon that saw them and another one end.
func TestCrashesSurviveWhoSawThem(t *testing.T) {
	const subjects, maxForgotten = 20, 15
	forgotten := 0
	for i := range subjects {
		for lost := range 5 {
			n, s := newNetwork(6), subject(fmt.Sprint("poison", i))
			n.crash("t0", true, map[ident.Daemon]poison.Subject{"d5": s})
			n.crash("t1", true, map[ident.Daemon]poison.Subject{"d5": s})
			delete(n.cores, "d5")
			delete(n.cores, ident.Daemon(fmt.Sprint("d", lost)))
			n.setMembers()
			n.crash("t2", true, map[ident.Daemon]poison.Subject{ident.Daemon(fmt.Sprint("d", (lost+1)%5)): s})
			if len(n.stored) == 0 {
				forgotten++ // d5 and the one that is lost were the keepers
			}
		}
	}
	is.New(t).True(forgotten <= maxForgotten)
	t.Logf("%d of %d forgotten", forgotten, 5*subjects)
}

// Guards against requests that are held because targets have ended together, as with a rack.
func TestTargetsThatEndTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(6), subject("innocent")
	for i := range 8 {
		n.cores["d0"].Crashed(n.now, poison.Run{Request: s, Process: poison.Process{Target: ident.Target(fmt.Sprint("t", i))}, Early: true, Ago: time.Duration(i) * time.Millisecond})
		n.deliver()
	}
	is.Equal(n.heldBy(s), 0)
}

// Guards against requests that are held because they ran beside the one that ended the targets.
func TestTargetsOfAHeldRequestCountLessAgainstOthers(t *testing.T) {
	is := is.New(t)
	n, s, other := newNetwork(6), subject("poison"), subject("other")
	for i := range 2 {
		n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d0": s, "d1": other})
	}
	n.crash("t2", true, map[ident.Daemon]poison.Subject{"d0": s})
	is.Equal(n.heldBy(s), 6)
	n.crash("t3", true, map[ident.Daemon]poison.Subject{"d1": other})
	is.Equal(n.heldBy(other), 0)
	n.crash("t4", true, map[ident.Daemon]poison.Subject{"d1": other})
	is.Equal(n.heldBy(other), 6)
}

// Guards against crashes that are forgotten with the daemons that added them up.
func TestCrashesSurviveTheirKeepers(t *testing.T) {
	is := is.New(t)
	for lost := range 5 {
		n, s := newNetwork(6), subject("poison")
		n.crash("t0", true, map[ident.Daemon]poison.Subject{"d5": s})
		n.crash("t1", true, map[ident.Daemon]poison.Subject{"d5": s})
		for i := range 3 {
			delete(n.cores, ident.Daemon(fmt.Sprint("d", (lost+i)%5)))
		}
		n.setMembers()
		n.crash("t2", true, map[ident.Daemon]poison.Subject{"d5": s})
		is.Equal(len(n.stored), 1)
	}
}

// Guards against a daemon that starts, or was cut off, and sends on what the others hold back.
func TestHoldsReachDaemonsThatComeLater(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(6), subject("poison")
	n.cut["d4"] = true
	n.setMembers()
	for i := range 3 {
		n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d0": s})
	}
	is.Equal(n.heldBy(s), 5)
	n.cut["d4"] = false
	n.cores["d6"] = poison.New("d6", poison.NewRecent())
	n.setMembers()
	for _, late := range []ident.Daemon{"d4", "d6"} {
		n.cores["d0"].LinkUp(n.now, late)
	}
	n.deliver()
	is.Equal(n.heldBy(s), 7)

	restarted := newNetwork(2)
	restarted.cores["d0"].Recall(start, []poison.Hold{n.stored[s.Fingerprint]})
	restarted.deliver()
	_, held := restarted.tables["d0"].Held(s.Fingerprint)
	is.True(held)
}

// Guards against crashes that nobody adds up because the links to the keepers were down.
func TestCrashesAreReportedAgainOnANewLink(t *testing.T) {
	is := is.New(t)
	for i := range 10 {
		n, s := newNetwork(6), subject(fmt.Sprint("poison", i))
		n.cut["d5"] = true // its messages are lost, though the others still count as members
		for i := range 2 {
			n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d5": s})
		}
		n.cut["d5"] = false
		for _, id := range n.names()[:5] {
			n.cores["d5"].LinkUp(n.now, id)
		}
		n.deliver()
		n.crash("t2", true, map[ident.Daemon]poison.Subject{"d1": s})
		is.Equal(n.heldBy(s), 6)
	}
}

// A release, or a run to its end that was in progress, ends a hold everywhere and in the store.
func TestHoldEndsEverywhere(t *testing.T) {
	for name, end := range map[string]func(*poison.Core, poison.Subject){
		"release":   func(c *poison.Core, s poison.Subject) { c.Release(start, s.Fingerprint) },
		"completed": func(c *poison.Core, s poison.Subject) { c.Completed(start, s.Fingerprint) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, s := newNetwork(6), subject("poison")
			for i := range 3 {
				n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d0": s})
			}
			is.Equal(n.heldBy(s), 6)
			end(n.cores["d3"], s)
			n.deliver()
			is.Equal(n.heldBy(s), 0)
			is.Equal(len(n.stored), 0)
		})
	}
}

// Guards against a caller that makes the fleet forget the worst request by sending many others.
func TestFullTableKeepsTheWorstSuspects(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(1), subject("poison")
	n.crash("t0", true, map[ident.Daemon]poison.Subject{"d0": s})
	n.crash("t1", true, map[ident.Daemon]poison.Subject{"d0": s})
	for i := range 6000 {
		n.cores["d0"].Crashed(n.now, poison.Run{Request: subject(fmt.Sprint(i)), Process: poison.Process{Target: ident.Target(fmt.Sprint("other", i))}, Early: true})
	}
	n.now = n.now.Add(time.Second)
	n.crash("t2", true, map[ident.Daemon]poison.Subject{"d0": s})
	is.Equal(n.heldBy(s), 1)
}

// Suspects are forgotten after a while.
func TestSuspectsExpire(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(1), subject("poison")
	n.crash("t0", true, map[ident.Daemon]poison.Subject{"d0": s})
	n.crash("t1", true, map[ident.Daemon]poison.Subject{"d0": s})
	n.pass(time.Hour)
	n.crash("t2", true, map[ident.Daemon]poison.Subject{"d0": s})
	is.Equal(n.heldBy(s), 0)
	n.crash("t3", true, map[ident.Daemon]poison.Subject{"d0": s})
	n.crash("t4", true, map[ident.Daemon]poison.Subject{"d0": s})
	is.Equal(n.heldBy(s), 1)
}

// pass lets time pass.
func (n *network) pass(d time.Duration) {
	n.now = n.now.Add(d)
	for _, c := range n.cores {
		c.Tick(n.now)
	}
	n.deliver()
}

// Guards against requests that stay held long after targets have been mended that ended whatever
// they ran, and against a request that ends three targets each time that its hold is over.
func TestHoldThatIsOverBeginsAgainWithOneCrash(t *testing.T) {
	is := is.New(t)
	n, s := newNetwork(6), subject("poison")
	for i := range 3 {
		n.crash(fmt.Sprint("t", i), true, map[ident.Daemon]poison.Subject{"d0": s})
	}
	n.pass(11 * time.Minute)
	is.Equal(n.heldBy(s), 0)
	is.Equal(len(n.stored), 0)
	n.crash("t3", true, map[ident.Daemon]poison.Subject{"d4": s})
	is.Equal(n.heldBy(s), 6)
	n.pass(79 * time.Minute)
	is.Equal(n.heldBy(s), 6) // for eight times as long
	n.pass(2 * time.Minute)
	is.Equal(n.heldBy(s), 0)
	is.True(n.tables["d2"].Watched(s.Fingerprint))
	n.cores["d2"].Completed(n.now, s.Fingerprint) // mended
	n.deliver()
	n.crash("t4", true, map[ident.Daemon]poison.Subject{"d1": s})
	n.crash("t5", true, map[ident.Daemon]poison.Subject{"d2": s})
	is.Equal(n.heldBy(s), 0)
}

// Guards against one workspace that has another's requests held back, and against fields that run
// into each other.
func TestFingerprintsDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[poison.Fingerprint]bool{}
	for _, f := range []poison.Fingerprint{
		poison.NewFingerprint("a", "POST", "h", "/x", []byte("b")), poison.NewFingerprint("b", "POST", "h", "/x", []byte("b")),
		poison.NewFingerprint("a", "PUT", "h", "/x", []byte("b")), poison.NewFingerprint("a", "POST", "g", "/x", []byte("b")),
		poison.NewFingerprint("a", "POST", "h", "/y", []byte("b")), poison.NewFingerprint("a", "POST", "h", "/x", []byte("c")),
		poison.NewFingerprint("aP", "OST", "h", "/x", []byte("b")), poison.NewFingerprint("a", "POST", "h/", "x", []byte("b")),
		poison.NewFingerprint("a", "POST", "h", "/xb", nil),
	} {
		is.True(!seen[f])
		seen[f] = true
		parsed, err := poison.ParseFingerprint(f.String())
		is.NoErr(err)
		is.Equal(parsed, f)
	}
	for _, text := range []string{"", "zz", "00", "000000000000000000000000000000000000"} {
		_, err := poison.ParseFingerprint(text)
		is.True(err != nil)
	}
}
