package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

// Serve writes the response to each request on the connections that a listener accepts, until it is closed.
func (r RawResponse) Serve(listener net.Listener, headers RawHeaders) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn, headers)
	}
}

func (r RawResponse) serveConn(conn net.Conn, headers RawHeaders) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !r.Write(conn, headers, request.Header.Get(headers.RequestID)) {
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

// withHeaderName returns a sound response but for a header line whose name is given.
func withHeaderName(name string) RawResponse {
	return RawResponse{First: RawOK + name + ": c\r\n" + RawBody}
}

var filler = strings.Repeat("x", 4096)

// InvalidResponses are bytes that must not reach a caller as a response.
var InvalidResponses = []InvalidResponse{
	{"status 000", RawStatus("000 "), roundtrip.FaultStatus},
	{"status 000 with a reason", RawStatus("000 OK"), roundtrip.FaultStatus},
	{"status 000 without a reason and a space", RawStatus("000"), roundtrip.FaultStatus},
	{"status 000 of HTTP/1.0", RawResponse{First: "HTTP/1.0 000 \r\n{id}\r\n\r\nsound", Close: true}, roundtrip.FaultStatus},
	{"status 000 without a body", RawResponse{First: "HTTP/1.1 000 \r\n{id}\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultStatus},
	{"status 000 in chunks", RawResponse{First: "HTTP/1.1 000 \r\n{id}\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunks}, roundtrip.FaultStatus},
	{"status 000 after 1xx", RawResponse{First: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 \r\n{id}\r\n" + RawBody}, roundtrip.FaultStatus},
	{"status 001", RawStatus("001 OK"), roundtrip.FaultStatus},
	{"status 0000", RawStatus("0000 "), roundtrip.FaultHead},
	{"status 00", RawStatus("00 OK"), roundtrip.FaultHead},
	{"status 0x0", RawStatus("0x0 OK"), roundtrip.FaultHead},
	{"status of letters", RawStatus("abc OK"), roundtrip.FaultHead},
	{"status 099", RawStatus("099 x"), roundtrip.FaultStatus},
	{"status with a plus sign", RawStatus("+20 OK"), roundtrip.FaultStatus},
	{"status with a minus sign", RawStatus("-00 OK"), roundtrip.FaultStatus},
	{"status 600", RawStatus("600 x"), roundtrip.FaultStatus},
	{"status 999", RawStatus("999 x"), roundtrip.FaultStatus},
	{"status 600 without a body", RawResponse{First: "HTTP/1.1 600 x\r\n{id}\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultStatus},
	{"status of two digits", RawStatus("20 OK"), roundtrip.FaultHead},
	{"status of four digits", RawStatus("2000 OK"), roundtrip.FaultHead},
	{"101 with Upgrade", RawResponse{First: "HTTP/1.1 101 x\r\nConnection: Upgrade\r\nUpgrade: none\r\n{id}\r\n\r\n"}, roundtrip.FaultUpgrade},
	{"101 without Upgrade", RawResponse{First: "HTTP/1.1 101 x\r\n{id}\r\n\r\n"}, roundtrip.FaultUpgrade},
	{"101 with bytes without end", RawResponse{First: "HTTP/1.1 101 x\r\nConnection: Upgrade\r\nUpgrade: none\r\n{id}\r\n\r\n", Endless: filler}, roundtrip.FaultUpgrade},
	{"1xx with a space in a header name", RawResponse{First: "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + RawOK + RawBody}, roundtrip.FaultHead},
	{"1xx with a space at the end of a header name", RawResponse{First: "HTTP/1.1  100 \r\nContent-Length : 5\r\n\r\n" + RawOK + RawBody}, roundtrip.FaultHead},
	{"1xx with a control byte in a header name", RawResponse{First: "HTTP/1.1 102 Processing\r\nA\x01b: c\r\n\r\n" + RawOK + RawBody}, roundtrip.FaultHead},
	{"second 1xx with a space in a header name", RawResponse{First: "HTTP/1.1 103 Early Hints\r\nA: c\r\n\r\nHTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + RawOK + RawBody}, roundtrip.FaultHead},
	{"1xx with a space in a header name, then a rejection", RawResponse{First: "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\nHTTP/1.1 503 x\r\n{id}\r\n{not-run}\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultHead},
	{"1xx of HTTP/1.0 with chunks", RawResponse{First: "HTTP/1.0 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + RawOK + RawBody}, roundtrip.FaultHead},
	{"1xx of HTTP/2.0", RawResponse{First: "HTTP/2.0 103 Early Hints\r\n\r\n" + RawOK + RawBody}, roundtrip.FaultProtocol},
	{"1xx without a final response", RawResponse{First: "HTTP/1.1 103 Early Hints\r\n{id}\r\n\r\n"}, roundtrip.FaultIncomplete},
	{"1xx, then closed", RawResponse{First: "HTTP/1.1 102 Processing\r\n{id}\r\n\r\n", Close: true}, roundtrip.FaultHead},
	{"1xx without end", RawResponse{Endless: "HTTP/1.1 100 Continue\r\n\r\n"}, roundtrip.FaultHead},
	{"1xx without end, slowly", RawResponse{Endless: "HTTP/1.1 100 Continue\r\n\r\n", Pause: 20 * time.Millisecond}, roundtrip.FaultIncomplete},
	{"no HTTP", RawResponse{First: "out of memory\n", Close: true}, roundtrip.FaultHead},
	{"no HTTP, silent", RawResponse{First: "out of memory"}, roundtrip.FaultIncomplete},
	{"HTTP/2.0", RawResponse{First: "HTTP/2.0 200 OK\r\n{id}\r\n" + RawBody}, roundtrip.FaultProtocol},
	{"HTTP/0.9", RawResponse{First: "HTTP/0.9 200 OK\r\n{id}\r\n" + RawBody}, roundtrip.FaultProtocol},
	{"status line without end", RawResponse{First: "HTTP/1.1 200 ", Endless: filler}, roundtrip.FaultHead},
	{"status line, silent", RawResponse{First: "HTTP/1.1 200 O"}, roundtrip.FaultIncomplete},
	{"status line, cut off", RawResponse{First: "HTTP/1.1 200 O", Close: true}, roundtrip.FaultHead},
	{"header lines without end", RawResponse{First: RawOK, Endless: "A: b\r\n"}, roundtrip.FaultHead},
	{"header line without end", RawResponse{First: RawOK + "A: ", Endless: filler}, roundtrip.FaultHead},
	{"header lines without end, slowly", RawResponse{First: RawOK, Endless: "A: b\r\n", Pause: 20 * time.Millisecond}, roundtrip.FaultIncomplete},
	{"head, silent", RawResponse{First: RawOK}, roundtrip.FaultIncomplete},
	{"head, cut off", RawResponse{First: RawOK, Close: true}, roundtrip.FaultHead},
	{"header line without a colon", RawResponse{First: RawOK + "nonsense\r\n" + RawBody}, roundtrip.FaultHead},
	{"header value with a NUL", RawResponse{First: RawOK + "A: b\x00c\r\n" + RawBody}, roundtrip.FaultHead},
	{"two lengths", RawResponse{First: RawOK + "Content-Length: 4\r\n" + RawBody}, roundtrip.FaultHead},
	{"response to another request", RawResponse{First: "HTTP/1.1 200 OK\r\n{other-id}\r\n" + RawBody}, roundtrip.FaultOtherRequest},
	{"two IDs", RawResponse{First: RawOK + "{other-id}\r\n" + RawBody}, roundtrip.FaultOtherRequest},
	{"header name with a space", withHeaderName("A b"), roundtrip.FaultHead},
	{"header name with a space at its end", withHeaderName("A "), roundtrip.FaultHead},
	{"header name with a space at its start", RawResponse{First: "HTTP/1.1 200 OK\r\n A: c\r\n{id}\r\n" + RawBody}, roundtrip.FaultHead},
	{"header name with a tab", withHeaderName("A\tb"), roundtrip.FaultHead},
	{"header name with a tab at its end", withHeaderName("A\t"), roundtrip.FaultHead},
	{"header name with a NUL", withHeaderName("A\x00b"), roundtrip.FaultHead},
	{"header name with SOH", withHeaderName("\x01A"), roundtrip.FaultHead},
	{"header name with BEL", withHeaderName("A\x07b"), roundtrip.FaultHead},
	{"header name with a vertical tab", withHeaderName("A\vb"), roundtrip.FaultHead},
	{"header name with a form feed", withHeaderName("A\f"), roundtrip.FaultHead},
	{"header name with a CR", withHeaderName("A\rb"), roundtrip.FaultHead},
	{"header name with ESC", withHeaderName("A\x1b[0m"), roundtrip.FaultHead},
	{"header name with DEL", withHeaderName("A\x7fb"), roundtrip.FaultHead},
	{"header name with a no-break space", withHeaderName("A\u00a0b"), roundtrip.FaultHead},
	{"header name with a byte above ASCII", withHeaderName("A\xffb"), roundtrip.FaultHead},
	{"header name with a delimiter", withHeaderName("A(b"), roundtrip.FaultHead},
	{"header name that is empty", withHeaderName(""), roundtrip.FaultHead},
	{"header name over two lines", RawResponse{First: RawOK + "A\r\n b: c\r\n" + RawBody}, roundtrip.FaultHead},
	{"length with a space in its name", RawResponse{First: RawOK + "Content Length: 5\r\n\r\nsound", Close: true}, roundtrip.FaultHead},
	{"length with a space after its name", RawResponse{First: RawOK + "Content-Length : 2\r\n\r\nsound", Close: true}, roundtrip.FaultHead},
	{"length with a NUL in its name", RawResponse{First: RawOK + "Content-Length\x00: 2\r\n\r\nsound", Close: true}, roundtrip.FaultHead},
	{"transfer encoding with a space after its name", RawResponse{First: RawOK + "Transfer-Encoding : chunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"transfer encoding with a tab after its name", RawResponse{First: RawOK + "Transfer-Encoding\t: chunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"transfer encoding with a control byte in its name", RawResponse{First: RawOK + "Transfer-\x01Encoding: chunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"two lengths, one with a space after its name", RawResponse{First: RawOK + "Content-Length : 2\r\n" + RawBody}, roundtrip.FaultHead},
	{"request ID with a space after its name", RawResponse{First: RawOK + "{id-name} : other\r\n" + RawBody}, roundtrip.FaultHead},
	{"negative length", RawResponse{First: RawOK + "Content-Length: -5\r\n\r\nsound"}, roundtrip.FaultHead},
	{"length without digits", RawResponse{First: RawOK + "Content-Length: x\r\n\r\nsound"}, roundtrip.FaultHead},
	{"unknown transfer encoding", RawResponse{First: RawOK + "Transfer-Encoding: gzip\r\n\r\nsound"}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks", RawResponse{First: rawOK10 + "Transfer-Encoding: chunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks, kept alive", RawResponse{First: rawOK10 + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunks}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks and a length", RawResponse{First: rawOK10 + "Transfer-Encoding: chunked\r\n" + RawBody, Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks, folded", RawResponse{First: rawOK10 + "transfer-encoding:\r\n\tchunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks, lines end with LF", RawResponse{First: "HTTP/1.0 200 OK\n{id}\nTransfer-Encoding: chunked\n\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks after 1xx", RawResponse{First: "HTTP/1.1 103 Early Hints\r\n\r\n" + rawOK10 + "Transfer-Encoding: chunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with identity encoding", RawResponse{First: rawOK10 + "Transfer-Encoding: identity\r\n\r\nsound", Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with an encoding without a value", RawResponse{First: rawOK10 + "Transfer-Encoding:\r\n\r\nsound", Close: true}, roundtrip.FaultHead},
	{"HTTP/1.0 with chunks, rejection", RawResponse{First: "HTTP/1.0 503 x\r\n{id}\r\n{not-run}\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunks, Close: true}, roundtrip.FaultHead},
	{"bytes before the response", RawResponse{First: "out of memory\r\n" + RawOK + RawBody}, roundtrip.FaultHead},
	{"body shorter than its length", RawResponse{First: RawOK + "Content-Length: 9\r\n\r\nsound", Close: true}, roundtrip.FaultBody},
	{"body shorter than its length, silent", RawResponse{First: RawOK + "Content-Length: 9\r\n\r\nsound"}, roundtrip.FaultIncomplete},
	{"body with a length, without end", RawResponse{First: RawOK + "Content-Length: 1099511627776\r\n\r\n", Endless: filler}, roundtrip.FaultIncomplete},
	{"body without a length, without end", RawResponse{First: RawOK + "\r\n", Endless: filler}, roundtrip.FaultIncomplete},
	{"body without end, slowly", RawResponse{First: RawOK + "\r\n", Endless: "x", Pause: 20 * time.Millisecond}, roundtrip.FaultIncomplete},
	{"chunks without end", RawResponse{First: RawChunked, Endless: "1000\r\n" + filler + "\r\n"}, roundtrip.FaultIncomplete},
	{"chunk size without digits", RawResponse{First: RawChunked + "zz\r\nsound\r\n0\r\n\r\n"}, roundtrip.FaultBody},
	{"chunk size of 17 digits", RawResponse{First: RawChunked + "10000000000000005\r\nsound\r\n0\r\n\r\n"}, roundtrip.FaultBody},
	{"chunk without its line end", RawResponse{First: RawChunked + "5\r\nsoundness\r\n0\r\n\r\n"}, roundtrip.FaultBody},
	{"chunk line without end", RawResponse{First: RawChunked + "5;", Endless: filler}, roundtrip.FaultBody},
	{"chunk line, silent", RawResponse{First: RawChunked + "5"}, roundtrip.FaultIncomplete},
	{"chunk, silent", RawResponse{First: RawChunked + "5\r\nso"}, roundtrip.FaultIncomplete},
	{"chunk, cut off", RawResponse{First: RawChunked + "5\r\nso", Close: true}, roundtrip.FaultBody},
	{"chunks without the last", RawResponse{First: RawChunked + "5\r\nsound\r\n", Close: true}, roundtrip.FaultBody},
	{"trailers without end", RawResponse{First: RawChunked + "5\r\nsound\r\n0\r\n", Endless: "A: b\r\n"}, roundtrip.FaultBody},
	{"trailers, silent", RawResponse{First: RawChunked + "5\r\nsound\r\n0\r\nA: b\r\n"}, roundtrip.FaultIncomplete},
	{"trailer with a space in its name", RawResponse{First: RawChunked + rawChunk + "0\r\nA b: c\r\n\r\n"}, roundtrip.FaultBody},
	{"trailer with a space at the end of its name", RawResponse{First: RawChunked + rawChunk + "0\r\nA: c\r\nB : c\r\n\r\n"}, roundtrip.FaultBody},
	{"trailer with a control byte in its name", RawResponse{First: RawChunked + rawChunk + "0\r\nA\x01b: c\r\n\r\n"}, roundtrip.FaultBody},
	{"trailer without a name", RawResponse{First: RawChunked + rawChunk + "0\r\n: c\r\n\r\n"}, roundtrip.FaultBody},
	{"trailer with a NUL in its value", RawResponse{First: RawChunked + rawChunk + "0\r\nA: \x00c\r\n\r\n"}, roundtrip.FaultBody},
	{"announced trailer with a space in its name", RawResponse{First: RawOK + "Trailer: A b\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunk + "0\r\nA b: c\r\n\r\n"}, roundtrip.FaultBody},
	{"rejection with a space in the name of a trailer", RawResponse{First: "HTTP/1.1 503 x\r\n{id}\r\n{not-run}\r\nTransfer-Encoding: chunked\r\n\r\n" + rawChunk + "0\r\nA b: c\r\n\r\n"}, roundtrip.FaultBody},
	{"rejection, cut off", RawResponse{First: "HTTP/1.1 503 x\r\n{id}\r\n{not-run}\r\nContent-Length: 9\r\n\r\nfull", Close: true}, roundtrip.FaultBody},
	{"rejection of status 000", RawResponse{First: "HTTP/1.1 000 \r\n{id}\r\n{not-run}\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultStatus},
	{"rejection with a space in a header name", RawResponse{First: "HTTP/1.1 503 x\r\n{id}\r\n{not-run}\r\nA b: c\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultHead},
	{"rejection of status 600", RawResponse{First: "HTTP/1.1 600 x\r\n{id}\r\n{not-run}\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultStatus},
}

// PromptInvalidResponses returns the invalid responses that a reader can reject as soon as they are sent.
func PromptInvalidResponses() []InvalidResponse {
	return slices.DeleteFunc(slices.Clone(InvalidResponses), func(r InvalidResponse) bool {
		return r.Endless != "" || r.Fault == roundtrip.FaultIncomplete
	})
}
