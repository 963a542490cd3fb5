package daemon

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/ident"
	store "github.com/savorystall/savorystall/internal/platform"
	"github.com/savorystall/savorystall/internal/registry"
	"github.com/savorystall/savorystall/internal/route"
	"github.com/savorystall/savorystall/internal/targetnotice"
)

// Guards against a release or a crash of many targets that takes a small VM's processor time,
// since each of their rows puts a view of all targets in force.
func TestRowsOfOneAnswerTakeEffectTogether(t *testing.T) {
	is := is.New(t)
	s := newStoreSync(routedDependencies{Log: slog.New(slog.DiscardHandler), Notices: targetnotice.New(), Routes: &route.Holder{}})
	installed, usable := 0, 0
	s.view.install = func(v routingView) {
		installed++
		usable = len(v.targets)
	}
	subscriber := &targetSubscriber{storeSync: s, decodeEntry: func(key string, _ []byte) (registry.Entry, error) {
		return registry.Entry{Identity: ident.Target(key), Address: key}, nil
	}}
	var rows []store.FeedRow
	for i := range 163 {
		rows = append(rows, store.FeedRow{Key: fmt.Sprint(i)})
	}
	subscriber.Change(rows)
	is.Equal(installed, 1)
	is.Equal(usable, 163)
	subscriber.Change([]store.FeedRow{{Key: "0", Deleted: true}, {Key: "1", Deleted: true}})
	is.Equal(installed, 2)
	is.Equal(usable, 161)
}
