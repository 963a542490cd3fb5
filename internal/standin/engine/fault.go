package enginestandin

// FaultKind is a way in which a connection of the engine goes wrong.
type FaultKind int

// Kinds of faults.
const (
	// FaultCut closes the connection after some tokens; the stream runs on.
	FaultCut FaultKind = iota
	// FaultSilence keeps the connection open after some tokens and writes
	// nothing more to it, not even heartbeats; the stream runs on.
	FaultSilence
	// FaultEndEarly ends the response in good order after some tokens, without
	// the end mark.
	FaultEndEarly
	// FaultErrorEvent sends an error event after some tokens.
	FaultErrorEvent
	// FaultSkip leaves out one token after some tokens.
	FaultSkip
	// FaultForget closes the connection after some tokens and forgets the
	// stream, as a restarted engine does.
	FaultForget
	// FaultReset runs the request and closes the connection without an answer.
	FaultReset
	// FaultMute runs the request and never answers on this connection.
	FaultMute
	// FaultFail answers with status 500; the request is counted as run.
	FaultFail
	// FaultRefuse answers that the request was not processed.
	FaultRefuse
)

// Fault is one fault to inject.
type Fault struct {
	Kind FaultKind
	// Mark limits the fault to one request; empty means any.
	Mark string
	// AfterTokens is the offset at which the fault takes effect.
	AfterTokens int
	// Times is the number of connections it hits; zero means one.
	Times int
}

// Inject arms a fault.
func (e *Engine) Inject(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.Times = max(f.Times, 1)
	e.faults = append(e.faults, &f)
}

// ClearFaults disarms all faults.
func (e *Engine) ClearFaults() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = nil
}

// takeFault returns the armed fault that hits a connection for the mark, and
// counts the hit. It returns nil where there is none. The caller holds e.mu.
func (e *Engine) takeFault(mark string) *Fault {
	for i, f := range e.faults {
		if f.Mark != "" && f.Mark != mark {
			continue
		}
		f.Times--
		if f.Times == 0 {
			e.faults = append(e.faults[:i:i], e.faults[i+1:]...)
		}
		hit := *f
		return &hit
	}
	return nil
}
