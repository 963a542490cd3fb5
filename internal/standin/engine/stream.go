package enginestandin

import (
	"time"
)

// stream is one generation. All fields are guarded by the engine's mutex.
type stream struct {
	attempt string
	model   string
	prompt  string
	chat    bool
	created int64
	// total is the length of the answer, produced what exists of it.
	total, produced int
	canceled        bool
	// readers are the signals of the connections that follow the stream.
	readers map[chan struct{}]struct{}
	// detached is when the last reader left.
	detached time.Time
}

func (s *stream) finished() bool { return s.produced >= s.total }

func (s *stream) notify() {
	for r := range s.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// run advances the batch, one token a stream and step.
func (e *Engine) run() {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-timer.C:
		case <-e.wake:
		}
		timer.Reset(e.advance(time.Now()))
	}
}

const (
	// idleStep is how often an engine without work looks around.
	idleStep = 500 * time.Millisecond
	// sweepEvery is how often detached streams are looked for.
	sweepEvery = 100 * time.Millisecond
)

// advance does what is due and returns the time to the next step.
func (e *Engine) advance(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if due := e.due(now); due > 0 {
		return due
	}
	e.steppedAt = now
	still := e.running[:0]
	for _, s := range e.running {
		if s.canceled {
			continue
		}
		s.produced++
		e.counts.Tokens++
		if s.finished() {
			e.counts.Finished++
		} else {
			still = append(still, s)
		}
		s.notify()
	}
	clear(e.running[len(still):])
	e.running = still
	if now.Sub(e.sweptAt) >= sweepEvery {
		e.sweptAt = now
		e.forgetDetached(now)
	}
	e.admit()
	e.lastStep = e.step + time.Duration(len(e.running))*e.cfg.StepPerStream
	if len(e.running) == 0 {
		return idleStep
	}
	return e.lastStep
}

// due returns the time that is left of the present step.
func (e *Engine) due(now time.Time) time.Duration {
	if len(e.running) == 0 {
		e.admit()
		if len(e.running) > 0 {
			e.steppedAt = now
			e.lastStep = e.step + time.Duration(len(e.running))*e.cfg.StepPerStream
			return e.lastStep
		}
		return 0
	}
	return e.lastStep - now.Sub(e.steppedAt)
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !s.canceled {
			e.running = append(e.running, s)
		}
	}
	e.counts.MaxRunning = max(e.counts.MaxRunning, len(e.running))
}

func (e *Engine) forgetDetached(now time.Time) {
	for id, s := range e.streams {
		if len(s.readers) > 0 || now.Sub(s.detached) < e.cfg.KeepDetached {
			continue
		}
		if !s.finished() {
			e.cancelStream(s)
		}
		delete(e.streams, id)
	}
}

func (e *Engine) cancelStream(s *stream) {
	if s.canceled || s.finished() {
		return
	}
	s.canceled = true
	e.counts.Canceled++
	s.notify()
}

func (e *Engine) attach(s *stream) chan struct{} {
	r := make(chan struct{}, 1)
	s.readers[r] = struct{}{}
	return r
}

func (e *Engine) detach(s *stream, r chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.readers, r)
	s.detached = time.Now()
}
