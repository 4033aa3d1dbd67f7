// Package control runs a control replica as a daemon. It provides sockets, the clock and the disk to
// the deterministic packages replica and stream.
//
// Nodes, the proxies beside the back ends, receive the state as a stream of updates, directly or through
// relays, which each serve many nodes. A level is the set of log entries and content fields that a release
// supports. The platform, the system on which the mesh is deployed, provides the machine list; the
// platform API is the HTTP API through which it publishes versions and gives orders.
//
// One goroutine, the event loop, owns the replica. Other goroutines reach it through channels: peers
// deliver consensus messages, operators' requests deliver commands and reads, and the platform poller
// delivers endpoint changes. Each iteration of the loop drains its inputs, flushes the replica once,
// and only then releases messages, results and the new state.
package control
