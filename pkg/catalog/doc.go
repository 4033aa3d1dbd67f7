// Package catalog is the replicated state machine of the control plane: the versions
// that operators create, approve and roll, and the state that is distributed.
//
// Commands come from the replicated log in the same order on every replica, so Apply
// is deterministic: it reads no clock and uses no random numbers. Each operator's
// command carries an operation ID; a command that was already applied under that ID
// gets the answer it got the first time, for as long as the ID is remembered
// (RememberedOperations later operations).
package catalog
