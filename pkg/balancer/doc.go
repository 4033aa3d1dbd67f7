// Package balancer selects a back end for each call, or returns an error if none may take it. It does no
// I/O; callers pass the current time.
//
// Among back ends without gates, the one with the lower load of two random candidates is chosen. The node's
// own observations (calls in flight, responses, refusals, connection failures) carry the most weight; the load
// that a back end reports counts little, because it is delayed and may be wrong. Among back ends with gates,
// the one with the lowest expected completion time is chosen, which is estimated from the gates' reports.
//
// A refusal lowers the back end's concurrency limit, and repeated failures eject it for a while, unless too
// few back ends would remain. New back ends ramp up gradually. A back end marked as leaving gets no further
// calls until it returns with a higher incarnation.
package balancer
