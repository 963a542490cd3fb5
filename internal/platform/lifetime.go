package platform

import "context"

type lifetimeKey struct{}

// withLifetime returns ctx with itself as the lifetime of the calls that are made under it.
func withLifetime(ctx context.Context) context.Context {
	return context.WithValue(ctx, lifetimeKey{}, ctx)
}

// Lifetime returns the context that ends with the follower that makes a call, rather than when that
// follower stops waiting for the answer; ctx itself if the call is made by no follower.
func Lifetime(ctx context.Context) context.Context {
	if lifetime, ok := ctx.Value(lifetimeKey{}).(context.Context); ok {
		return lifetime
	}
	return ctx
}
