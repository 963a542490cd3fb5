// Package platform is the client of the platform's services: a transactional
// table, an object store, a list of VMs and a weight store. All state that must
// survive a daemon is stored through it. The HTTP/JSON API is published in
// docs/PLATFORM-API.md.
package platform

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision is assigned by the table: it is positive, increases with each
	// write of any row, and is never reused.
	Revision uint64
	// Operation is the ID of the transaction that wrote the row.
	Operation string
}

// Condition requires a row to have a revision; zero requires it not to exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes one row. If TTL is positive, the table deletes the row after it.
type Put struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// Transaction is applied atomically: all conditions are checked against the same
// state of the table that the writes change.
type Transaction struct {
	// Operation is unique per intended write and stays the same when the write
	// is retried. It is stored in every written row, so that the outcome of a
	// write whose response was lost can be determined.
	Operation  string
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Conflict is the error of a transaction whose conditions did not hold. It
// contains the current row of each failed condition; Revision is zero if the row
// does not exist.
type Conflict struct {
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string { return "a condition of the transaction does not hold" }

// Table is the platform's transactional table.
type Table interface {
	// Commit applies the transaction and returns the revision of its writes.
	// The error is a *Conflict if a condition failed, *Unavailable if certainly
	// nothing was written, and *UnknownOutcome if that could not be determined
	// before ctx ended.
	Commit(ctx context.Context, tx Transaction) (revision uint64, err error)
	// Get returns the rows with the given keys; missing rows are omitted.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys have the prefix and are greater
	// than after, ordered by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ErrObjectNotFound is returned when an object that does not exist is read.
var ErrObjectNotFound = merry.Sentinel("the object does not exist")

// Objects is the platform's object store. A put replaces the whole object. A put
// whose response was lost is retried, and a delayed duplicate can overwrite a
// newer body: readers must not assume that a body is the latest one.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns ErrObjectNotFound if the object does not exist.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM according to the platform. The list lags behind
// the actual state.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list: a VM of a daemon or of a target.
type VM struct {
	// Name is the name of the daemon or the target.
	Name string
	Zone ident.Zone
	// Address is the host:port of a daemon's fleet listener or of a target's
	// service port.
	Address string
	// Role is RoleDaemon or RoleTarget.
	Role  string
	State VMState
}

// Roles of a VM.
const (
	RoleDaemon = "daemon"
	RoleTarget = "target"
)

// VMs is the platform's list of VMs.
type VMs interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Weights is the platform's rate-limited weight store.
type Weights interface {
	// FetchWeights requests the store to prepare a model, adapter or version
	// for loading and returns the delay imposed by the rate limit.
	FetchWeights(ctx context.Context, name string) (wait time.Duration, err error)
}

// Unavailable is the error of a call that had no effect because the store
// refused it or could not be reached.
type Unavailable struct{ Cause error }

// Error implements error.
func (u *Unavailable) Error() string { return "the platform is unavailable: " + u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// UnknownOutcome is the error of a write that may have taken effect.
type UnknownOutcome struct{ Cause error }

// Error implements error.
func (e *UnknownOutcome) Error() string {
	return "the write may have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcome) Unwrap() error { return e.Cause }
