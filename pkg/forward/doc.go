// Package forward answers callers: it matches the route, picks a back end, sends the
// call there and copies the answer, or refuses.
//
// # What a refusal says
//
// Every answer that the node makes itself carries HeaderOutcome: "not-run" only where
// it is certain that no back end has begun the call, "unknown" otherwise. It comes as
// soon as the node gives up, with Retry-After; it is never held back.
//
// # Sending once
//
// A call is sent a second time only if the first is known not to have run (the
// connection could not be made, or the back end declined it with HeaderOutcome
// "not-run"), or if it is safe by method and its route is not marked once. The HTTP
// transport has retries of its own, on connections that turn out dead; it takes a
// request without a body, or with an Idempotency-Key, for repeatable. Each call that is
// not safe therefore goes out with a body that the transport cannot rewind.
package forward
