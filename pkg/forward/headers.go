package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bramblelift/pkg/exchange"
)

// Header names of calls and responses.
const (
	HeaderOutcome  = exchange.HeaderOutcome
	HeaderTimeout  = exchange.HeaderTimeout
	HeaderRetry    = exchange.HeaderRetry
	HeaderLoad     = exchange.HeaderLoad
	HeaderDraining = exchange.HeaderDraining
)

// Outcome states whether a rejected call ran.
type Outcome = exchange.Outcome

// Outcomes of rejected calls.
const (
	NotRun  = exchange.NotRun
	Unknown = exchange.Unknown
)

// Refusal is a response that the node generates itself. Its JSON form is the body; the fields without
// one become the status line and the Retry-After header.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	// Step is where the call failed, Peer the address of the back end or gate, if one was involved.
	Step   string `json:"step"`
	Peer   string `json:"peer,omitempty"`
	Reason string `json:"reason"`
	Status int    `json:"-"`
	// RetryAfter is sent in the Retry-After header unless it is zero.
	RetryAfter time.Duration `json:"-"`
	// Fractions allows fractions of a second in Retry-After.
	Fractions bool `json:"-"`
}

// write sends the refusal to the caller.
func (r Refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.Outcome))
	if r.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Key")
	}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", r.retryAfterText())
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(append(body, '\n'))
}

// CloseNotice returns the headers of the response that closes an idle connection of a caller.
func CloseNotice() http.Header {
	header := http.Header{}
	header.Set(HeaderOutcome, string(NotRun))
	header.Set("Retry-After", Refusal{RetryAfter: minGateRetry, Fractions: true}.retryAfterText())
	return header
}

// retryAfterText returns whole seconds, as HTTP requires, or fractions for callers that parse them.
func (r Refusal) retryAfterText() string {
	if r.Fractions {
		return strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((r.RetryAfter + time.Second - 1) / time.Second))
}

// isSafe reports whether a method is safe by definition (RFC 9110, section 9.2.1).
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
