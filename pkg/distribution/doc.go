// Package distribution holds the decision logic of configuration distribution, with
// no I/O: the state that is distributed, the update that brings a holder from where
// it is to the newest state, and the holder's checks before it puts one in force.
//
// # One revision stream
//
// Every change that holders may see (a bundle staged, a bundle activated, endpoints
// changed) gets the next revision of one stream. A State is a function of its
// revision; holders only ever go forward. The same State type serves at every level:
// control replicas and relays hold the scope bundle.ScopeAll, a node the scope of its
// group.
//
// # Updates from stamps
//
// Each endpoint carries the revision that last modified it, and removed ones stay as
// tombstones down to State.Horizon. The update for a holder at revision r is whatever
// in its scope is newer than r. A slow holder thus gets the newest state, not a queue,
// and a holder whose scope did not change gets nothing. Below the horizon the update
// is a reset: the whole scope.
//
// # Invariants
//
//   - A State is immutable; each change returns a new one.
//   - Holder.Apply either returns a whole, checked state or leaves the old one.
//   - Revision and active version of a holder never decrease.
package distribution
