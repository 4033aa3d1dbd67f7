// Package stream moves distributed state from a server (a control replica or a relay)
// to its subscribers (relays or nodes). Both levels run the same code.
//
// A Hub serves subscribers. Each subscriber has one writer that, whenever the state
// changes, plans an update from the position last sent to it. A slow subscriber
// therefore skips intermediate states and receives only the newest one.
//
// A Client maintains one subscription: it selects a server, pings it, and switches to
// another one when the server stops responding or remains stale. Selector makes that
// choice and does no I/O.
//
// # Freshness
//
// A Pong reports how long ago the server's state was confirmed to include every
// accepted change. The client counts that age from the time it sent the Ping, not from
// the arrival of the Pong, so a delayed Pong cannot make the state look fresher than it
// is. A relay reports the sum of both ages. A node without state on disk starts only
// on a state confirmed after its own start, which includes everything that an earlier
// process run of it may have held.
package stream
