// Package platform is the client side of the services that the platform
// provides: a transactional table, an object store, a list of VMs and a weight
// store. Everything that must outlast a daemon goes through it; docs/PLATFORM-API.md
// is the published HTTP/JSON binding.
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
	// Revision is set by the table: it is positive, grows with every write of
	// any row, and is never used twice.
	Revision uint64
	// Operation is the id of the transaction that wrote the row.
	Operation string
}

// Condition requires that a row has a revision; zero requires that it is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes one row. A TTL above zero lets the table drop the row after it.
type Put struct {
	Key   string
	Value []byte
	TTL   time.Duration
}

// Transaction is applied wholly or not at all. All conditions are checked
// against the same state of the table that the writes change.
type Transaction struct {
	// Operation is unique per intended write and the same for each repeat of
	// it. It is stored in every row written, which settles a lost answer.
	Operation  string
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Conflict is the error of a transaction whose conditions did not hold. It
// carries the present row of each condition that failed (Revision zero: absent).
type Conflict struct {
	Rows []Row
}

// Error implements error.
func (c *Conflict) Error() string { return "a condition of the transaction does not hold" }

// Table is the platform's transactional table.
type Table interface {
	// Commit applies the transaction and returns the revision of its writes.
	// The error is a *Conflict where a condition failed, *Unavailable where
	// nothing was written for certain, and *Unknown where that could not be
	// settled before ctx ended.
	Commit(ctx context.Context, tx Transaction) (revision uint64, err error)
	// Get returns the rows that exist among keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose key has the prefix and is greater
	// than after, in the order of keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// ErrAbsent is the error of reading an object that does not exist.
var ErrAbsent = merry.Sentinel("the object does not exist")

// Objects is the platform's object store. A put replaces the whole object. A
// put whose answer was lost is repeated, and a copy of it can arrive late and
// bring an older body back: a reader must not take a body for the latest one.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns ErrAbsent where there is no such object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is what the platform says of a VM. The list lags behind the truth.
type VMState string

// States of a VM in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list: an entry VM or a target VM.
type VM struct {
	// Name is the daemon's or the target's name.
	Name string
	Zone ident.Zone
	// Address is host:port: of the fleet listener of a daemon, of the service
	// port of a target.
	Address string
	// Role is RoleDaemon or RoleTarget.
	Role  string
	State VMState
}

// Roles of a VM in the list.
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
	// FetchWeights asks the store to make a model, adapter or version ready
	// for loading and returns the wait that its rate limit imposes.
	FetchWeights(ctx context.Context, name string) (wait time.Duration, err error)
}

// Unavailable is the error of a call that had no effect: the store refused it
// or could not be reached.
type Unavailable struct{ Cause error }

// Error implements error.
func (u *Unavailable) Error() string { return "the platform is unavailable: " + u.Cause.Error() }

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// Unknown is the error of a write that may have taken effect.
type Unknown struct{ Cause error }

// Error implements error.
func (u *Unknown) Error() string {
	return "the write may have taken effect: " + u.Cause.Error()
}

// Unwrap returns the cause.
func (u *Unknown) Unwrap() error { return u.Cause }
