package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorystall/savorystall/internal/fairshare"
	"github.com/savorystall/savorystall/internal/ident"
)

// chooser is the scheduling policy of a baseline: it decides which job gets the
// next free slot.
type chooser interface {
	// choose returns the job to start on the target, or nil.
	choose(b *baseline, target int) *job
	// recordService accounts for cost that the job received on its target.
	recordService(b *baseline, j *job, cost float64)
	// exchange is called once per exchange interval (run.lag).
	exchange(b *baseline)
}

// baseline is a scheduler with more information than a real daemon has: it sees
// all queues and all slots at once, and its messages have no latency.
type baseline struct {
	run *run
	// queues holds the waiting jobs by daemon and workspace, with one list per
	// priority class.
	queues [][][classCount][]*job
	// running counts the running jobs by target and workspace.
	running      [][]int
	charged      map[*job]float64
	chooser      chooser
	nextExchange time.Duration
}

const classCount = 3

func newBaseline(newChooser func(*run) chooser) func(*run) system {
	return func(r *run) system {
		b := &baseline{run: r, charged: map[*job]float64{}, chooser: newChooser(r)}
		for range r.site.daemons {
			b.queues = append(b.queues, newQueues(r))
		}
		for range r.engines {
			b.running = append(b.running, newCounts(r))
		}
		return b
	}
}

func newQueues(r *run) [][classCount][]*job { return make([][classCount][]*job, len(r.pattern.loads)) }
func newCounts(r *run) []int                { return make([]int, len(r.pattern.loads)) }

func (b *baseline) submit(j *job) {
	q := &b.queues[j.daemon][j.workspace][j.class]
	*q = append(*q, j)
}

func (b *baseline) progress(j *job) {
	if cost := j.served() - b.charged[j]; cost > 0 {
		b.charged[j] += cost
		b.chooser.recordService(b, j, cost)
	}
}

func (b *baseline) finish(j *job) {
	b.progress(j)
	delete(b.charged, j)
	b.running[j.target][j.workspace]--
}

func (b *baseline) step() {
	b.expireQueued()
	if b.run.now >= b.nextExchange {
		b.nextExchange = b.run.now + b.run.lag
		b.chooser.exchange(b)
	}
	for {
		free := b.freeTargets()
		if p, ok := b.chooser.(*preemptiveOptimum); ok && len(free) == 0 {
			p.preemptForQuestions(b)
		}
		if !slices.ContainsFunc(free, b.startNext) {
			return
		}
	}
}

// startNext starts the next job on a target and reports whether there was one.
func (b *baseline) startNext(target int) bool {
	j := b.chooser.choose(b, target)
	if j != nil {
		b.start(j, target)
	}
	return j != nil
}

func (b *baseline) start(j *job, target int) {
	b.running[target][j.workspace]++
	b.run.unpause(j)
	b.run.start(j, target)
}

// freeTargets lists the targets with free slots, the one with the most free slots
// first. Without target restrictions and partitions it returns only that one,
// because every waiting job can use it.
func (b *baseline) freeTargets() []int {
	free := func(t int) int { return b.run.engines[t].slots - len(b.run.engines[t].jobs) }
	var list []int
	for t := range b.run.engines {
		if free(t) > 0 {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(t, u int) int { return free(u) - free(t) })
	if !b.run.pattern.hasRestrictions && !b.run.partitioned && len(list) > 0 {
		return list[:1]
	}
	return list
}

func (b *baseline) expireQueued() {
	if b.run.now%samplePeriod != 0 {
		return
	}
	for d := range b.queues {
		for w := range b.queues[d] {
			for c := range b.queues[d][w] {
				q := &b.queues[d][w][c]
				*q = slices.DeleteFunc(*q, func(j *job) bool {
					j.refused = j.deadline > 0 && j.deadline < b.run.now
					return j.refused
				})
			}
		}
	}
}

func (b *baseline) countWaiting(counts []int) {
	clear(counts)
	for d := range b.queues {
		for w := range b.queues[d] {
			counts[w] += queueLength(b.queues[d][w])
		}
	}
	if h, ok := b.chooser.(queueingChooser); ok {
		h.addWaiting(counts)
	}
}

// queueingChooser is a chooser that has queues of its own.
type queueingChooser interface {
	// addWaiting adds the jobs in these queues to the counts by workspace.
	addWaiting(counts []int)
}

func queueLength(q [classCount][]*job) int { return len(q[0]) + len(q[1]) + len(q[2]) }

// dequeue removes and returns the first job of the workspace in the highest
// priority class that has one. Daemon -1 means the daemon whose first job has
// waited longest.
func (b *baseline) dequeue(daemon, workspace int) *job {
	return b.dequeueFrom(func(d int) bool { return daemon < 0 || d == daemon }, workspace)
}

// dequeueFrom is like dequeue, but considers all daemons that allowed accepts.
func (b *baseline) dequeueFrom(allowed func(daemon int) bool, workspace int) *job {
	for class := range classCount {
		best := -1
		for d := range b.queues {
			q := b.queues[d][workspace][class]
			if len(q) == 0 || !allowed(d) {
				continue
			}
			if best < 0 || q[0].arrival < b.queues[best][workspace][class][0].arrival {
				best = d
			}
		}
		if best >= 0 {
			q := &b.queues[best][workspace][class]
			j := (*q)[0]
			*q = (*q)[1:]
			return j
		}
	}
	return nil
}

// newLedger returns a ledger with the workspaces of the run.
func newLedger(r *run, self string) *fairshare.Ledger {
	l := fairshare.New(fairshare.Config{Self: ident.Daemon(self)})
	for w, src := range r.pattern.loads {
		l.SetWeight(workspaceName(w), src.weight)
		if src.restricted {
			l.SetGroup(workspaceName(w), "tied")
		}
	}
	return l
}

func sumColumns(rows [][]int) []int {
	sum := make([]int, len(rows[0]))
	for _, row := range rows {
		for i, n := range row {
			sum[i] += n
		}
	}
	return sum
}

// pickWorkspace lets the ledger choose among the workspaces that have waiting jobs
// and are allowed.
func pickWorkspace(l *fairshare.Ledger, waiting, running []int, allowed func(int) bool) (int, bool) {
	var candidates []fairshare.Candidate
	for w, n := range waiting {
		l.SetBacklogged(workspaceName(w), n > 0)
		if n > 0 && allowed(w) {
			candidates = append(candidates, fairshare.Candidate{Workspace: workspaceName(w), Running: running[w]})
		}
	}
	name, ok := l.Pick(candidates)
	if !ok {
		return 0, false
	}
	return workspaceIndex(name), true
}

func workspaceIndex(name ident.Workspace) int {
	var n int
	_, _ = fmt.Sscanf(string(name), "workspace-%d", &n)
	return n
}
