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
