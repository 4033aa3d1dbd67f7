package review

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a client of a machine.
type Request struct {
	// ID is the attempt's id; each attempt has its own.
	ID string
	// Path decides the route. A request with a body is a POST on an unsafe route.
	Path, Body string
	// Deadline is how long the client will wait. It leaves after LeaveAfter, if that is not 0.
	Deadline, LeaveAfter time.Duration
}

// Send sends a request on a new connection to the machine's outbound address, once, and records it and its answer.
func (d *Deployment) Send(m *Machine, q Request) Answer {
	method := http.MethodGet
	if q.Body != "" {
		method = http.MethodPost
	}
	wait := q.Deadline
	if q.LeaveAfter > 0 {
		wait = q.LeaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	a := Answer{SentAt: time.Now(), Unsafe: method == http.MethodPost}
	var body io.Reader
	if q.Body != "" {
		body = io.NopCloser(strings.NewReader(q.Body))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.Outbound()+q.Path, body)
	if err != nil {
		return a
	}
	request.ContentLength = int64(len(q.Body))
	request.Host = Host
	request.Header.Set(headerID, q.ID)
	request.Header.Set(headerDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	d.Record.Note("sent      %s %s %s by a client of %s", q.ID, method, q.Path, m.Name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err == nil {
		defer response.Body.Close()
		text, readErr := io.ReadAll(response.Body)
		if readErr == nil {
			a.Status, a.Seal, a.Body = response.StatusCode, response.Header.Get(headerSeal), string(text)
		}
	}
	a.At = time.Now()
	d.Record.addAnswer(q.ID, a)
	return a
}

// WarmUp sends usual requests until enough of them are served.
func (d *Deployment) WarmUp(caller *Machine) error {
	served := 0
	for i := range 400 {
		q := Request{ID: fmt.Sprintf("warm-%d", i), Path: "/read/x", Deadline: 3 * time.Second}
		if i%4 == 0 {
			q.Path, q.Body = "/order/x", "one chair"
		}
		if d.Send(caller, q).Status == 200 {
			served++
		}
		if served >= 80 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%d requests were served at the start", served)
}
