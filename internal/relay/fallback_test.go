package relay_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	"github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
)

// slowReader answers queries for the heartbeat table when it is released, and refuses all others.
type slowReader struct{ release chan struct{} }

// Follow implements relay.Peers. Like a response that is already on its way, an answer does not
// end with the query's context.
func (r slowReader) Follow(_ context.Context, _ ident.Daemon, q platform.FeedQuery) (platform.FeedAnswer, error) {
	if q.Table != heartbeatTable {
		return platform.FeedAnswer{}, errors.New("refused")
	}
	<-r.release
	return platform.FeedAnswer{Revision: q.After}, nil
}

// Guards against a table that is not followed for the whole backoff: its query to the reader fails
// while one for the heartbeat table is being answered, and then nobody checks the store.
func TestAnswerOfReaderEndsTheWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		reader := slowReader{release: make(chan struct{})}
		self := ident.Daemon("d1")
		if electedReader(fiveDaemons) == self {
			self = "d2"
		}
		f := relay.New(relay.Config{
			Self: self, Zone: "z", Store: storeClient{store, self}, Peers: reader, HeartbeatTable: heartbeatTable, Logger: slog.New(slog.DiscardHandler),
		})
		var others []membership.Member
		for _, name := range fiveDaemons {
			if name != self {
				others = append(others, membership.Member{ID: name, Zone: "z"})
			}
		}
		f.Elect(others)
		time.Sleep(2 * time.Second)
		after := platform.NewRevision(0, 1)
		go func() { _, _, _ = f.Changes(t.Context(), heartbeatTable, after, time.Second) }()
		synctest.Wait()
		_, _, err := f.Changes(t.Context(), "targets", after, time.Second) // the reader fails
		is.NoErr(err)
		store.put("k", "new", false)
		time.AfterFunc(100*time.Millisecond, func() { close(reader.release) })
		began := time.Now()
		rows, _, err := f.Changes(t.Context(), "targets", after, 25*time.Second)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		is.True(time.Since(began) < time.Second)
	})
}
