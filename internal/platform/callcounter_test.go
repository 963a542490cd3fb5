package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/platform"
)

// Guards against calls to the store that are charged for and that no operator can attribute.
func TestCallsAreCountedByTableAndKind(t *testing.T) {
	is := is.New(t)
	feed, seen := newFakeFeed(), 0
	c := platform.NewCallCounter(feed, nil, func(platform.Call) { seen++ })
	_, revision, err := c.ReadTable(t.Context(), "t")
	is.NoErr(err)
	feed.put("k", "v", false)
	_, _, err = c.Changes(t.Context(), "t", revision, time.Second)
	is.NoErr(err)
	feed.setFault(errors.New("refused"), false)
	_, _, err = c.ReadTable(t.Context(), "t")
	is.True(err != nil)
	is.Equal(c.TakeCounts(), map[platform.Call]int{
		{Table: "t", Kind: platform.CallRead}:               1,
		{Table: "t", Kind: platform.CallFollow}:             1,
		{Table: "t", Kind: platform.CallRead, Failed: true}: 1,
	})
	is.Equal(len(c.TakeCounts()), 0)
	is.Equal(seen, 3)
}

// Guards against lines that tell of failed calls wherever a daemon has ended its own call, as when
// a reader of its zone is elected.
func TestCanceledCallHasNotFailed(t *testing.T) {
	is := is.New(t)
	c := platform.NewCallCounter(newFakeFeed(), nil, nil)
	_, revision, err := c.ReadTable(t.Context(), "t")
	is.NoErr(err)
	c.TakeCounts()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, _, err = c.Changes(ctx, "t", revision, time.Minute)
	is.True(err != nil)
	is.Equal(c.TakeCounts(), map[platform.Call]int{{Table: "t", Kind: platform.CallFollow}: 1})
}
