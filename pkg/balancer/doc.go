// Package balancer decides which back end takes a call and when no one should. It does
// no I/O; callers pass the current time.
//
// What the node sees itself (calls under way, answers, refusals, broken connections)
// decides; what a back end reports of its load only tips a balance, because it lags or
// misleads. Choice is the better of two at random. A back end that refuses loses part
// of its limit, one that keeps failing is left out for a while, but never so many that
// too few remain. A new back end is ramped up. One that leaves, by whatever signal
// comes first, takes no new call and has no way back without a new incarnation.
package balancer
