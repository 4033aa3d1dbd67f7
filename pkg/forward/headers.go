package forward

import (
	"encoding/json"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of the system.
const (
	// HeaderOutcome is on refusals, of nodes and of back ends.
	HeaderOutcome = "Request-Outcome"
	// HeaderTimeout is the caller's remaining patience in milliseconds; it shrinks
	// hop by hop.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderRetry marks a call that some hop sends for a second time; no later hop
	// retries it again, so that retries do not multiply along a chain.
	HeaderRetry = "Request-Retry"
	// HeaderLoad is a back end's report of its load from 0 to 1.
	HeaderLoad = "Backend-Load"
	// HeaderDraining is set by a back end that takes no new calls.
	HeaderDraining = "Backend-Draining"
)

// Outcome says whether a refused call ran.
type Outcome string

const (
	// NotRun: no back end has begun the call.
	NotRun Outcome = "not-run"
	// Unknown: a back end may have run the call.
	Unknown Outcome = "unknown"
)

// Refusal is the body of an answer that the node makes itself.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	// Step is where the call ended, Peer which back end was involved.
	Step   string `json:"step"`
	Peer   string `json:"peer,omitempty"`
	Reason string `json:"reason"`
	Status int    `json:"-"`
	// RetryAfter is when to come back.
	RetryAfter time.Duration `json:"-"`
}

// write sends the refusal.
func (r Refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		seconds := int((r.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(append(body, '\n'))
}

// hopHeaders belong to one connection (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

func copyHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = append([]string(nil), values...)
	}
}

// isSafe reports whether a method may be repeated by definition (RFC 9110, 9.2.1).
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
