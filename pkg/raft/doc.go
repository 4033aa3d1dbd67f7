// Package raft is the consensus core of the control plane: a deterministic
// state machine that does no I/O, reads no clock and starts no goroutine.
//
// # Use
//
// The caller feeds a Node with Tick, Step, Propose and ProposeMembership, each
// with the current reading of a monotonic clock. It then takes one batch of
// Effects and must, in this order:
//
//  1. make Effects.Snapshot, Effects.HardState and Effects.Entries durable;
//  2. call Persisted, which counts the replica's own copy;
//  3. send Effects.Messages;
//  4. apply Effects.Committed to its state machine and call Applied.
//
// A batch of effects that could not be made durable must end the process: the
// node has already promised in memory what the messages of that batch say.
//
// # What is implemented
//
// Names follow "In Search of an Understandable Consensus Algorithm" (Ongaro and
// Ousterhout) and Ongaro's dissertation: leader election with pre-vote (9.6),
// check-quorum (6.2), leader lease bounded by clock drift (6.4.1), learners
// (4.2.1), one membership change at a time (4.1, with the 2015 correction that a
// leader first commits an entry of its own term), log compaction and snapshot
// installation (7).
//
// # Invariants
//
//   - A replica votes at most once a term, and never below its own term.
//   - A replica that heard from a leader, or started, less than one election
//     timeout ago grants no vote. The leader lease rests on this.
//   - Only entries of the leader's own term are committed by counting copies.
//   - Only durable copies are counted, the leader's own included.
//   - A replica ID belongs to one disk. A machine with an empty disk joins under a
//     new ID as a learner, because it has forgotten what the old one promised.
package raft
