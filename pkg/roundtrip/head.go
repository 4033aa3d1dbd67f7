package roundtrip

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
)

// receivedHead keeps the bytes that arrive in response to a request until the head is complete. net/http drops parts of
// them that CheckHead would need. The zero value is ready for one request.
type receivedHead struct {
	mu sync.Mutex
	// buffer is nil before the first byte and after close.
	buffer *bytes.Buffer
	closed bool
}

// headBuffers are reused, since each exchange needs one for the time until its response begins.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxReusedHeadBytes bounds the buffers that are reused: few heads are larger.
const maxReusedHeadBytes = 8 << 10

// add appends bytes that were received.
func (h *receivedHead) add(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || len(data) == 0 {
		return
	}
	if h.buffer == nil {
		h.buffer = headBuffers.Get().(*bytes.Buffer)
		h.buffer.Reset()
	}
	h.buffer.Write(data)
}

// reset forgets what was received, before the request is sent over another connection.
func (h *receivedHead) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buffer != nil {
		h.buffer.Reset()
	}
}

// close ends the recording and releases what was received.
func (h *receivedHead) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buffer != nil && h.buffer.Cap() <= maxReusedHeadBytes {
		headBuffers.Put(h.buffer)
	}
	h.buffer, h.closed = nil, true
}

// bytes returns what was received; mu must be held.
func (h *receivedHead) bytes() []byte {
	if h.buffer == nil {
		return nil
	}
	return h.buffer.Bytes()
}

// restore removes from the header of a response what net/http has added to it, and returns an *InvalidResponse if something
// that net/http has dropped makes the response invalid. Over an encrypted connection it does nothing.
func (h *receivedHead) restore(response *http.Response) error {
	if response.TLS != nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	mayHaveAdded := mayHaveAddedCacheControl(response.Header)
	if response.ProtoAtLeast(1, 1) && !mayHaveAdded && !beginsInformational(h.bytes()) {
		return nil
	}
	final, err := checkHeads(h.bytes(), response.StatusCode)
	if err != nil {
		return err
	}
	if mayHaveAdded && final.fields["Cache-Control"] == nil {
		delete(response.Header, "Cache-Control")
	}
	return nil
}

// mayHaveAddedCacheControl reports whether net/http may have added Cache-Control to a header, as it does for Pragma: no-cache.
func mayHaveAddedCacheControl(header http.Header) bool {
	return header["Pragma"] != nil && slices.Equal(header["Cache-Control"], []string{"no-cache"})
}

// beginsInformational reports whether what was received begins with an informational response.
func beginsInformational(received []byte) bool {
	_, status, _ := bytes.Cut(received, []byte(" "))
	return bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
}

// checkHeads checks the heads of the informational responses and that of the final response, in the order received, and
// returns the latter; status is that of the final response.
func checkHeads(received []byte, status int) (head, error) {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(received)))
	for {
		next, err := readHead(reader)
		if err != nil {
			return head{}, &InvalidResponse{Fault: FaultHead, Status: status, Err: err}
		}
		if err := next.check(status); err != nil {
			return head{}, err
		}
		if !next.informational {
			return next, nil
		}
	}
}

// head is the head of one response as it was received.
type head struct {
	major, minor  int
	informational bool
	fields        http.Header
}

// readHead reads a head that net/http has accepted. It fails if the head is incomplete because a part of it was received
// before the request was sent.
func readHead(reader *textproto.Reader) (head, error) {
	line, err := reader.ReadLine()
	if err != nil {
		return head{}, fmt.Errorf("read status line: %w", err)
	}
	version, status, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok {
		return head{}, errVersion
	}
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return head{}, fmt.Errorf("read header lines: %w", err)
	}
	return head{major: major, minor: minor, informational: strings.HasPrefix(strings.TrimLeft(status, " "), "1"), fields: http.Header(fields)}, nil
}

// check returns an *InvalidResponse if the head is invalid in a way that net/http hides; status is that of the final
// response.
func (h head) check(status int) error {
	fault, err := FaultHead, error(nil)
	switch {
	case h.major != 1:
		fault, err = FaultProtocol, fmt.Errorf("response of HTTP/%d.%d", h.major, h.minor)
	case h.minor == 0 && h.fields["Transfer-Encoding"] != nil:
		err = errTransferEncoding
	default:
		err = checkFields(h.fields)
	}
	if err == nil {
		return nil
	}
	if h.informational {
		err = fmt.Errorf("informational response: %w", err)
	}
	return &InvalidResponse{Fault: fault, Status: status, Err: err}
}

// Causes of an InvalidResponse that are found in the copy of a head.
var (
	errVersion          = errors.New("the status line has no version")
	errTransferEncoding = errors.New("Transfer-Encoding in a response of HTTP/1.0")
)
