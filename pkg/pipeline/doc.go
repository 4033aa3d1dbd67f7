// Package pipeline serves HTTP/1.1 to callers that may send further requests on a connection
// before the first one is answered (pipelining, RFC 9112, 9.3.2).
//
// Requests that may run more than once are handled side by side, up to a bound for each
// connection, and answered in the order in which they came. Any other request is handled alone:
// it starts once everything before it is answered, and nothing behind it starts earlier than its
// end. So when an answer closes its connection, no request behind it that must run at most once
// has begun, and the caller may send all of them again.
//
// Each connection has one goroutine that reads, and one for each request under way. While
// requests are handled the reader goes on, which is how a caller that leaves is noticed. An
// answer whose turn has not come holds its handler up at the first byte that does not fit into
// a small buffer: what waits is bounded by the number of requests under way.
//
// The files: server.go has the listeners and the end of serving, conn.go the reading of a
// connection, order.go which request starts when, head.go the parsing of a request, body.go its
// body, response.go the writing of its answer.
package pipeline
