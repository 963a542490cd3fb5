package booking_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/booking"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// newVersionedCore returns the Core of a single daemon with two targets of each of two versions, of
// four slots each, and one that states no version.
func newVersionedCore(now time.Time) *booking.Core {
	c := booking.New(booking.Config{Self: "a", Incarnation: 1, Zone: "z"}, rand.New(rand.NewPCG(1, 1)))
	s := booking.Service{Name: "pool", ServesModel: true, Workspaces: []booking.Workspace{{Name: "w", Weight: 1}}}
	for i, version := range []ident.Version{"v1", "v1", "v2", "v2", ""} {
		s.Targets = append(s.Targets, booking.Target{Name: ident.Target(fmt.Sprintf("t%d", i)), Zone: "z", Slots: 4, Memory: 100000, Version: version})
	}
	c.Configure(now, []booking.Service{s})
	return c
}

// submit places a request that continues a stream of a version, and returns its target or refusal.
func submit(c *booking.Core, now time.Time, id ident.Request, version ident.Version, avoid ...ident.Target) (ident.Target, *resultcode.Failure) {
	c.Submit(now, booking.Request{
		ID: id, Service: "pool", Workspace: "w", Prompt: 100, Output: 10, Deadline: now.Add(10 * time.Second),
		Parts: []booking.PromptPart{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}}, PreviouslyPlaced: true, Pinned: true, Version: version, Avoid: avoid,
	})
	for _, e := range c.TakeEffects() {
		switch e := e.(type) {
		case booking.Dispatch:
			return e.Target, nil
		case booking.Refuse:
			return "", e.Failure
		}
	}
	return "", nil
}

// Guards against a stream that is placed at an idle target of another version because those of its
// own are full.
func TestFullVersionIsNotReplacedByIdleOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newVersionedCore(now)
	placed := map[ident.Target]int{}
	var last *resultcode.Failure
	for i := range 12 {
		target, failure := submit(c, now, ident.Request(fmt.Sprint(i)), "v1")
		if failure != nil {
			last = failure
			continue
		}
		placed[target]++
	}
	is.Equal(len(placed), 2)
	is.True(placed["t0"] >= 3 && placed["t1"] >= 3)
	is.Equal(last.Code, resultcode.FleetFull)
	target, _ := submit(c, now, "other", "v2")
	is.True(target == "t2" || target == "t3")
}

// Guards against a stream that waits, or is sent to any target, although none of its version is left;
// a target that states no version is of no version.
func TestStreamOfVersionThatIsGoneIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newVersionedCore(now)
	for _, version := range []ident.Version{"v3", ""} {
		_, failure := submit(c, now, ident.Request("r"+version), version)
		is.Equal(failure.Code, resultcode.StreamVersionGone)
		is.Equal(failure.RetryDelay(), time.Duration(0))
	}
}

// Guards against a stream that ends because the last target of its version was to be avoided.
func TestLastTargetOfVersionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newVersionedCore(now)
	target, _ := submit(c, now, "r1", "v1", "t0", "t1")
	is.True(target == "t0" || target == "t1")
	target, _ = submit(c, now, "r2", "v1", "t0")
	is.Equal(target, ident.Target("t1"))
}
