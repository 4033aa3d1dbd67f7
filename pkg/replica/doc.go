// Package replica joins the consensus core, the durable storage and the catalog into
// one control replica. It opens no socket and reads no clock; the daemon and the
// simulator drive the same code.
//
// Every call of Flush does, in order: make effects durable, count them, hand out
// messages, apply what is committed. An error of Flush means that it is unknown what
// is durable: the process must end without sending anything more.
package replica
