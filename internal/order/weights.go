package order

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/platform"
)

// weightGate asks the weight store for one name at a time and waits as told.
//
// It answers a change of version for a whole pool: without it every target's
// worker asks at once, and the store's rate limit answers each with a longer
// wait, the urgent ones included.
type weightGate struct {
	store platform.Weights
	clock clock.Clock
	turn  chan struct{}
}

func newWeightGate(store platform.Weights, c clock.Clock) *weightGate {
	return &weightGate{store: store, clock: c, turn: make(chan struct{}, 1)}
}

// fetch returns when the named weights are ready for loading.
func (g *weightGate) fetch(ctx context.Context, name string) error {
	select {
	case g.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-g.turn }()
	wait, err := g.store.FetchWeights(ctx, name)
	if err != nil {
		return err
	}
	return pause(ctx, g.clock, wait)
}

// pause waits; the error is ctx's.
func pause(ctx context.Context, c clock.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}
