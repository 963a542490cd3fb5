package enginestandin

import (
	"time"
)

// stream is the generation of one answer. All fields are guarded by the engine's
// mutex.
type stream struct {
	attempt string
	model   string
	prompt  string
	chat    bool
	created int64
	// total is the length of the answer in tokens, produced the number of tokens
	// generated so far.
	total, produced int
	canceled        bool
	// subscribers holds a channel for each connection that reads the stream, which
	// signals changes.
	subscribers map[chan struct{}]struct{}
	// detachedAt is when a connection last unsubscribed.
	detachedAt time.Time
}

func (s *stream) finished() bool { return s.produced >= s.total }

func (s *stream) notify() {
	for updates := range s.subscribers {
		select {
		case updates <- struct{}{}:
		default:
		}
	}
}

// run advances the batch by one token per stream and step.
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
	// idleInterval is the interval between steps while no stream runs.
	idleInterval = 500 * time.Millisecond
	// sweepInterval is how often expired detached streams are removed.
	sweepInterval = 100 * time.Millisecond
)

// advance performs a step if it is due and returns the time until the next.
func (e *Engine) advance(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if due := e.untilNextStep(now); due > 0 {
		return due
	}
	e.lastStepAt = now
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.canceled {
			continue
		}
		s.produced++
		e.counts.Tokens++
		if s.finished() {
			e.counts.Finished++
		} else {
			unfinished = append(unfinished, s)
		}
		s.notify()
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	if now.Sub(e.lastSweepAt) >= sweepInterval {
		e.lastSweepAt = now
		e.expireDetached(now)
	}
	e.fillBatch()
	e.lastStep = e.stepTime + time.Duration(len(e.running))*e.cfg.StepPerStream
	if len(e.running) == 0 {
		return idleInterval
	}
	return e.lastStep
}

// untilNextStep returns the remaining time of the current step. It starts a step
// if the batch is empty and requests wait.
func (e *Engine) untilNextStep(now time.Time) time.Duration {
	if len(e.running) == 0 {
		e.fillBatch()
		if len(e.running) > 0 {
			e.lastStepAt = now
			e.lastStep = e.stepTime + time.Duration(len(e.running))*e.cfg.StepPerStream
			return e.lastStep
		}
		return 0
	}
	return e.lastStep - now.Sub(e.lastStepAt)
}

func (e *Engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !s.canceled {
			e.running = append(e.running, s)
		}
	}
	e.counts.MaxRunning = max(e.counts.MaxRunning, len(e.running))
}

func (e *Engine) expireDetached(now time.Time) {
	for id, s := range e.streams {
		if len(s.subscribers) > 0 || now.Sub(s.detachedAt) < e.cfg.DetachedTimeout {
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

func (e *Engine) subscribe(s *stream) chan struct{} {
	updates := make(chan struct{}, 1)
	s.subscribers[updates] = struct{}{}
	return updates
}

func (e *Engine) unsubscribe(s *stream, updates chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.subscribers, updates)
	s.detachedAt = time.Now()
}
