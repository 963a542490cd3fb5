// Package order reconciles targets with the state that a service's document
// specifies: the models and adapters they have loaded, their version and role.
//
// The load pattern it addresses: a target restarts empty, documents change
// thirteen thousand times a day in the fleet, several daemons see a change at
// different times, and orders are lost or arrive late. Without this package a
// target would keep serving what the last order to arrive specified.
//
// An order is idempotent: it contains the complete desired state, so that it can
// be repeated safely. It carries a fencing token that has never been used
// before. The state of the target is read back after each order and
// periodically, and any difference is repaired. This ensures that a late order
// is eventually corrected on targets that ignore fencing tokens. Package lease
// limits which daemon may send orders at a time.
//
// Several daemons may safely reconcile the same target. The caller is
// responsible for assigning at least one daemon to each target.
package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// State is the desired or current state of a target.
type State struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Version is the version of the models.
	Version string `json:"version"`
	// Role is a role that the engine supports, such as "prefill".
	Role string `json:"role"`
}

// Order is the complete desired state of a target with the fencing token of the
// sender.
type Order struct {
	Fencing uint64 `json:"fencing"`
	State
}

// Desired is what a document specifies for one target.
type Desired struct {
	Service ident.Service
	Target  ident.Target
	// Address is IP:port.
	Address string
	// DocumentRevision is the revision of the document.
	DocumentRevision uint64
	// Fenced reports that the target refuses orders with an old fencing token.
	Fenced bool
	// LongestOrder is the maximum time that an order can be in transit.
	LongestOrder time.Duration
	// State is the state to reach. Models and adapters that it does not list are
	// to be unloaded; an empty Version or Role leaves the choice to the target.
	State State
}

// satisfiedBy reports whether the current state matches the desired one.
func (d Desired) satisfiedBy(current State) bool {
	return sameSet(d.State.Models, current.Models) &&
		sameSet(d.State.Adapters, current.Adapters) &&
		(d.State.Version == "" || d.State.Version == current.Version) &&
		(d.State.Role == "" || d.State.Role == current.Role)
}

// missingWeights returns the names of the weights that have to be fetched before
// an order is sent.
func (d Desired) missingWeights(current State) []string {
	var names []string
	changed := d.State.Version != "" && d.State.Version != current.Version
	for _, m := range d.State.Models {
		if changed || !slices.Contains(current.Models, m) {
			names = append(names, versionedName(m, d.State.Version))
		}
	}
	for _, a := range d.State.Adapters {
		if !slices.Contains(current.Adapters, a) {
			names = append(names, a)
		}
	}
	return names
}

func versionedName(model, version string) string {
	if version == "" {
		return model
	}
	return model + ":" + version
}

func sameSet(a, b []string) bool {
	return isSubset(a, b) && isSubset(b, a)
}

func isSubset(a, b []string) bool {
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}

// TargetClient sends orders to targets.
type TargetClient interface {
	// Read returns the order that the target holds.
	Read(ctx context.Context, address string) (Order, error)
	// Send sends an order. The error is a *StaleFencingError if the target holds
	// a later order. After any other error the order may still take effect.
	Send(ctx context.Context, address string, o Order) error
}

// StaleFencingError is the error of an order that the target refused because of
// an old fencing token.
type StaleFencingError struct {
	// Current is the order that the target holds.
	Current Order
}

// Error implements error.
func (r *StaleFencingError) Error() string {
	return fmt.Sprintf("order refused: the target holds an order with fencing token %d", r.Current.Fencing)
}
