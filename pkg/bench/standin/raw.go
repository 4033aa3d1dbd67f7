package standin

import (
	"io"
	"net"
	"strings"
	"time"

	"bramblelift/pkg/roundtrip"
)

// RawResponse is what a faulty back end writes to its connection. {id} stands for the header line with the request's ID,
// {other-id} for one with another ID, {not-run} for the line which states that the request has not run.
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
	return strings.NewReplacer("{id}", h.RequestID+": "+id, "{other-id}", h.RequestID+": other", "{not-run}", h.NotRun+": 1").Replace(text)
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

// Parts of raw responses.
const (
	RawOK      = "HTTP/1.1 200 OK\r\n{id}\r\n"
	RawChunked = RawOK + "Transfer-Encoding: chunked\r\n\r\n"
	RawBody    = "Content-Length: 5\r\n\r\nsound"
)

// RawStatus returns a response with a status and RawBody.
func RawStatus(status string) RawResponse {
	return RawResponse{First: "HTTP/1.1 " + status + "\r\n{id}\r\n" + RawBody}
}

var filler = strings.Repeat("x", 4096)

// InvalidResponses are bytes that must not reach a caller as a response.
var InvalidResponses = []InvalidResponse{
	{"status 000", RawStatus("000 "), roundtrip.FaultStatus},
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
	{"header name with a space", RawResponse{First: RawOK + "A b: c\r\n" + RawBody}, roundtrip.FaultHead},
	{"negative length", RawResponse{First: RawOK + "Content-Length: -5\r\n\r\nsound"}, roundtrip.FaultHead},
	{"length without digits", RawResponse{First: RawOK + "Content-Length: x\r\n\r\nsound"}, roundtrip.FaultHead},
	{"unknown transfer encoding", RawResponse{First: RawOK + "Transfer-Encoding: gzip\r\n\r\nsound"}, roundtrip.FaultHead},
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
	{"rejection, cut off", RawResponse{First: "HTTP/1.1 503 x\r\n{id}\r\n{not-run}\r\nContent-Length: 9\r\n\r\nfull", Close: true}, roundtrip.FaultBody},
	{"rejection of status 600", RawResponse{First: "HTTP/1.1 600 x\r\n{id}\r\n{not-run}\r\nContent-Length: 0\r\n\r\n"}, roundtrip.FaultStatus},
}
