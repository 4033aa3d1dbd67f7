// Package control runs a control replica as a daemon. It provides sockets, the clock and the disk to
// the deterministic packages replica and stream.
//
// One goroutine, the event loop, owns the replica. Other goroutines reach it through channels: peers
// deliver consensus messages, operators' requests deliver commands and reads, and the platform poller
// delivers endpoint changes. Each iteration of the loop drains its inputs, flushes the replica once,
// and only then releases messages, results and the new state.
package control
