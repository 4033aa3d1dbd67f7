// Package forward matches calls to routes, picks a back end, sends the call there and copies the
// response to the caller, or rejects the call.
//
// # Rejections
//
// Every response that the node generates itself carries HeaderOutcome: "not-run" only if it is
// certain that no back end has begun the call, "unknown" otherwise. It is sent as soon as the node
// gives up, with Retry-After where a retry may succeed.
//
// A node or a gate rejects a call by responding itself; Refusal is the node's response. A back end
// declines a call by stating in its response that it has not begun the call.
//
// # Retries
//
// A call is sent a second time only if the first attempt is known not to have run (no connection
// was made, or the back end declined it with HeaderOutcome "not-run"), or if the call is
// repeatable: its route is not marked once, and the route's kind, or else the call's method, is
// safe. The HTTP transport retries requests without a body or with an Idempotency-Key on broken
// connections. Each call that is not repeatable therefore goes out with a body that the transport
// cannot rewind.
package forward
