// Package catalog implements the replicated state machine of the control plane. It holds
// the bundle versions that operators create, approve and roll (activate), and the state
// that is distributed to relays and nodes.
//
// Every replica applies the commands of the replicated log in the same order. Apply must
// therefore be deterministic: it reads no clock and draws no random numbers.
//
// Operations are idempotent: a command with the operation ID of an earlier command is not
// executed again but returns the stored result. Results are kept for the most recent
// MaxStoredResults operations.
package catalog
