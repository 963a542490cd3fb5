package targetnotice

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/registry"
)

var start = time.Unix(1000, 0)

func entry(id ident.Target, startedAt int64) registry.Entry {
	return registry.Entry{Identity: id, Service: "app", StartedAtMillis: startedAt}
}

// Guards against a target that returns to service because its row says that it is ready.
func TestNoticeOutlivesARowThatSaysReady(t *testing.T) {
	is := is.New(t)
	table := New()
	is.True(table.Leave(start, entry("a", 5)))
	is.True(!table.Leave(start, entry("a", 5)))
	for age := time.Duration(0); age < time.Hour; age += 5 * time.Minute {
		list := []registry.Entry{entry("a", 5), entry("b", 1)}
		table.Apply(start.Add(age), list)
		is.True(list[0].Draining)
		is.True(!list[1].Draining)
	}
}

// Guards against a new process that is taken for the one that said that it leaves, and against a late
// response of the old one.
func TestNoticeEndsWithItsProcess(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Leave(start, entry("a", 5))
	list := []registry.Entry{entry("a", 6), entry("b", 1)}
	table.Apply(start, list)
	is.True(!list[0].Draining)
	table.Leave(start, entry("a", 5)) // late
	table.Apply(start, list)
	is.True(!list[0].Draining)
	table.Leave(start, entry("a", 6))
	is.True(!table.Leave(start, entry("a", 5)))
	table.Apply(start, list)
	is.True(list[0].Draining)
	is.True(table.Leaves(entry("a", 6)) && !table.Leaves(entry("a", 5)) && !table.Leaves(entry("b", 1)))
}

// Guards against a target that is used again because its registration was missing during an outage
// of the store, and against notices that are kept for ever.
func TestNoticeOutlivesAMissingRow(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Leave(start, entry("a", 5))
	table.Apply(start.Add(time.Minute), nil)
	list := []registry.Entry{entry("a", 5), entry("b", 1)}
	table.Apply(start.Add(2*time.Minute), list)
	is.True(list[0].Draining)
	table.Apply(start.Add(13*time.Minute), nil)
	is.Equal(len(table.leaving), 0)
	table.Leave(start, entry("unstamped", 0))
	table.Apply(start, nil)
	is.Equal(len(table.leaving), 0)
}

// Guards against a service without targets although its last one still serves.
func TestLastTargetIsMarkedAMomentLater(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Leave(start, entry("a", 5))
	list := []registry.Entry{entry("a", 5)}
	next := table.Apply(start, list)
	is.True(!list[0].Draining)
	is.Equal(next, start.Add(lastTargetUse))
	is.True(table.Apply(next, list).IsZero())
	is.True(list[0].Draining)
}

// Guards against a pause that a later, shorter one or a late response of an older process ends.
func TestLongerPauseCounts(t *testing.T) {
	is := is.New(t)
	table := New()
	e := entry("a", 5)
	is.True(table.Pause(start, e, 3*time.Second))
	is.True(!table.Pause(start.Add(time.Second), e, time.Second))
	is.True(table.IsPaused(start.Add(2900*time.Millisecond), e))
	is.True(!table.Pause(start.Add(2*time.Second), e, 3*time.Second)) // goes on
	is.True(!table.Pause(start.Add(2*time.Second), entry("a", 4), time.Hour))
	is.True(table.IsPaused(start.Add(4900*time.Millisecond), e))
	is.True(!table.IsPaused(start.Add(5*time.Second), e))
	is.True(!table.IsPaused(start, entry("a", 6))) // another process
	is.True(!table.Pause(start, e, 0))
}

// Guards against a target that a nonsensical value takes out of service for good, and against pauses
// that are kept for ever.
func TestPausesAreBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	table := New()
	e := entry("a", 5)
	table.Pause(start, e, 1000*time.Hour)
	registered := map[ident.Target]registry.Entry{"a": e}
	is.Equal(table.Pauses(start, registered), []Pause{{"a", start.Add(maxPause)}})
	is.Equal(len(table.Pauses(start, nil)), 0) // not registered at present
	is.Equal(len(table.Pauses(start.Add(maxPause), registered)), 0)
	is.Equal(len(table.pauses), 0)
	table.Pause(start, e, time.Second)
	is.Equal(len(table.Pauses(start, map[ident.Target]registry.Entry{"a": entry("a", 6)})), 0)
	is.Equal(len(table.pauses), 0)
}

// Guards against a log line for each response of a target with a malformed notice.
func TestMalformedNoticeIsNewOnceAProcess(t *testing.T) {
	is := is.New(t)
	table := New()
	is.True(table.Malformed(entry("a", 5)))
	is.True(!table.Malformed(entry("a", 5)))
	is.True(table.Malformed(entry("a", 6)))
	table.Apply(start, nil)
	is.Equal(len(table.malformed), 0)
}
