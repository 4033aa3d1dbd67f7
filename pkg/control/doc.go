// Package control is the control replica as a daemon: the shell of sockets, clock and
// disk around the decision cores in packages replica, stream and platform.
//
// One goroutine, the driver, owns the replica. Everything else talks to it through
// channels: peers bring consensus messages, operators' calls bring commands and reads,
// the platform poller brings endpoint changes. Each turn of the driver takes what is
// waiting, flushes the replica once, and only then lets messages, answers and the new
// state out.
package control
