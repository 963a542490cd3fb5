// Package claim makes sure that an unrepeatable request runs at most once in
// the whole fleet, although its caller may repeat it through any daemon.
//
// The load pattern: a caller that got no answer sends the request again with
// the same Idempotency-Key, often within a second and through another daemon,
// while the first daemon still runs it, is paused, is cut off, or is dead.
// Without the package both daemons dispatch, and the claim statement is filed
// twice.
//
// A request is claimed by one row of the platform's table before its first
// byte leaves. Three rules carry the safety; none compares clocks of two VMs:
//
//   - A row is created only where it is absent, and replaced only at the
//     revision that was judged. Of two daemons that judge the same row, one
//     write succeeds.
//   - An open row is taken over only after its claimant itself has promised
//     never to dispatch. No lapse of time stands in for the promise: a paused
//     claimant would not notice the lapse.
//   - The promise and the permission to send the first byte are two moves of
//     one entry in the claimant's memory, under one lock. The entry's token is
//     fresh for every claim, so an entry that is gone can never start.
//
// A claimant that cannot be asked leaves the outcome open, and the caller is
// told that the request may have run.
package claim
