package claim

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Key identifies one non-idempotent request for as long as its record is kept.
type Key struct {
	Service   ident.Service
	Workspace ident.Workspace
	// IdempotencyKey is the caller's Idempotency-Key. It is empty if the caller
	// sent none; such a request is not written to the table, because only the
	// daemon that handles it can identify it again.
	IdempotencyKey string
}

// Outcome is what is known about a run, with its response if that was stored.
type Outcome struct {
	// Result is Ran, NotRun or MayHaveRun.
	Result resultcode.Outcome `json:"result"`
	// HasResponse reports that StatusCode, Header and Body are the complete
	// response.
	HasResponse bool                `json:"kept,omitempty"`
	StatusCode  int                 `json:"status,omitempty"`
	Header      map[string][]string `json:"header,omitempty"`
	Body        []byte              `json:"body,omitempty"`
}

// ResponseSize returns the approximate size of the response in bytes.
func (o Outcome) ResponseSize() int {
	n := len(o.Body)
	for name, values := range o.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// limitResponse drops a response that is larger than limit bytes.
func (o Outcome) limitResponse(limit int) Outcome {
	if o.Result != resultcode.Ran || !o.HasResponse || o.ResponseSize() > limit {
		return Outcome{Result: o.Result}
	}
	return o
}

// Decision is the result of Claim: Proceed, Replay or Refuse.
type Decision interface{ decision() }

// Proceed permits one run under Hold.
type Proceed struct{ Hold *Hold }

// Replay carries the stored response of the run that took place.
type Replay struct{ Outcome Outcome }

// Refuse fails the request with InProgress, OutcomeUnknown, AlreadyRan,
// IdempotencyKeyReused or StoreUnavailable.
type Refuse struct{ Failure *resultcode.Failure }

func (Proceed) decision() {}
func (Replay) decision()  {}
func (Refuse) decision()  {}

// State is the state of a claim as reported by its claimant.
type State string

// States that a claimant can report.
const (
	// StateFinished is reported with the outcome. The claim's token never starts
	// again.
	StateFinished State = "finished"
	// StateRunning means that the request is waiting or running at the claimant.
	StateRunning State = "running"
	// StateRevoked is the promise never to dispatch under the claim's token.
	StateRevoked State = "never"
	// StateUnknown means that the queried daemon is not the claimant, or is a
	// later incarnation of it.
	StateUnknown State = "unknown"
)

// Status is a claimant's reply to a query. Outcome is set for StateFinished.
type Status struct {
	Kind    State
	Outcome Outcome
}

// Querier queries another daemon about one of that daemon's claims. The attempt
// is the token stored in the claim's row. An error means that no reply was
// received.
type Querier interface {
	QueryClaim(ctx context.Context, daemon ident.Daemon, incarnation uint64, key Key, attempt ident.Attempt) (Status, error)
}

// DefaultMaxResponseBytes is the default size limit of a stored response.
const DefaultMaxResponseBytes = 16 << 10

// Config holds the settings of a Claimer. Zero fields are replaced by defaults.
type Config struct {
	// Daemon and Incarnation identify this process. No other process may ever
	// use the same pair; a restart requires a new incarnation.
	Daemon      ident.Daemon
	Incarnation uint64
	// ClaimTimeout limits the total duration of Claim, including a store outage.
	// Default 5 s.
	ClaimTimeout time.Duration
	// QueryTimeout limits one query to a claimant. Default 1 s.
	QueryTimeout time.Duration
	// StartTimeout is the longest time between Claim and the first byte, measured
	// by this process's monotonic clock. It must exceed the longest wait in a
	// queue and be far below RecordTTL. Default 1 h.
	StartTimeout time.Duration
	// RecordTTL is how long a record is kept after its last write. A retry after
	// that time runs again. Default 24 h.
	RecordTTL time.Duration
	// MaxResponseBytes limits the size of a stored response, headers and body.
	// Default 16 KiB.
	MaxResponseBytes int
	// MaxBatchRows limits the number of rows per transaction. Default 200.
	MaxBatchRows int
	// MaxBatchBytes limits the total size of the values per transaction. Default
	// 512 KiB.
	MaxBatchBytes int
	// Linger is how long a transaction waits for further rows. Default 2 ms.
	Linger time.Duration
	// CommitTimeout limits one transaction, including the retries by which the
	// table's client resolves a lost response. Default 10 s.
	CommitTimeout time.Duration
	// WritesPerSecond limits this daemon's transaction rate. Default 40, which is
	// the share of each of 7 daemons in a budget of 300 writes per second.
	WritesPerSecond float64
	// Backoff is the mean delay after the first of several consecutive failed
	// transactions; it doubles up to BackoffMax. Defaults 50 ms and 2 s.
	Backoff, BackoffMax time.Duration
	// Now returns the current time with a monotonic clock reading. Default
	// time.Now.
	Now func() time.Time
	// Random returns a number in [0,1) for backoff jitter. Default math/rand/v2.
	Random func() float64
}
