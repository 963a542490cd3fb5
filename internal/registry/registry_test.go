package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func names(r *registry.Registry) []ident.Target {
	var list []ident.Target
	for _, e := range r.Targets() {
		list = append(list, e.Identity)
	}
	return list
}

func entry(id ident.Target, address string) registry.Entry {
	return registry.Entry{Identity: id, Service: "pool", Address: address, Zone: "a"}
}

func TestTargetsComeAndGo(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.Put(entry("t2", "10.0.0.2:80"))
	is.Equal(names(r), []ident.Target{"t1", "t2"})
	r.Remove(at(1), "t1")
	is.Equal(names(r), []ident.Target{"t2"})
	r.Replace(at(2), []registry.Entry{entry("t3", "10.0.0.3:80")})
	is.Equal(names(r), []ident.Target{"t3"})
}

// The store is away for eight seconds and cannot renew the entries, so that they
// lapse. A daemon that reads it at its return finds no target; the targets are
// serving and register again within two seconds. Nobody may be refused meanwhile.
func TestEntriesThatLapsedInAnOutageAreKeptForTheGrace(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.Put(entry("t2", "10.0.0.2:80"))
	r.Returned(at(8), at(8))
	r.Replace(at(8), nil)
	is.Equal(names(r), []ident.Target{"t1", "t2"})
	r.Put(entry("t1", "10.0.0.1:80"))
	is.Equal(r.Lapsed(), []ident.Target{"t2"})
	dropped, next := r.Expire(at(9))
	is.Equal(len(dropped), 0)
	is.Equal(next, at(10.5))
	dropped, next = r.Expire(at(10.5))
	is.Equal(dropped, []ident.Target{"t2"})
	is.Equal(names(r), []ident.Target{"t1"}) // the other one is taken as gone
	is.True(next.IsZero())
}

// A target that leaves long after the store's return has left.
func TestRemovalLongAfterAnOutageCountsAtOnce(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.Returned(at(8), at(8))
	r.Remove(at(9.5), "t1")
	is.Equal(len(names(r)), 0)
}

// An address is used again by another service while the entry of its former holder
// has not gone. Requests must go to the one that was born last.
func TestAnAddressBelongsToItsLastHolder(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	old, fresh := entry("t9", "10.0.0.1:80"), entry("t1", "10.0.0.1:80")
	old.Born, fresh.Born = 100, 200
	fresh.Service = "other"
	r.Put(old)
	r.Put(fresh)
	is.Equal(names(r), []ident.Target{"t1"})
	r.Remove(at(1), "t1")
	is.Equal(names(r), []ident.Target{"t9"})
}

// The store turned a daemon away, and answers it again. A fifth of a second later a target
// leaves without saying so before, and takes requests for two seconds. The daemon took its
// entry for one that had lapsed in the outage, kept it for two and a half seconds after the
// return, and sent the target a request after it had gone.
func TestATargetThatLeavesAfterTheStoresReturnIsNotKeptForLong(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := registry.New(registry.Config{})
	r.Put(registry.Entry{Identity: "lapsed", Address: "1"})
	r.Put(registry.Entry{Identity: "leaves", Address: "2"})
	r.Returned(now, now)
	r.Replace(now, []registry.Entry{{Identity: "leaves", Address: "2"}})
	left := now.Add(230 * time.Millisecond)
	heard := left.Add(580 * time.Millisecond) // changes are gathered for 800 ms at most
	r.Remove(heard, "leaves")
	_, next := r.Expire(heard)
	is.True(!next.IsZero())
	r.Expire(left.Add(1800 * time.Millisecond))
	list := r.Targets()
	is.Equal(len(list), 1) // it is gone before it stops to serve
	is.Equal(list[0].Identity, ident.Target("lapsed"))
	r.Expire(now.Add(2400 * time.Millisecond))
	is.Equal(len(r.Targets()), 1) // what lapsed in the outage has all of the grace
}

// A daemon notices the store's return a second late, by the pause between two calls. A
// target that left in the outage was used for as long as one that lapsed when the daemon
// noticed at once; it has to go as long after the outage's end, not after the notice.
func TestTheGraceEndsBeforeTheDaemonIsInTouch(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{InTouch: 3 * time.Second})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.Returned(at(9), at(8))
	r.Replace(at(9), nil)
	is.Equal(names(r), []ident.Target{"t1"})
	r.Expire(at(10.9))
	is.Equal(len(names(r)), 0)
	r.Put(entry("t2", "10.0.0.2:80"))
	r.Returned(at(19), at(15)) // it counts as in touch already
	r.Replace(at(19), nil)
	is.Equal(len(names(r)), 0)
}

// An entry that lapsed in an outage must not go early where the table is read twice.
func TestALapsedEntryKeepsItsGraceWhereTheTableIsReadAgain(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.Returned(at(8), at(8))
	r.Replace(at(8), nil)
	r.Replace(at(9.2), nil)
	is.Equal(names(r), []ident.Target{"t1"})
	r.Expire(at(10.5))
	is.Equal(len(names(r)), 0)
}

// A target that left, or drains, must not serve again by its entry in a copy.
func TestACopyDoesNotBringTargetsBack(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	gone, drains, stays := entry("gone", "1"), entry("drains", "2"), entry("stays", "3")
	r.Replace(at(0), []registry.Entry{gone, drains, stays})
	draining := drains
	draining.Draining = true
	r.Put(draining)
	r.Remove(at(1), "gone")
	r.Restored(at(3), at(3))
	r.Replace(at(3), []registry.Entry{gone, drains, stays})
	is.Equal(r.Targets(), []registry.Entry{draining, stays})
	is.Equal(r.Shadowed(), []ident.Target{"drains", "gone"})
	r.Replace(at(4), []registry.Entry{gone, drains, stays}) // read once more
	is.Equal(r.Targets(), []registry.Entry{draining, stays})
	r.Remove(at(5), "drains")
	is.Equal(r.Targets(), []registry.Entry{stays})
	is.Equal(r.Shadowed(), []ident.Target{"gone"})
}

// A target that is taken for gone by mistake must not be left out for ever.
func TestTheCopyIsBelievedWhereTheStoreTellsAnewOrAfterAWhile(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	a, b := entry("a", "1"), entry("b", "2")
	r.Put(a)
	r.Put(b)
	r.Remove(at(1), "a")
	r.Remove(at(1), "b")
	r.Restored(at(3), at(3))
	r.Replace(at(3), []registry.Entry{a, b})
	is.Equal(len(names(r)), 0)
	r.Put(a) // it wrote its entry again
	is.Equal(names(r), []ident.Target{"a"})
	_, next := r.Expire(at(4))
	is.Equal(next, at(8))
	r.Expire(next)
	is.Equal(names(r), []ident.Target{"a", "b"})
	is.Equal(len(r.Shadowed()), 0)
}

// Entries that a copy lacks must outlast a second copy and an outage right after it.
func TestWhatACopyLacksGetsANewGraceAtEachReturn(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t", "1"))
	r.Restored(at(0), at(0))
	r.Replace(at(0), nil)
	r.Restored(at(2), at(2))
	r.Replace(at(2), nil)
	r.Expire(at(4))
	is.Equal(names(r), []ident.Target{"t"})
	r.Away(at(4.1))
	r.Expire(at(6))
	is.Equal(names(r), []ident.Target{"t"})
	r.Returned(at(6.1), at(6))
	r.Replace(at(6.1), nil)
	r.Expire(at(8.6))
	is.Equal(len(names(r)), 0)
}

// A target that had left before this daemon started must not serve by its entry in a copy.
func TestACopysTargetThatWasNotKnownIsDoubted(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	known, unknown := entry("known", "1"), entry("unknown", "2")
	r.Replace(at(0), []registry.Entry{known})
	r.Restored(at(1), at(1))
	r.Doubt("known")
	r.Doubt("unknown")
	r.Replace(at(1), []registry.Entry{known, unknown})
	is.Equal(names(r), []ident.Target{"known"})
	r.Expire(at(6))
	is.Equal(names(r), []ident.Target{"known", "unknown"})
}

// An outage right after the return must not end the doubt before the store can be read.
func TestTheDoubtOutlastsAnOutage(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	gone := entry("gone", "1")
	r.Put(gone)
	r.Remove(at(0), "gone")
	r.Restored(at(1), at(1))
	r.Replace(at(1), []registry.Entry{gone})
	r.Away(at(2))
	_, next := r.Expire(at(7))
	is.Equal(len(names(r)), 0)
	is.True(next.IsZero())
	r.Returned(at(8), at(8))
	r.Replace(at(8), []registry.Entry{gone})
	is.Equal(len(names(r)), 0)
	r.Expire(at(13))
	is.Equal(names(r), []ident.Target{"gone"})
}
