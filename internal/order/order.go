// Package order brings targets to the state that a service's document wants:
// which models and adapters they hold, in which version and role.
//
// The load pattern: a target restarts empty, a document changes thirteen
// thousand times a day in the fleet, several daemons see a change at different
// moments, and orders get lost or arrive late. Without the package a target
// goes on serving what the last order to arrive said.
//
// An order is absolute: it states the whole wanted state, so that a repeat does
// no harm. It carries a fencing number that was never used before. What the
// target holds is read back after each order and from time to time, and a
// difference is repaired. That is what makes a late order lose in the end at
// targets that ignore fencing numbers; package lease bounds who may order when.
//
// Several daemons may reconcile the same target without harm. That one of them
// does is left to the caller, who picks a daemon for each target.
package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// State is the state of a target, wanted or present.
type State struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Version is the version of the models.
	Version string `json:"version"`
	// Role is a word that the engine knows, such as "prefill".
	Role string `json:"role"`
}

// Order is the whole wanted state with the fencing number of its sender.
type Order struct {
	Fencing uint64 `json:"fencing"`
	State
}

// Wanted is what a document wants of one target.
type Wanted struct {
	Service ident.Service
	Target  ident.Target
	// Address is IP:port.
	Address string
	// Document is the revision of the document.
	Document uint64
	// Fenced tells that the target refuses orders with an old fencing number.
	Fenced bool
	// LongestOrder bounds how long an order can be on its way.
	LongestOrder time.Duration
	// State is to be reached. What it does not list is to be unloaded; an empty
	// Version or Role is left to the target.
	State State
}

// satisfiedBy tells whether the present state is the wanted one.
func (w Wanted) satisfiedBy(present State) bool {
	return sameSet(w.State.Models, present.Models) &&
		sameSet(w.State.Adapters, present.Adapters) &&
		(w.State.Version == "" || w.State.Version == present.Version) &&
		(w.State.Role == "" || w.State.Role == present.Role)
}

// weights returns the names that have to be fetched before the order.
func (w Wanted) weights(present State) []string {
	var names []string
	changed := w.State.Version != "" && w.State.Version != present.Version
	for _, m := range w.State.Models {
		if changed || !slices.Contains(present.Models, m) {
			names = append(names, versioned(m, w.State.Version))
		}
	}
	for _, a := range w.State.Adapters {
		if !slices.Contains(present.Adapters, a) {
			names = append(names, a)
		}
	}
	return names
}

func versioned(model, version string) string {
	if version == "" {
		return model
	}
	return model + ":" + version
}

func sameSet(a, b []string) bool {
	return within(a, b) && within(b, a)
}

func within(a, b []string) bool {
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

// Orderer speaks to targets.
type Orderer interface {
	// Read returns the order that the target holds.
	Read(ctx context.Context, address string) (Order, error)
	// Give sends an order. The error is a *Refused where the target holds a
	// later one; after any other error the order may yet take effect.
	Give(ctx context.Context, address string, o Order) error
}

// Refused is the error of an order with an old fencing number.
type Refused struct {
	// Present is the order that the target holds.
	Present Order
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("the target holds an order with the fencing number %d", r.Present.Fencing)
}
