package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"bramblelift/pkg/roundtrip"
)

// RawResponse is what a faulty back end writes to its connection. {id} stands for the header line with the request's ID,
// {other-id} for one with another ID, {id-name} for its name, {not-run} for the line which states that the request has not run.
type RawResponse struct {
	First string
	// Endless is repeated after First until the connection closes, with a pause in between.
	Endless string
	Pause   time.Duration
	// Close closes the connection at the end, Reset resets it. Otherwise the back end falls silent.
	Close, Reset bool
}

// InvalidResponse is a RawResponse that is not a response, with the fault to report for it.
type InvalidResponse struct {
	Name string
	RawResponse
	Fault roundtrip.Fault
}

// RawHeaders are the header names of a deployment.
type RawHeaders struct{ RequestID, NotRun string }

// Expand replaces the placeholders of a RawResponse.
func (h RawHeaders) Expand(text, id string) string {
	return strings.NewReplacer("{id}", h.RequestID+": "+id, "{other-id}", h.RequestID+": other", "{id-name}", h.RequestID, "{not-run}", h.NotRun+": 1").Replace(text)
}

// Write writes the response to the request with an ID and reports whether the connection stays open.
func (r RawResponse) Write(conn net.Conn, headers RawHeaders, id string) bool {
	if _, err := io.WriteString(conn, headers.Expand(r.First, id)); err != nil {
		return false
	}
	for r.Endless != "" {
		if _, err := io.WriteString(conn, r.Endless); err != nil {
			return false
		}
		time.Sleep(r.Pause)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && r.Reset {
		_ = tcp.SetLinger(0)
	}
	return !r.Close && !r.Reset
}

// Replace writes the response in place of a handler's. Unless it closes its connection, the peer has to.
func (r RawResponse) Replace(w http.ResponseWriter, headers RawHeaders, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if r.Write(conn, headers, id) {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Serve writes the response to each request on the connections that a listener accepts.
func (r RawResponse) Serve(listener net.Listener, headers RawHeaders) {
	ServeRaw(listener, func(conn net.Conn, request *http.Request) bool {
		return r.Write(conn, headers, request.Header.Get(headers.RequestID))
	})
}

// RawHandler writes the response to a request, whose body was read, and reports whether the connection stays open.
type RawHandler func(conn net.Conn, request *http.Request) (keep bool)

// ServeRaw serves the connections that a listener accepts, until it is closed.
func ServeRaw(listener net.Listener, handle RawHandler) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go ServeRawConn(conn, handle)
	}
}

// ServeRawConn serves a connection and closes it.
func ServeRawConn(conn net.Conn, handle RawHandler) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !handle(conn, request) {
			return
		}
	}
}

// WithBody returns the response with another body, for readers that accept a certain content only. A response whose body
// is cut off or has no end stays as it is.
func (r RawResponse) WithBody(body string) RawResponse {
	r.First = strings.NewReplacer(
		RawBody, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		rawChunk, fmt.Sprintf("%x\r\n%s\r\n", len(body), body),
	).Replace(r.First)
	return r
}

// Parts of raw responses.
const (
	RawOK      = "HTTP/1.1 200 OK\r\n{id}\r\n"
	rawOK10    = "HTTP/1.0 200 OK\r\n{id}\r\n"
	RawChunked = RawOK + "Transfer-Encoding: chunked\r\n\r\n"
	RawBody    = "Content-Length: 5\r\n\r\nsound"
	rawChunk   = "5\r\nsound\r\n"
	rawChunks  = rawChunk + "0\r\n\r\n"
)

// RawStatus returns a response with a status and RawBody.
func RawStatus(status string) RawResponse {
	return RawResponse{First: "HTTP/1.1 " + status + "\r\n{id}\r\n" + RawBody}
}
