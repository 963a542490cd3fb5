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
	env := newTestEnv(t)
	revision, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 1), 0, "first")
	is.NoErr(err)
	is.Equal(revision, uint64(1))
	store := config.NewStore()
	is.NoErr(env.watcher(store).Poll(t.Context()))
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
	is.Equal(service.AllowedMethods("/cases/7"), []string{"GET"})
}

// Two operators edit the same revision of a service. The second edit must not
// silently overwrite the first: it fails with a conflict that contains the author
// and the diff of the first.
func TestConcurrentEditConflictReturnsDiff(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	first, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 1), 0, "")
	is.NoErr(err)
	_, err = env.editor("ana").Apply(t.Context(), plainDocument("portal", 2), first, "")
	is.NoErr(err)
	_, err = env.editor("ben").Apply(t.Context(), plainDocument("portal", 3), first, "")
	var conflict *config.EditConflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Author, "ana")
	is.Equal(conflict.Current.Revision, uint64(2))
	is.True(strings.Contains(conflict.Diff, "-    weight: 1\n+    weight: 2"))
}

// Several operators edit different services concurrently. Every change must get
// its own revision, and none may be lost although all of them write the head row.
func TestConcurrentChangesAllSucceed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	services := []string{"a", "b", "c", "d", "e", "f"}
	var group sync.WaitGroup
	errs := make([]error, len(services))
	for i, name := range services {
		group.Go(func() { _, errs[i] = env.editor(name).Apply(t.Context(), plainDocument(name, 1), 0, "") })
	}
	group.Wait()
	is.NoErr(errors.Join(errs...))
	store := config.NewStore()
	is.NoErr(env.watcher(store).Poll(t.Context()))
	is.Equal(store.Head(), uint64(len(services)))
	is.Equal(len(store.Snapshot().Services()), len(services))
}

// An apply is executed, but its response is lost. A plain retry would report a
// conflict with the operator's own change; the operator must get the revision of
// that change instead.
func TestLostResponseIsResolved(t *testing.T) {
	for name, faults := range map[string]platformstandin.Faults{
		"at once":     {LostResponses: 1},
		"three times": {LostResponses: 3},
		"late":        {LostResponses: 1, LostWriteDelay: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.server.SetFaults(platformstandin.Table, faults)
			revision, err := env.editor("ana").Apply(t.Context(), plainDocument("portal", 1), 0, "")
			is.NoErr(err)
			is.Equal(revision, uint64(1))
			env.server.WaitForDelayedWrites()
			history, err := env.editor("ana").History(t.Context(), "portal")
			is.NoErr(err)
			is.Equal(len(history), 1)
		})
	}
}

// The response to an apply is lost, and before the retry another operator changes
// a different service. The apply was executed: its revision must be visible, and
// it must not be written a second time.
func TestLostResponseWithConcurrentChange(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{LostResponses: -1})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	_, err := env.editor("ana").Apply(ctx, plainDocument("portal", 1), 0, "")
	cancel()
	is.True(err != nil) // unknown outcome: every response is lost
	env.server.SetFaults(platformstandin.Table, platformstandin.Faults{})
	_, err = env.editor("ben").Apply(t.Context(), plainDocument("other", 1), 0, "")
	is.NoErr(err)
	record, err := env.editor("ana").Get(t.Context(), "portal")
	is.NoErr(err)
	is.Equal(record.Revision, uint64(1))
}

func TestModelBelongsToOneService(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	editor := env.editor("ana")
	first, err := editor.Apply(t.Context(), modelDocument("one", "m"), 0, "")
	is.NoErr(err)
	_, err = editor.Apply(t.Context(), modelDocument("two", "m"), 0, "")
	var conflict *config.ModelConflict
	is.True(errors.As(err, &conflict))
	is.Equal(string(conflict.Owner), "one")
	_, err = editor.Apply(t.Context(), modelDocument("one", "n"), first, "")
	is.NoErr(err)
	_, err = editor.Apply(t.Context(), modelDocument("two", "m"), 0, "")
	is.NoErr(err)
	store := config.NewStore()
	is.NoErr(env.watcher(store).Poll(t.Context()))
	service, ok := store.Snapshot().ByModel("m")
	is.True(ok)
	is.Equal(string(service.Document.Service), "two")
}

func TestDeleteRollbackAndHistory(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	editor := env.editor("ana")
	store := config.NewStore()
	watcher := env.watcher(store)
	first, err := editor.Apply(t.Context(), plainDocument("portal", 1), 0, "")
	is.NoErr(err)
	second, err := editor.Delete(t.Context(), "portal", first, "gone")
	is.NoErr(err)
	is.NoErr(watcher.Poll(t.Context()))
	_, ok := store.Snapshot().Service("portal")
	is.True(!ok)
	_, err = editor.Delete(t.Context(), "portal", 0, "")
	is.True(errors.Is(err, config.ErrNotFound))
	third, err := editor.Rollback(t.Context(), "portal", first, 0, "")
	is.NoErr(err)
	is.True(third > second)
	is.NoErr(watcher.Poll(t.Context()))
	service, ok := store.Snapshot().Service("portal")
	is.True(ok)
	is.Equal(service.Revision, third)
	history, err := editor.History(t.Context(), "portal")
	is.NoErr(err)
	is.Equal(len(history), 3)
	is.True(history[1].Deleted)
	is.Equal(history[2].Note, "rollback to revision 1")
}
