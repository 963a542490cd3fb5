package order

import (
	"context"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/platform"
)

// weightFetcher requests one name at a time from the weight store and waits for
// as long as the store says.
//
// It handles a version change of a whole pool. Without it the workers of all
// targets would send requests at once, and the store's rate limit would make
// each of them wait longer, including urgent ones.
type weightFetcher struct {
	store platform.Weights
	clock clock.Clock
	sem   chan struct{}
}

func newWeightFetcher(store platform.Weights, c clock.Clock) *weightFetcher {
	return &weightFetcher{store: store, clock: c, sem: make(chan struct{}, 1)}
}

// fetch returns once the named weights are ready to be loaded.
func (f *weightFetcher) fetch(ctx context.Context, name string) error {
	select {
	case f.sem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.sem }()
	wait, err := f.store.FetchWeights(ctx, name)
	if err != nil {
		return err
	}
	if !clock.Sleep(ctx, f.clock, wait) {
		return ctx.Err()
	}
	return nil
}
