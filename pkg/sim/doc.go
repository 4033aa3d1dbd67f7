// Package sim runs the system's decision code in virtual time. It uses the packages
// balancer, catalog, distribution, forward, proxy, replica, retry, storage and stream, as
// the daemons do, with simulated sockets, disks, clocks and random numbers.
//
// A run is determined by its seed: all random choices come from one generator, events
// at the same time run in the order in which they were scheduled, and nothing reads
// the real clock. Runs with the same seed and options produce the same trace digest.
//
// In the first part of a run, faults occur at random while the invariants are checked
// at every step. Then all faults are healed, and the run fails unless an operator's new
// version is accepted and in force on every node within a bound.
package sim
