// Package balancer selects a back end for each call, or returns an error if none may take it. It does no
// I/O; callers pass the current time.
//
// The node's own observations (calls in flight, responses, refusals, connection failures) carry the most
// weight. The load that a back end reports only adjusts its score, because it is delayed and may be wrong.
// Among back ends without gates the better of two random candidates is chosen; with gates, the one with
// the lowest expected completion time.
//
// A refusal lowers the back end's concurrency limit, and repeated failures eject it for a while, unless too
// few back ends would remain. New back ends ramp up gradually. A back end marked as leaving gets no further
// calls until it returns with a higher incarnation.
package balancer
