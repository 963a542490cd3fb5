package main

// preemptiveOptimum is the omniscient scheduler with preemption. If no slot is free
// and an interactive request of a workspace below its share is waiting, it preempts
// the most recently dispatched drafting request of the workspace with the most slots
// above its share. When that request is resumed, its prompt and the tokens generated
// so far are prefilled again, because the engine's cache entries are lost.
type preemptiveOptimum struct{ optimum }

// maxPreemptions limits how often one request is preempted, so that it eventually
// completes.
const maxPreemptions = 3

func newPreemptiveOptimum(r *run) chooser {
	return &preemptiveOptimum{optimum{ledger: newLedger(r, "preempting")}}
}

// preemptForQuestions preempts running requests in favor of waiting questions. It is
// called if no slot is free.
func (p *preemptiveOptimum) preemptForQuestions(b *baseline) {
	for w := range b.run.pattern.loads {
		if !b.hasWaitingQuestion(w) || b.slotsOverShare(w) >= 0 {
			continue
		}
		victim := b.preemptionVictim()
		if victim == nil {
			return
		}
		target := victim.target
		b.preempt(victim)
		if j := b.dequeue(-1, w); j != nil {
			b.start(j, target)
		}
	}
}

func (b *baseline) hasWaitingQuestion(w int) bool {
	for d := range b.queues {
		if len(b.queues[d][w][question.class]) > 0 {
			return true
		}
	}
	return false
}

// slotsOverShare returns how many slots a workspace has above its fair share.
func (b *baseline) slotsOverShare(w int) float64 {
	weights := 0.0
	for _, src := range b.run.pattern.loads {
		weights += src.weight
	}
	fair := float64(b.run.site.totalSlots()) * b.run.pattern.loads[w].weight / weights
	return float64(sumColumns(b.running)[w]) - fair
}

// preemptionVictim returns the most recently dispatched drafting request of the
// workspace that is furthest above its share, or nil.
func (b *baseline) preemptionVictim() *job {
	workspace, maxOver := -1, 0.0
	for w := range b.run.pattern.loads {
		if x := b.slotsOverShare(w); x > maxOver {
			workspace, maxOver = w, x
		}
	}
	var best *job
	for _, e := range b.run.engines {
		for _, j := range e.jobs {
			if j.workspace != workspace || j.class != drafting.class || j.preemptions >= maxPreemptions {
				continue
			}
			if best == nil || j.dispatchedAt > best.dispatchedAt {
				best = j
			}
		}
	}
	return best
}

// preempt stops a job and puts it back at the head of its queue.
func (b *baseline) preempt(j *job) {
	b.run.pausePreempted(j)
	b.running[j.target][j.workspace]--
	q := &b.queues[j.daemon][j.workspace][j.class]
	*q = append([]*job{j}, *q...)
}
