package standins

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Header names of the users' platform.
const (
	HeaderID       = "Bramblelift-Attempt-Id"
	HeaderDeadline = "Bramblelift-Deadline-Ms"
	HeaderExpect   = "Bramblelift-Expect-Instance"
	HeaderSeal     = "Bramblelift-Server-Seal"
	HeaderNotRun   = "Bramblelift-Not-Executed"
	HeaderCaller   = "Bramblelift-Caller-Service"
	HeaderLoad     = "Bramblelift-Server-Load"
)

// Request is one request of a client.
type Request struct {
	Method, Host, Path string
	Body               []byte
	Header             map[string]string
	Deadline           time.Duration
}

// Answer is what the client got.
type Answer struct {
	ID     string
	SentAt time.Time
	Took   time.Duration
	// Status is zero without an answer; Err then says why.
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// NewID returns the id of one attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request once, on a connection of its own, to a machine's outbound address. It waits for the answer up to
// the request's deadline and a second more.
func Send(m *Machine, r Request) Answer { return SendWithID(m, NewID(), r) }

// SendWithID is Send with the id of the attempt.
func SendWithID(m *Machine, id string, r Request) (a Answer) {
	a = Answer{ID: id, SentAt: time.Now()}
	defer func() {
		a.Took = time.Since(a.SentAt)
		m.d.Record.Line("answered %s: status %d, seal %q, %d bytes, %v, after %d ms", a.ID, a.Status, a.Header.Get(HeaderSeal), len(a.Body), a.Err, a.Took.Milliseconds())
	}()
	m.d.Record.Line("sent %s %s %s%s to %s", a.ID, r.Method, r.Host, r.Path, m.Name)
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+m.Outbound()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = r.Host
	request.Header.Set(HeaderID, a.ID)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.Err = errors.Unwrap(err)
		if a.Err == nil {
			a.Err = err
		}
		return a
	}
	defer response.Body.Close()
	a.Header = response.Header
	if a.Body, err = io.ReadAll(response.Body); err != nil {
		a.Err = err
		return a
	}
	a.Status = response.StatusCode
	return a
}
