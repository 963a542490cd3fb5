package claim

import (
	"context"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// Key names one unrepeatable request for as long as its record is kept.
type Key struct {
	Service   ident.Service
	Workspace ident.Workspace
	// Idempotency is the caller's Idempotency-Key. It is empty where the caller
	// sent none; such a request is not written to the table, since nobody but
	// the daemon that holds it can name it again.
	Idempotency string
}

// Outcome is what is known of a run, with its answer where that was kept.
type Outcome struct {
	// Result is Ran, NotRun or MayHaveRun.
	Result resultcode.Outcome `json:"result"`
	// Kept tells that Status, Header and Body are the complete answer.
	Kept   bool                `json:"kept,omitempty"`
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Size returns the bytes that the answer takes, about.
func (o Outcome) Size() int {
	n := len(o.Body)
	for name, values := range o.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// bounded drops an answer that is larger than limit bytes.
func (o Outcome) bounded(limit int) Outcome {
	if o.Result != resultcode.Ran || !o.Kept || o.Size() > limit {
		return Outcome{Result: o.Result}
	}
	return o
}

// Decision is what Claim decided; it is Proceed, Replay or Refuse.
type Decision interface{ decision() }

// Proceed permits one run under the hold.
type Proceed struct{ Hold *Hold }

// Replay gives the kept answer of the run that took place.
type Replay struct{ Outcome Outcome }

// Refuse ends the request with a failure: InProgress, OutcomeUnknown,
// AlreadyRan, KeyReused or StoreUnavailable.
type Refuse struct{ Failure *resultcode.Failure }

func (Proceed) decision() {}
func (Replay) decision()  {}
func (Refuse) decision()  {}

// AnswerKind is what a claimant says of one of its claims.
type AnswerKind string

// What a claimant can say.
const (
	// AnswerFinished comes with the outcome. The claim's token never starts again.
	AnswerFinished AnswerKind = "finished"
	// AnswerRunning means that the request waits or runs at the claimant.
	AnswerRunning AnswerKind = "running"
	// AnswerNever is the promise never to dispatch under the claim's token.
	AnswerNever AnswerKind = "never"
	// AnswerUnknown means that the daemon asked is not the claimant, or is a
	// later incarnation of it.
	AnswerUnknown AnswerKind = "unknown"
)

// Answer is a claimant's answer. Outcome is set for AnswerFinished.
type Answer struct {
	Kind    AnswerKind
	Outcome Outcome
}

// Asker asks another daemon about a claim of its own. The attempt is the token
// that the claim's row holds. An error means that no answer came.
type Asker interface {
	Ask(ctx context.Context, daemon ident.Daemon, incarnation uint64, key Key, attempt ident.Attempt) (Answer, error)
}

// DefaultKeepBytes is the default bound of a kept answer.
const DefaultKeepBytes = 16 << 10

// Config holds the settings of a Claimer. A zero field gets its default.
type Config struct {
	// Daemon and Incarnation identify this process. No other process may ever
	// have the same pair; a restart needs a new incarnation.
	Daemon      ident.Daemon
	Incarnation uint64
	// Wait bounds the whole of Claim, a store outage included. Default 5 s.
	Wait time.Duration
	// AskTimeout bounds one question to a claimant. Default 1 s.
	AskTimeout time.Duration
	// Term is the longest time between Claim and the first byte, by this
	// process's monotonic clock. It must be above the longest wait in a queue
	// and far below RecordTTL. Default 1 h.
	Term time.Duration
	// RecordTTL is how long a record is kept after its last write. A repeat
	// after it runs again. Default 24 h.
	RecordTTL time.Duration
	// KeepBytes bounds the kept answer, headers and body. Default 16 KiB.
	KeepBytes int
	// BatchRows bounds the rows of one transaction. Default 200.
	BatchRows int
	// BatchBytes bounds the values of one transaction. Default 512 KiB.
	BatchBytes int
	// Linger is how long a transaction waits for more rows. Default 2 ms.
	Linger time.Duration
	// CommitTimeout bounds one transaction, with the tries by which the table's
	// client settles a lost answer. Default 10 s.
	CommitTimeout time.Duration
	// WritesPerSecond bounds this daemon's transactions. Default 40, which is
	// the share of 7 daemons in a budget of 300 writes a second.
	WritesPerSecond float64
	// Backoff is the mean wait after the first failed transaction in a row; it
	// doubles up to BackoffMax. Defaults 50 ms and 2 s.
	Backoff, BackoffMax time.Duration
	// Now is the clock; its results carry a monotonic reading. Default time.Now.
	Now func() time.Time
	// Random returns a number in [0,1) for the jitter. Default math/rand/v2.
	Random func() float64
}
