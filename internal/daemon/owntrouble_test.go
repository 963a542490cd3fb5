package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/membership"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/relay"
)

// unhelpfulPeers are daemons that know nothing of the store, and say so unless they cannot be reached.
type unhelpfulPeers struct{ unreachable bool }

// Follow implements relay.Peers.
func (p unhelpfulPeers) Follow(ctx context.Context, _ ident.Daemon, _ store.FeedQuery) (store.FeedAnswer, error) {
	if p.unreachable {
		<-ctx.Done()
		return store.FeedAnswer{}, ctx.Err()
	}
	return store.FeedAnswer{}, store.ErrReaderNotCurrent
}

// Guards against two errors: a daemon that reaches neither the store nor any other daemon for a while
// takes that for an outage of the store, and goes on using targets that have left meanwhile; and one that
// takes an outage for trouble of its own drops all targets whose entries have lapsed in it.
func TestMissingTargetsAreKeptAfterOutagesOnly(t *testing.T) {
	others := []membership.Member{{ID: "e1", Zone: "a"}, {ID: "e2", Zone: "a"}, {ID: "f1", Zone: "b"}, {ID: "f2", Zone: "b"}}
	for _, outage := range []bool{false, true} {
		for _, length := range []time.Duration{5 * time.Second, 8 * time.Second, 15 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := newFakeTargetFeed()
				feed.hangs = true
				feed.put("missing", false)
				feed.put("lives", false)
				s := newTestStoreSyncAmong(t, feed, unhelpfulPeers{unreachable: !outage}, others)
				time.Sleep(4 * time.Second)
				feed.setUnreachable(true)
				time.Sleep(length)
				feed.put("missing", true)
				is.True(s.isUsable("missing")) // known targets stay in use meanwhile
				feed.setUnreachable(false)
				began := time.Now()
				for !s.hasReadTargetsSince(began) && time.Since(began) < 5*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(50 * time.Millisecond)
				is.True(s.isUsable("lives"))
				is.Equal(s.isUsable("missing"), outage)
				feed.put("missing", false)
				time.Sleep(2 * time.Second)
				is.True(s.isUsable("missing")) // registered again
			})
		}
	}
}

// cutZonePeers are the other daemons as a zone that is cut off reaches them: those of other zones do not
// answer, those of its own have lost the store as well.
type cutZonePeers struct{}

// Follow implements relay.Peers.
func (cutZonePeers) Follow(ctx context.Context, peer ident.Daemon, q store.FeedQuery) (store.FeedAnswer, error) {
	return unhelpfulPeers{unreachable: peer[0] != 'e'}.Follow(ctx, peer, q)
}

// Guards against a zone that stops serving when it is cut off, because each of its daemons takes that for
// trouble of its own, and against a daemon that does not notice that it alone is out of touch.
func TestDaemonOfAZoneThatIsCutOffIsNotOutOfTouch(t *testing.T) {
	others := []membership.Member{{ID: "e1", Zone: "a"}, {ID: "e2", Zone: "a"}, {ID: "f1", Zone: "b"}, {ID: "g1", Zone: "c"}}
	for _, zoneIsCut := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			feed := newFakeTargetFeed()
			feed.hangs = true
			feed.put("lives", false)
			peers := map[bool]relay.Peers{true: cutZonePeers{}, false: unhelpfulPeers{unreachable: true}}[zoneIsCut]
			s := newTestStoreSyncAmong(t, feed, peers, others)
			time.Sleep(4 * time.Second)
			is.True(!s.deps.Relay.OutOfTouch())
			feed.setUnreachable(true)
			time.Sleep(5 * time.Second)
			for range 100 {
				is.Equal(s.deps.Relay.OutOfTouch(), !zoneIsCut)
				time.Sleep(100 * time.Millisecond)
			}
			feed.setUnreachable(false)
			time.Sleep(3 * time.Second)
			is.True(!s.deps.Relay.OutOfTouch())
		})
	}
}
