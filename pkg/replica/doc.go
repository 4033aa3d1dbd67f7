// Package replica combines the consensus core, the durable storage and the catalog
// (the replicated state machine) into one replica of the control plane. It opens no
// sockets and reads no clock; the daemon and the simulator run the same code.
//
// Each call of Flush makes the pending effects durable, then applies committed entries,
// and returns the messages to send. If Flush returns an error, it is unknown what is
// durable, and the process must exit without sending any message.
package replica
