// Package sim runs the system's decision cores in virtual time: the same replica,
// storage, catalog, planner, holder, selector, session, keeper, pool and retry code
// that the daemons run, with simulated sockets, disks, clocks and random numbers in
// place of their shells.
//
// A run is determined by its seed: all random choices come from one generator, events
// at the same time run in the order in which they were scheduled, and nothing reads
// the real clock. The digest of a run's trace is the same each time.
//
// A run has two parts. While faults come and go, the invariants are checked at every
// step. Then all faults heal, and the system must show progress: an operator's version
// is accepted and in force on every node within a bound. A system that does nothing
// does not pass.
package sim
