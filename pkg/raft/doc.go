// Package raft is the consensus core of the control plane: a deterministic
// state machine that does no I/O, reads no clock and starts no goroutines.
//
// # Use
//
// The caller feeds a Node with Tick, Step, Propose and ProposeMembership, each
// with the current reading of a monotonic clock. It then calls Effects for a batch
// of work and must, in this order:
//
//  1. make Effects.Snapshot, Effects.HardState and Effects.Entries durable;
//  2. call Persisted, from which on the replica's own copy counts;
//  3. send Effects.Messages;
//  4. apply Effects.Committed to its state machine and call Applied.
//
// If a batch cannot be made durable, the caller must retry this batch before it
// calls the node again, or exit: the node's state in memory already includes it.
//
// # What is implemented
//
// Names follow "In Search of an Understandable Consensus Algorithm" (Ongaro and
// Ousterhout) and Ongaro's dissertation: leader election with pre-vote (9.6),
// check-quorum (6.2), leader lease bounded by clock drift (6.4.1), learners
// (4.2.1), one membership change at a time (4.1, with the addition that a leader
// first commits an entry of its own term), log compaction and snapshot installation
// (7).
//
// # Invariants
//
//   - A replica votes at most once per term, and never for a term below its own.
//   - A replica grants no vote within one election timeout of its last contact
//     with a leader or of its start. The leader lease depends on this.
//   - Only entries of the leader's own term are committed by counting copies.
//   - Only durable copies count, including the leader's own.
//   - A replica ID belongs to one disk. A machine with an empty disk joins under a
//     new ID as a learner, because it has lost its votes and acknowledgements.
package raft
