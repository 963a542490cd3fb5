package enginestandin

import (
	"math/rand/v2"

	"github.com/savorystall/savorystall/internal/standin/garbage"
)

// FaultKind is the kind of a fault on a connection to the engine.
type FaultKind int

// Kinds of faults.
const (
	// FaultDisconnect closes the connection after some tokens; the stream keeps
	// running.
	FaultDisconnect FaultKind = iota
	// FaultStall keeps the connection open after some tokens but sends nothing
	// more, not even heartbeats; the stream keeps running.
	FaultStall
	// FaultEndEarly ends the response normally after some tokens, but without the
	// end mark.
	FaultEndEarly
	// FaultErrorEvent sends an error event after some tokens.
	FaultErrorEvent
	// FaultSkipToken omits one token after some tokens.
	FaultSkipToken
	// FaultLoseStream closes the connection after some tokens and drops the
	// stream, as a restart of the engine does.
	FaultLoseStream
	// FaultReset runs the request and closes the connection without a response.
	FaultReset
	// FaultNoResponse runs the request but never responds on this connection.
	FaultNoResponse
	// FaultServerError responds with status 500; the request is counted as run.
	FaultServerError
	// FaultReject responds that the request was not processed.
	FaultReject
	// FaultGarbage sends bytes that are no event after some tokens.
	FaultGarbage
)

// AfterGarbage is what an engine does after it has sent garbage.
type AfterGarbage int

// Values of AfterGarbage.
const (
	// GarbageContinue sends the rest of the stream.
	GarbageContinue AfterGarbage = iota
	// GarbageEnd ends the response normally, but without the end mark.
	GarbageEnd
	// GarbageDisconnect closes the connection; the stream keeps running.
	GarbageDisconnect
	afterGarbageCount
)

// Fault describes a fault to inject.
type Fault struct {
	Kind FaultKind
	// Prompt limits the fault to requests with this prompt; empty means any.
	Prompt string
	// AfterTokens is the offset at which the fault takes effect.
	AfterTokens int
	// Times is the number of connections that are affected; zero means one.
	Times int
	// Garbage is what FaultGarbage sends, and AfterGarbage what the engine does then.
	Garbage      garbage.Kind
	AfterGarbage AfterGarbage
}

// Inject adds a fault, which applies to the next matching connections.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.Times = max(f.Times, 1)
	e.faults = append(e.faults, &f)
}

// ClearFaults removes all pending faults.
func (e *Engine) ClearFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = nil
}

// consumeFault returns the first pending fault that matches the prompt and
// decrements its remaining count. If none matches, it returns one at random or nil.
// The caller holds e.mu.
func (e *Engine) consumeFault(prompt string) *Fault {
	for i, f := range e.faults {
		if f.Prompt != "" && f.Prompt != prompt {
			continue
		}
		f.Times--
		if f.Times == 0 {
			e.faults = append(e.faults[:i:i], e.faults[i+1:]...)
		}
		fault := *f
		return &fault
	}
	return e.randomGarbage()
}

// randomGarbage returns a fault for the configured fraction of connections, and
// otherwise nil. The caller holds e.mu.
func (e *Engine) randomGarbage() *Fault {
	if e.cfg.GarbageFraction <= 0 || e.rng.Float64() >= e.cfg.GarbageFraction {
		return nil
	}
	kinds := garbage.Kinds()
	return &Fault{
		Kind: FaultGarbage, Garbage: kinds[e.rng.IntN(len(kinds))],
		AfterTokens: e.rng.IntN(defaultMaxTokens + 1), AfterGarbage: AfterGarbage(e.rng.IntN(int(afterGarbageCount))),
	}
}

func newGarbageRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
