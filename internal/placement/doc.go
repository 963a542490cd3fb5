// Package placement decides how much work each target of a service gets and
// which of the free targets takes the next request.
//
// Load patterns and what happens without it:
//
//   - A target takes more requests than it can run at once and queues the rest
//     itself, first come first served. That work is bound to it, out of reach of
//     the fair share and of idle targets. The concurrency limit keeps the queue
//     at the daemons.
//   - A target becomes much slower than its peers (a failing accelerator, a noisy
//     neighbour). It holds its slots for long and a fixed part of all callers
//     waits many times as long as the others. Probation gives it one request at a
//     time until it keeps pace again.
//   - A target fails at once. It is always free, so that it attracts all work and
//     fails it. A suspect target gets nothing until a probe is answered.
//   - Many requests share the start of their prompts. Spread at random, each
//     target computes each start again. The prefix hint, from own placements and
//     the targets' cache events, chooses among the requests of the workspace that
//     has the slot, and among targets that are about equally free, so that a hot
//     prefix makes neither a hot target nor a wider gap.
//   - Work waits from the first moment on, for targets whose documents promise too
//     much. Each wait looks ordinary and the queue stays in the target. The proof
//     of the base (proof.go) finds it out.
//
// The limit is found from completions alone. A target that queues shows it in
// the time to the first byte: it grows by the time that a request waits for a
// slot, while the time of the run stays. By Little's law the part of the
// requests that waits is (first - base) / run, with base the time to the first
// byte without a queue. That is a ratio of times: no step time and no unit of
// it is assumed. (The step time of engines was reported without its unit.)
//
// What the defaults protect: MinWindow 32 completions put the early quantile
// within a factor of two for the most spread prompts (exponential). Queue 0.05
// lets one or two requests wait in an engine of 20 to 50 slots, so that a slot
// that becomes free is refilled without a round trip to the daemons. SlowFactor 8
// is far beyond the spread between target generations (factor 2 to 3), which share
// out by their own limits: a target at a quarter of its speed still does a quarter
// of its work.
package placement
