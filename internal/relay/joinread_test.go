package relay

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/platform"
)

// lateFeed answers reads of a table after five seconds, with the revision of the moment of the call.
type lateFeed struct {
	platform.Feed
	revision uint64
}

// ReadTable implements platform.Feed.
func (s *lateFeed) ReadTable(ctx context.Context, _ string) ([]platform.FeedRow, platform.Revision, error) {
	revision := platform.NewRevision(0, s.revision)
	select {
	case <-time.After(5 * time.Second):
		return nil, revision, nil
	case <-ctx.Done():
		return nil, platform.Revision{}, ctx.Err()
	}
}

// Guards against changes that are lost because a read of a table that came late replaces what was learnt
// from another daemon meanwhile.
func TestLateReadThatWasOvertakenIsNotUsed(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := &lateFeed{revision: 7}
			f := New(Config{Self: "d", Zone: "z", Store: store, HeartbeatTable: "table", Logger: slog.New(slog.DiscardHandler)})
			f.slowUntil = time.Now().Add(time.Minute)
			go func() { f.beginRead(t.Context(), "targets") }()
			time.Sleep(time.Second)
			if overtaken {
				f.mu.Lock()
				f.updateLatest("targets", platform.NewRevision(0, 9))
				f.mu.Unlock()
			}
			answer := f.joinRead(t.Context(), "targets")
			is.Equal(errors.Is(answer.err, errReadOvertaken), overtaken)
			is.Equal(answer.err == nil, !overtaken)
		})
	}
}
