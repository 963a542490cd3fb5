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

func TestPutRemoveAndReplace(t *testing.T) {
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

// The store is unreachable for eight seconds, so entries cannot be renewed and lapse. A daemon
// that reads the store after the recovery finds no targets, although they serve and register
// again within two seconds. No request may be refused in the meantime.
func TestEntriesLapsedInOutageAreKeptForGracePeriod(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.Put(entry("t2", "10.0.0.2:80"))
	r.StoreRecovered(at(8), at(8))
	r.Replace(at(8), nil)
	is.Equal(names(r), []ident.Target{"t1", "t2"})
	r.Put(entry("t1", "10.0.0.1:80"))
	is.Equal(r.Lapsed(), []ident.Target{"t2"})
	dropped, next := r.Expire(at(9))
	is.Equal(len(dropped), 0)
	is.Equal(next, at(10.5))
	is.Equal(r.NextLapse(), at(10.5))
	dropped, next = r.Expire(at(10.5))
	is.Equal(dropped, []ident.Target{"t2"})
	is.Equal(names(r), []ident.Target{"t1"}) // t2 is considered gone
	is.True(next.IsZero())
	is.True(r.NextLapse().IsZero())
}

// A removal long after the recovery is a departure, not an effect of the outage.
func TestRemovalLongAfterOutageIsImmediate(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.StoreRecovered(at(8), at(8))
	r.Remove(at(9.5), "t1")
	is.Equal(len(names(r)), 0)
}

// An address is reused by another service before the entry of its former target is removed.
// Requests must go to the target that started last.
func TestAddressBelongsToLatestTarget(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	old, fresh := entry("t9", "10.0.0.1:80"), entry("t1", "10.0.0.1:80")
	old.StartedAtMillis, fresh.StartedAtMillis = 100, 200
	fresh.Service = "other"
	r.Put(old)
	r.Put(fresh)
	is.Equal(names(r), []ident.Target{"t1"})
	r.Remove(at(1), "t1")
	is.Equal(names(r), []ident.Target{"t9"})
}

// The store refuses a daemon for a while and then answers again. A fifth of a second later a
// target leaves unannounced and accepts requests for two more seconds. The daemon attributed
// the removal to the outage, kept the entry for two and a half seconds after the recovery, and
// sent the target a request after it had stopped.
func TestRemovalAfterRecoveryGetsShortGracePeriod(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := registry.New(registry.Config{})
	r.Put(registry.Entry{Identity: "lapsed", Address: "1"})
	r.Put(registry.Entry{Identity: "leaves", Address: "2"})
	r.StoreRecovered(now, now)
	r.Replace(now, []registry.Entry{{Identity: "leaves", Address: "2"}})
	leftAt := now.Add(230 * time.Millisecond)
	observed := leftAt.Add(580 * time.Millisecond) // changes are gathered for 800 ms at most
	r.Remove(observed, "leaves")
	_, next := r.Expire(observed)
	is.True(!next.IsZero())
	r.Expire(leftAt.Add(1800 * time.Millisecond))
	list := r.Targets()
	is.Equal(len(list), 1) // the target is dropped before it stops serving
	is.Equal(list[0].Identity, ident.Target("lapsed"))
	r.Expire(now.Add(2400 * time.Millisecond))
	is.Equal(len(r.Targets()), 1) // the entry that lapsed in the outage gets the full grace period
}

// A daemon notices the recovery of the store a second late, because of the pause between two
// calls. The grace period was counted from that moment, so a target that had left during the
// outage was used for too long; it has to be counted from the end of the outage.
func TestGracePeriodEndsBeforeCatchUpTime(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{CatchUpTime: 3 * time.Second})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.StoreRecovered(at(9), at(8))
	r.Replace(at(9), nil)
	is.Equal(names(r), []ident.Target{"t1"})
	r.Expire(at(10.9))
	is.Equal(len(names(r)), 0)
	r.Put(entry("t2", "10.0.0.2:80"))
	r.StoreRecovered(at(19), at(15)) // the daemon has to be following the store by now
	r.Replace(at(19), nil)
	is.Equal(len(names(r)), 0)
}

// Reading the table twice must not shorten the grace period of an entry that lapsed in an outage.
func TestSecondReadKeepsGracePeriod(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t1", "10.0.0.1:80"))
	r.StoreRecovered(at(8), at(8))
	r.Replace(at(8), nil)
	r.Replace(at(9.2), nil)
	is.Equal(names(r), []ident.Target{"t1"})
	r.Expire(at(10.5))
	is.Equal(len(names(r)), 0)
}

// A target that has left or is draining must not get requests again because of its entry in a
// backup.
func TestRestoreDoesNotReviveDepartedTargets(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	departed, drainer, live := entry("gone", "1"), entry("drains", "2"), entry("stays", "3")
	r.Replace(at(0), []registry.Entry{departed, drainer, live})
	draining := drainer
	draining.Draining = true
	r.Put(draining)
	r.Remove(at(1), "gone")
	r.StoreRestored(at(3), at(3))
	r.Replace(at(3), []registry.Entry{departed, drainer, live})
	is.Equal(r.Targets(), []registry.Entry{draining, live})
	is.Equal(r.Quarantined(), []ident.Target{"drains", "gone"})
	r.Replace(at(4), []registry.Entry{departed, drainer, live}) // the table is read again
	is.Equal(r.Targets(), []registry.Entry{draining, live})
	r.Remove(at(5), "drains")
	is.Equal(r.Targets(), []registry.Entry{live})
	is.Equal(r.Quarantined(), []ident.Target{"gone"})
}

// A target that is wrongly considered departed must not be excluded forever.
func TestQuarantineEndsOnUpdateOrTimeout(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	a, b := entry("a", "1"), entry("b", "2")
	r.Put(a)
	r.Put(b)
	r.Remove(at(1), "a")
	r.Remove(at(1), "b")
	r.StoreRestored(at(3), at(3))
	r.Replace(at(3), []registry.Entry{a, b})
	is.Equal(len(names(r)), 0)
	r.Put(a) // the target wrote its entry again
	is.Equal(names(r), []ident.Target{"a"})
	_, next := r.Expire(at(4))
	is.Equal(next, at(8))
	r.Expire(next)
	is.Equal(names(r), []ident.Target{"a", "b"})
	is.Equal(len(r.Quarantined()), 0)
}

// Entries that a backup lacks must survive a second restore and an outage right after it.
func TestMissingEntriesGetNewGracePeriodAtEachRecovery(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("t", "1"))
	r.StoreRestored(at(0), at(0))
	r.Replace(at(0), nil)
	r.StoreRestored(at(2), at(2))
	r.Replace(at(2), nil)
	r.Expire(at(4))
	is.Equal(names(r), []ident.Target{"t"})
	r.StoreUnreachable(at(4.1))
	r.Expire(at(6))
	is.Equal(names(r), []ident.Target{"t"})
	r.StoreRecovered(at(6.1), at(6))
	r.Replace(at(6.1), nil)
	r.Expire(at(8.6))
	is.Equal(len(names(r)), 0)
}

// One call fails over a second after the store was restored from a backup, and no outage shows: the table is
// read again. A live target that is still missing was dropped at once, before it had written its entry again.
// Its grace period has to go on, and must not begin anew either.
func TestFailedCallDoesNotEndGracePeriod(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	r.Put(entry("back", "1"))
	r.Put(entry("gone", "2"))
	r.Put(entry("leaves", "3"))
	r.StoreRestored(at(0), at(0))
	r.Replace(at(0), []registry.Entry{entry("leaves", "3")})
	r.StoreUnreachable(at(1.1))
	r.StoreRecovered(at(1.2), time.Time{})
	r.Replace(at(1.2), nil)
	is.Equal(names(r), []ident.Target{"back", "gone"}) // an entry that the backup held has been removed since
	r.Put(entry("back", "1"))
	r.Remove(at(1.3), "back")
	is.Equal(names(r), []ident.Target{"gone"})
	r.Expire(at(2.4))
	is.Equal(names(r), []ident.Target{"gone"})
	r.Expire(at(2.5))
	is.Equal(len(names(r)), 0)
}

// A target that left before this daemon started must not get requests because of its entry in
// a backup.
func TestUnknownTargetInBackupIsQuarantined(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	known, unknown := entry("known", "1"), entry("unknown", "2")
	r.Replace(at(0), []registry.Entry{known})
	r.StoreRestored(at(1), at(1))
	r.Distrust("known")
	r.Distrust("unknown")
	r.Replace(at(1), []registry.Entry{known, unknown})
	is.Equal(names(r), []ident.Target{"known"})
	r.Expire(at(6))
	is.Equal(names(r), []ident.Target{"known", "unknown"})
}

// An outage right after a restore must not end the quarantine before the store can be read.
func TestQuarantineOutlastsOutage(t *testing.T) {
	is := is.New(t)
	r := registry.New(registry.Config{})
	departed := entry("gone", "1")
	r.Put(departed)
	r.Remove(at(0), "gone")
	r.StoreRestored(at(1), at(1))
	r.Replace(at(1), []registry.Entry{departed})
	r.StoreUnreachable(at(2))
	_, next := r.Expire(at(7))
	is.Equal(len(names(r)), 0)
	is.True(next.IsZero())
	r.StoreRecovered(at(8), at(8))
	r.Replace(at(8), []registry.Entry{departed})
	is.Equal(len(names(r)), 0)
	r.Expire(at(13))
	is.Equal(names(r), []ident.Target{"gone"})
}
