package config_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/config"
	platformstandin "github.com/savorystall/savorystall/internal/standin/platform"
)

func TestApplyReachesTheStore(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	revision, err := b.editor("ana").Apply(t.Context(), text("portal", 1), 0, "first")
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	store := config.NewStore()
	is.NoErr(b.watcher(store).Poll(t.Context()))
	is.Equal(store.Head(), uint64(1))
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	workspace, ok := service.Authenticate("portal-key")
	is.True(ok)
	is.Equal(string(workspace), "w")
	_, ok = service.Authenticate("wrong")
	is.True(!ok)
	is.True(store.Snapshot().KnownKey("portal-key"))
	operation, ok := service.Operation("POST", "/cases")
	is.True(ok)
	is.True(operation.Unrepeatable)
	is.Equal(service.Methods("/cases/7"), []string{"GET"})
}

// Two operators edit the same service from the same revision. The later one
// must not overwrite the earlier one's change unseen: he is told whose change
// went first and what it was.
func TestRacingOperatorsGetTheDifference(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first, err := b.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	_, err = b.editor("ana").Apply(t.Context(), text("portal", 2), first, "")
	is.NoErr(err)
	_, err = b.editor("ben").Apply(t.Context(), text("portal", 3), first, "")
	var conflict *config.EditConflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Present.Author, "ana")
	is.Equal(conflict.Present.Revision, uint64(2))
	is.True(strings.Contains(conflict.Diff, "-    weight: 1\n+    weight: 2"))
}

// Many operators edit many services at once. Every change must get a revision
// of its own, and none may be lost though all of them write the head row.
func TestConcurrentChangesAllGetThrough(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	services := []string{"a", "b", "c", "d", "e", "f"}
	var group sync.WaitGroup
	errs := make([]error, len(services))
	for i, name := range services {
		group.Go(func() { _, errs[i] = b.editor(name).Apply(t.Context(), text(name, 1), 0, "") })
	}
	group.Wait()
	is.NoErr(errors.Join(errs...))
	store := config.NewStore()
	is.NoErr(b.watcher(store).Poll(t.Context()))
	is.Equal(store.Head(), uint64(len(services)))
	is.Equal(len(store.Snapshot().Services()), len(services))
}

// An operator's apply takes effect, but the answer is lost on its way back. A
// blind second write would report a conflict with the operator's own change;
// he must see his revision.
func TestLostAnswerIsSettled(t *testing.T) {
	for name, faults := range map[string]platformstandin.Faults{
		"at once":     {LoseAnswers: 1},
		"three times": {LoseAnswers: 3},
		"late":        {LoseAnswers: 1, LateEffect: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.server.SetFaults(platformstandin.Table, faults)
			revision, err := b.editor("ana").Apply(t.Context(), text("portal", 1), 0, "")
			is.NoErr(err)
			is.Equal(revision, uint64(1))
			b.server.Wait()
			history, err := b.editor("ana").History(t.Context(), "portal")
			is.NoErr(err)
			is.Equal(len(history), 1)
		})
	}
}

// The answer of an apply is lost, and before it is repeated another operator
// changes another service. The first apply took effect: its operator must see
// that revision, and it must not be written a second time.
func TestLostAnswerThenOvertakenHead(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{LoseAnswers: -1})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	_, err := b.editor("ana").Apply(ctx, text("portal", 1), 0, "")
	cancel()
	is.True(err != nil) // unknown: every answer is lost
	b.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	_, err = b.editor("ben").Apply(t.Context(), text("other", 1), 0, "")
	is.NoErr(err)
	record, err := b.editor("ana").Get(t.Context(), "portal")
	is.NoErr(err)
	is.Equal(record.Revision, uint64(1))
}

func TestModelBelongsToOneService(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	e := b.editor("ana")
	first, err := e.Apply(t.Context(), modelText("one", "m"), 0, "")
	is.NoErr(err)
	_, err = e.Apply(t.Context(), modelText("two", "m"), 0, "")
	var taken *config.ModelTaken
	is.True(errors.As(err, &taken))
	is.Equal(string(taken.Owner), "one")
	_, err = e.Apply(t.Context(), modelText("one", "n"), first, "")
	is.NoErr(err)
	_, err = e.Apply(t.Context(), modelText("two", "m"), 0, "")
	is.NoErr(err)
	store := config.NewStore()
	is.NoErr(b.watcher(store).Poll(t.Context()))
	service, ok := store.Snapshot().ByModel("m")
	is.True(ok)
	is.Equal(string(service.Document.Service), "two")
}

func TestDeleteRollbackAndHistory(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	e := b.editor("ana")
	store := config.NewStore()
	watcher := b.watcher(store)
	first, err := e.Apply(t.Context(), text("portal", 1), 0, "")
	is.NoErr(err)
	second, err := e.Delete(t.Context(), "portal", first, "gone")
	is.NoErr(err)
	is.NoErr(watcher.Poll(t.Context()))
	_, ok := store.Snapshot().Service("portal")
	is.True(!ok)
	_, err = e.Delete(t.Context(), "portal", 0, "")
	is.True(errors.Is(err, config.ErrNoService))
	third, err := e.Rollback(t.Context(), "portal", first, 0, "")
	is.NoErr(err)
	is.True(third > second)
	is.NoErr(watcher.Poll(t.Context()))
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, third)
	history, err := e.History(t.Context(), "portal")
	is.NoErr(err)
	is.Equal(len(history), 3)
	is.True(history[1].Deleted)
	is.Equal(history[2].Note, "rollback to revision 1")
}
