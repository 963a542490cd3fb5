package main

// preempting is the all-knowing scheduler with preemption: where no slot is free
// and an interactive request waits of a workspace that has fewer slots than its
// share, the youngest draft of the workspace with the most slots over its share
// is canceled, and resumed later. Its prompt and what was generated are
// prefilled again then, for the engine's cache is lost.
type preempting struct{ optimum }

// mostPreempted bounds how often one request is canceled, so that it ends.
const mostPreempted = 3

func newPreempting(r *run) chooser {
	return &preempting{optimum{ledger: ledgerOf(r, "preempting")}}
}

// full is called when no slot is free.
func (p *preempting) full(b *baseline) {
	for w := range b.run.pattern.sources {
		if !b.waitsAsk(w) || b.overShare(w) >= 0 {
			continue
		}
		victim := b.victim()
		if victim == nil {
			return
		}
		target := victim.target
		b.preempt(victim)
		if j := b.take(-1, w); j != nil {
			b.start(j, target)
		}
	}
}

func (b *baseline) waitsAsk(w int) bool {
	for d := range b.queues {
		if len(b.queues[d][w][ask.class]) > 0 {
			return true
		}
	}
	return false
}

// overShare is how many slots a workspace has above its fair share.
func (b *baseline) overShare(w int) float64 {
	weights := 0.0
	for _, src := range b.run.pattern.sources {
		weights += src.weight
	}
	fair := float64(b.run.size.allSlots()) * b.run.pattern.sources[w].weight / weights
	return float64(sumColumns(b.running)[w]) - fair
}

// victim returns the youngest draft of the workspace that is most over its share.
func (b *baseline) victim() *job {
	most, over := -1, 0.0
	for w := range b.run.pattern.sources {
		if x := b.overShare(w); x > over {
			most, over = w, x
		}
	}
	var best *job
	for _, e := range b.run.engines {
		for _, j := range e.jobs {
			if j.workspace != most || j.class != draft.class || j.preempted >= mostPreempted {
				continue
			}
			if best == nil || j.began > best.began {
				best = j
			}
		}
	}
	return best
}

// preempt takes a job off its engine and puts it back at the head of its queue.
func (b *baseline) preempt(j *job) {
	b.run.pause(j)
	b.running[j.target][j.workspace]--
	q := &b.queues[j.daemon][j.workspace][j.class]
	*q = append([]*job{j}, *q...)
}
