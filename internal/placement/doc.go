// Package placement decides how much work each target of a service gets and
// which free target takes the next request.
//
// Load patterns it addresses:
//
//   - A target accepts more requests than it can run at once and queues the rest
//     itself, in arrival order. Requests queued there cannot be reordered by fair
//     sharing or moved to idle targets. The concurrency limit keeps the queue at
//     the daemons.
//   - A target becomes much slower than its peers (failing accelerator, noisy
//     neighbor). Its slots stay occupied longer, and a constant fraction of all
//     callers waits many times as long as the others. Probation limits it to one
//     request at a time until its speed recovers.
//   - A target fails requests immediately. It always has free slots, so it
//     attracts all work and fails it. A suspect target gets no work until it
//     answers a probe.
//   - Many requests share a prompt prefix. If they are spread at random, every
//     target computes every prefix again. The prefix hint, based on local
//     placements and the targets' cache events, selects among the requests of the
//     workspace that has the slot, and among targets with similar load, so a
//     popular prefix neither overloads a target nor widens the fairness gap.
//   - Requests queue in a target from the start because the configuration allows
//     it more than it can run. Every wait then looks normal, and the queue stays
//     in the target. The baseline check (baselinecheck.go) detects this.
//
// The limit is derived from completions alone. When a target queues requests, the
// time to first byte grows by the time that a request waits for a slot, while the
// run time stays the same. By Little's law the ratio of waiting to running
// requests is (first - base) / run, where base is the time to first byte without a
// queue. This is a ratio of times, so it needs neither the engine's step time nor
// its unit. (Engines reported their step time without a unit.)
//
// The defaults protect against the following. A MinWindow of 32 completions
// estimates the early quantile within a factor of two even for the most widely
// spread prompts (exponential). A QueueFraction of 0.05 lets one or two requests
// wait in an engine with 20 to 50 slots, so a freed slot is refilled without a
// round trip to the daemons. A SlowFactor of 8 is far above the difference between
// target generations (factor 2 to 3), which is balanced by their individual
// limits: a target at a quarter of the speed still does a quarter of the work.
package placement
