// Package pipeline serves HTTP/1.1 to callers that may send further requests on a connection before the first
// one is answered (pipelining, RFC 9112, section 9.3.2).
//
// Requests that may run more than once are handled concurrently, up to a limit per connection, and answered in
// the order of arrival. Any other request is handled alone: it starts after all earlier responses are written,
// and no later request starts before it ends. A response closes the connection only if no later request has been
// received: those get a response, and what the caller sends after that it may send again.
//
// Each connection has one goroutine that reads, and one for each request in flight. The reader continues while
// requests are handled, which is how the server notices that a caller has disconnected. A handler whose response
// is not next in order blocks once a small buffer is full, so that the buffered data is bounded by the number of
// requests in flight.
//
// The files: server.go has the listeners and the shutdown, conn.go the reading of a connection, order.go the order
// of requests, head.go the parsing of a request, body.go its body, response.go the writing of its response, and
// socket.go what the kernel knows of a connection.
//
// The server owns the account of what it has received: a request counts from its first byte, also while only the kernel
// holds it, until the caller has acknowledged the last byte of its response. Pending returns the account, and Shutdown
// returns when nothing is left on it. Only the reader of a connection closes it while it is idle, since only it can
// tell whether a request has arrived.
package pipeline
