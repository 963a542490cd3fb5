// Package claim ensures that a non-idempotent request runs at most once in the
// whole fleet, even if its caller retries it through any daemon.
//
// The load pattern it addresses: a caller that received no response sends the
// request again with the same Idempotency-Key, often within a second and
// through another daemon, while the first daemon is still running it, is paused,
// is partitioned or has crashed. Without this package both daemons would
// dispatch the request, and a claim statement would be filed twice.
//
// A request is claimed by writing one row of the platform's table before its
// first byte is sent. Safety rests on three rules, none of which compares the
// clocks of two VMs:
//
//   - A row is created only if it is absent, and replaced only at the revision
//     that was evaluated. If two daemons evaluate the same row, only one write
//     succeeds.
//   - An open row is taken over only after its claimant has promised never to
//     dispatch. A timeout cannot replace this promise: a paused claimant would
//     not notice that it expired.
//   - The promise and the permission to send the first byte are transitions of
//     the same entry in the claimant's memory, under one lock. The token of an
//     entry is unique to the claim, so an entry that was removed can never start.
//
// If a claimant cannot be queried, the outcome remains unknown, and the caller
// is told that the request may have run.
package claim
