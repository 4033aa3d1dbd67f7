package roundtrip

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
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

// check returns an *InvalidResponse if what was received makes a response invalid in a way that net/http hides.
func (h *receivedHead) check(response *http.Response) error {
	if response.TLS != nil || response.ProtoAtLeast(1, 1) {
		return nil // encrypted, or nothing is hidden
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var received []byte
	if h.buffer != nil {
		received = h.buffer.Bytes()
	}
	return checkHeads(received, response.StatusCode)
}

// checkHeads checks the heads of the informational responses and that of the final response, in the order received.
func checkHeads(received []byte, status int) error {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(received)))
	for {
		head, err := readHead(reader)
		if err == nil {
			err = head.check()
		}
		if err != nil {
			return &InvalidResponse{Fault: FaultHead, Status: status, Err: err}
		}
		if !head.informational {
			return nil
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

// check returns an error if the head is invalid in a way that net/http hides.
func (h head) check() error {
	if _, found := h.fields["Transfer-Encoding"]; found && h.major == 1 && h.minor == 0 {
		return errTransferEncoding
	}
	return nil
}

// Causes of an InvalidResponse that net/http hides.
var (
	errVersion          = errors.New("the status line has no version")
	errTransferEncoding = errors.New("Transfer-Encoding in a response of HTTP/1.0")
)
