// Package booking decides which target runs a request, or whether the request is refused, for
// services whose targets cache prompt prefixes and whose latency objectives are tight. It is a
// state machine without network access: time and randomness are passed in, and the actions to
// perform are returned as typed effects.
//
// Load pattern: callers demand two to three times the capacity of the targets, in bursts of
// one workspace after another, with prompts of 30 to 50,000 tokens of which two fifths are
// shared within a session. An engine prefills prompts one at a time, and a prompt costs it the
// tokens that it has not cached, so the time to first token is the work queued ahead. Placement
// by free slots alone would let one long prompt delay twenty short ones, prefill the same
// session on engine after engine, and make all answers late at the same time.
//
// Every daemon runs one Core, which has two roles.
//
//   - As ingress it looks for a target: first the home of the request's shared prefix
//     (rendezvous hashing over the service's targets, so that all daemons agree without
//     exchanging messages), then its other homes, then the targets last reported as least
//     loaded. The prefix that one of these targets has cached is copied to the target that
//     takes the request (fetch.go, prefixcache.go). Targets whose owners do not reply come last.
//   - As owner of targets (package membership) it replies at once. The owner sees every
//     request on its targets, so that it can predict the time to first token, and it admits
//     a request only if that meets the deadline, a slot and memory are free and the workspace
//     is within its share of the fleet.
//
// Requests are not queued: a target works in order of arrival, so a request that would miss its
// deadline behind the present backlog would miss it after waiting as well. The caller is
// refused at once, while there is time to retry.
//
// Shares (shares.go) are max-min fair over the tokens requested and granted in the last
// seconds, summed over all daemons. They divide the observed capacity of the targets
// (capacity.go), which is derived from the utilization of slots, memory and prefill time. The
// fraction of its time that an engine may spend on prefill follows from how much its streams
// slow down meanwhile (slowdown.go). A workspace above its share, and a request that is already
// late, get spare capacity only: a place on a target that is less than half used. A workspace that
// has used its share leaves headroom on full targets to those that have had less. Whether a
// workspace is underserved is judged by its present demand (presentdemand.go).
//
// Where targets differ in speed, their owners estimate it (speed.go), and homes, fallbacks and
// capacity are weighted by it (weights.go).
//
// Prefill speed is learned from the times to first byte (pace.go), target failures from the
// outcomes of requests (health.go).
//
// Correctness does not depend on this package: a lost message, a dead owner or two owners of
// one target degrade decisions briefly. An ingress whose owners do not reply decides from its
// own state.
package booking
