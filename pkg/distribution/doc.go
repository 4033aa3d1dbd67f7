// Package distribution implements the logic of configuration distribution without any
// I/O: the state that is distributed, the update that brings a holder to the newest
// state, and the checks that a holder makes before it applies an update.
//
// A holder is a process that keeps a copy of the state: a relay or a node.
//
// # Revisions
//
// Every change that holders can see (a staged bundle, an activated bundle, changed
// endpoints, orders or suspects) increments the revision of the state. The revision
// determines the state, and the revision of a holder never decreases. All processes use
// the same State type: control replicas and relays hold the scope bundle.ScopeAll, a node
// holds the scope of its group.
//
// # Incremental updates
//
// Each endpoint records the revision that last modified it. Removed endpoints are kept
// as tombstones, except those last modified at or before State.Horizon. The update for a
// holder at revision r contains everything in its scope that was modified after r. A slow
// holder therefore gets the newest state in one update instead of a queue of changes, and
// a holder whose scope did not change gets no update. A holder whose revision is below the
// horizon gets a reset: the complete state of its scope.
//
// # Invariants
//
//   - A State is immutable. Each change returns a new State.
//   - Holder.Apply either installs a complete, verified state or keeps the old one.
//   - The revision and the active version of a holder never decrease.
package distribution
