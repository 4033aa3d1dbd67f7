// Package stream moves distributed state from a server (a control replica or a relay)
// to its subscribers (relays or nodes). Both levels run the same code.
//
// A Hub serves subscribers: each gets one writer that, whenever the state moved on,
// plans the update from what that subscriber was last told. A subscriber that reads
// slowly thus skips straight to the newest state.
//
// A Client keeps one subscription alive: it picks a server, pings it, and leaves it
// for another when it falls silent or stays stale. The choice is made by Selector,
// which does no I/O.
//
// # Freshness
//
// A Pong says how long ago the server's state was confirmed to include everything
// accepted. The client dates that from when it sent the Ping, not from when the Pong
// came in, so a delayed answer can never make the state look fresher than it is. A
// relay passes on the sum. A node that has nothing on disk starts only on a state
// confirmed after the node's own start: whatever it held in an earlier life was
// accepted before that.
package stream
