// Package exchange defines the HTTP headers by which callers, nodes, gates and back ends
// communicate. Deployments can set the names of further headers (settings.Headers).
package exchange

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// These constants name the headers that nodes, gates and back ends exchange.
const (
	// HeaderOutcome carries the Outcome of a refused call; nodes, gates and back ends set it.
	HeaderOutcome = "Request-Outcome"
	// HeaderTimeout is the caller's remaining timeout in milliseconds, reduced at each hop. A
	// deployment can set another name.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderRetry marks a retry of a call. Later hops do not retry it again, so that retries do not
	// multiply along a chain.
	HeaderRetry = "Request-Retry"
	// HeaderLoad is the load that a back end reports, from 0 to 1.
	HeaderLoad = "Backend-Load"
	// HeaderDraining is set by a back end that accepts no new calls.
	HeaderDraining = "Backend-Draining"
	// HeaderPriority is the priority of a call at a gate; 0 is the highest.
	HeaderPriority = "Gate-Priority"
	// HeaderWait is how many milliseconds a call may queue at a gate.
	HeaderWait = "Gate-Wait-Ms"
	// HeaderEarlyRefusal is the time in milliseconds within which the gate must refuse a call so that the caller
	// can still retry it elsewhere.
	HeaderEarlyRefusal = "Gate-Early-Ms"
	// HeaderTarget is how many milliseconds remain until the call's target latency, zero if it has
	// passed.
	HeaderTarget = "Gate-Target-Ms"
	// HeaderExpectedWork is the expected processing time of a call at the back end in microseconds,
	// estimated from earlier calls of its route.
	HeaderExpectedWork = "Gate-Expected-Work-Us"
	// HeaderExpectedResponse is the expected size of a call's response in bytes, estimated from
	// earlier responses of its route. It is sent for large responses only.
	HeaderExpectedResponse = "Gate-Expected-Answer"
	// HeaderLinkWait is the LinkWait of a gate's Report in milliseconds, if it is at least 1.
	HeaderLinkWait = "Gate-Link-Wait-Ms"
	// HeaderReport is a gate's Report.
	HeaderReport = "Gate-Report"
	// HeaderFailureRate is the FailureRate of a gate's Report in thousandths, if it is not 0. Nodes that do
	// not know it read the rest of the report.
	HeaderFailureRate = "Gate-Failing"
	// HeaderSender is the ID and the Report of the back end beside the node that sends a call,
	// while that back end has free capacity. Receivers may route calls to it.
	HeaderSender = "Gate-Sender"
	// HeaderWork is the processing time of a call at the back end in microseconds.
	HeaderWork = "Gate-Work-Us"
	// HeaderRoute is the name of the call's route. It is sent while a rollout of the service is
	// running.
	HeaderRoute = "Gate-Route"
	// HeaderRollout is the new version of a running rollout, on calls that are routed to it. A gate
	// that does not know the rollout must reject them.
	HeaderRollout = "Gate-Rollout"
	// HeaderRequestHeld asks a gate in another region to report in HeaderHeld how many microseconds it
	// held the call. The rest of the call's duration is network latency.
	HeaderRequestHeld = "Gate-Tell-Held"
	HeaderHeld        = "Gate-Held-Us"
	// HeaderReason is why a gate refused a call, one of the Reason constants.
	HeaderReason = "Gate-Reason"
)

// internalHeaders are removed from callers' requests and not forwarded to callers or back ends.
var internalHeaders = []string{
	HeaderOutcome, HeaderRetry, HeaderPriority, HeaderWait, HeaderReport, HeaderFailureRate, HeaderReason, HeaderWork,
	HeaderExpectedWork, HeaderEarlyRefusal, HeaderTarget, HeaderSender, HeaderCold, HeaderExpectedResponse, HeaderLinkWait,
	HeaderRequestHeld, HeaderHeld, HeaderRoute, HeaderRollout, HeaderSent, HeaderGateLimit, HeaderKnownLimit,
}

// RemoveInternal deletes the headers that are exchanged only between nodes and gates.
func RemoveInternal(header http.Header) {
	for _, name := range internalHeaders {
		delete(header, name)
	}
}

// Outcome states whether a refused call was run.
type Outcome string

const (
	// NotRun means that no back end has begun the call.
	NotRun Outcome = "not-run"
	// Unknown means that a back end may have run the call.
	Unknown Outcome = "unknown"
)

// Reason is why a gate refused a call or why an attempt at its back end failed.
type Reason string

const (
	// ReasonFull means that the call would queue for longer than it allows.
	ReasonFull Reason = "full"
	// ReasonLink means that the gate's link is too busy to transfer the call's body or response in
	// time.
	ReasonLink Reason = "link"
	// ReasonNoBackend means that no back end is present yet.
	ReasonNoBackend Reason = "absent"
	// ReasonRemoved means that the back end addressed by the call has been removed permanently.
	ReasonRemoved Reason = "left"
	// ReasonStopping means that the gate's process is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonOutlasts means that the gate's process shuts down before the call's deadline.
	ReasonOutlasts Reason = "outlasts"
	// ReasonUnreachable means that no connection to the back end could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonRetired means that the gate's connection to the back end was retired before the call was sent.
	ReasonRetired Reason = "retired"
	// ReasonDeclined means that the back end received the call and reported that it had not begun
	// it.
	ReasonDeclined Reason = "declined"
	// ReasonDeadline means that the call's deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBroken means that the exchange with the back end failed.
	ReasonBroken Reason = "broken"
	// ReasonCrashed means that the back end's process exited while it was processing the call.
	ReasonCrashed Reason = "ended"
	// ReasonQuarantined means that the same request has crashed back ends.
	ReasonQuarantined Reason = "quarantined"
	// ReasonEvacuated means that the back end's zone is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonRegion means that the back end is in none of the regions allowed for the call.
	ReasonRegion Reason = "region"
	// ReasonCold means that the back end is cold and currently admits no more calls.
	ReasonCold Reason = "cold"
	// ReasonLimit means that the back end names a limit that currently admits no more calls.
	ReasonLimit Reason = "limit"
	// ReasonVersion means that the back end has a version which currently may not receive more
	// calls.
	ReasonVersion Reason = "version"
	// ReasonServerError means that the back end responded with a server error.
	ReasonServerError Reason = "server-error"
)

// Reached reports whether the back end may have received the call.
func (r Reason) Reached() bool {
	return r == ReasonDeclined || r == ReasonBroken || r == ReasonCrashed || r == ReasonServerError
}

// Busy reports whether the gate may admit the call a little later.
func (r Reason) Busy() bool {
	return r == ReasonFull || r == ReasonLink || r == ReasonCold || r == ReasonLimit
}

// Report is the state of a back end that its gate sends with each response.
type Report struct {
	// Running and Queued are the calls in flight at the back end and those queued at the gate.
	Running int
	Queued  int
	// Capacity is how many calls the back end processes concurrently.
	Capacity int
	// ServiceTime is the smoothed processing time of a call at the back end.
	ServiceTime time.Duration
	// FailureRate is the failure rate of the latest calls at the back end, from 0 to 1.
	FailureRate float64
	// Cold is the cold start state of the back end.
	Cold Cold
	// Limit is the limit that the back end names.
	Limit Limit
	// LinkWait is how long the next large response waits for the gate's link.
	LinkWait time.Duration
}

// failureRateScale is the factor between FailureRate and HeaderFailureRate.
const failureRateScale = 1000

// Set writes the report to the headers of a response.
func (r Report) Set(header http.Header) {
	header.Set(HeaderReport, r.String())
	if failing := int(r.FailureRate * failureRateScale); failing > 0 {
		header.Set(HeaderFailureRate, strconv.Itoa(failing))
	}
	r.Cold.Set(header)
	r.Limit.Set(header)
	if r.LinkWait >= time.Millisecond {
		SetMillis(header, HeaderLinkWait, r.LinkWait)
	}
}

// ReadReport reads the headers written by Report.Set, false if there is no valid report.
func ReadReport(header http.Header) (Report, bool) {
	report, ok := ParseReport(header.Get(HeaderReport))
	failing, err := strconv.ParseUint(header.Get(HeaderFailureRate), 10, 16)
	if ok && err == nil {
		report.FailureRate = min(1, float64(failing)/failureRateScale)
	}
	if ok {
		report.Cold = ReadCold(header)
		report.Limit = ReadLimit(header)
	}
	if wait, set := ReadMillis(header, HeaderLinkWait); ok && set {
		report.LinkWait = wait
	}
	return report, ok
}

// ServerFailed reports whether a status means that the back end failed a call which another back
// end might complete. A gateway timeout is excluded, since the deadline has passed for every back
// end.
func ServerFailed(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && status != http.StatusNotImplemented
}

// ProvesCompletion reports whether a status proves that the back end has processed a call without crashing.
// Rejections and server errors prove nothing: the back end may have sent them before it began.
func ProvesCompletion(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status < http.StatusInternalServerError
}

// String returns the report in the format of HeaderReport.
func (r Report) String() string {
	return fmt.Sprintf("%d,%d,%d,%d", r.Running, r.Queued, r.Capacity, r.ServiceTime.Microseconds())
}

// ParseReport parses the value of HeaderReport.
func ParseReport(text string) (Report, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return Report{}, false
	}
	var values [4]int
	for i, part := range parts {
		value, err := strconv.Atoi(part)
		if err != nil || value < 0 {
			return Report{}, false
		}
		values[i] = value
	}
	return Report{
		Running: values[0], Queued: values[1], Capacity: values[2],
		ServiceTime: time.Duration(values[3]) * time.Microsecond,
	}, true
}

// Sender identifies the back end beside the node that sends a call, with its state, as in
// HeaderSender.
type Sender struct {
	ID     string
	Report Report
}

// senderSeparator separates the ID from the report.
const senderSeparator = "="

// String returns the sender in the format of HeaderSender.
func (s Sender) String() string { return s.ID + senderSeparator + s.Report.String() }

// ParseSender parses the value of HeaderSender.
func ParseSender(text string) (Sender, bool) {
	id, report, found := strings.Cut(text, senderSeparator)
	if !found || id == "" {
		return Sender{}, false
	}
	parsed, ok := ParseReport(report)
	return Sender{ID: id, Report: parsed}, ok
}

// ReadMillis reads a header in whole milliseconds, false if it is missing or invalid.
func ReadMillis(header http.Header, name string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// ReadMicros reads a header in whole microseconds, false if it is missing or invalid.
func ReadMicros(header http.Header, name string) (time.Duration, bool) {
	micros, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || micros < 0 {
		return 0, false
	}
	return time.Duration(micros) * time.Microsecond, true
}

// SetMillis sets a header in whole milliseconds, at least 0.
func SetMillis(header http.Header, name string, value time.Duration) {
	header.Set(name, strconv.FormatInt(max(0, value.Milliseconds()), 10))
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHop deletes the hop-by-hop headers, including those listed in Connection.
func RemoveHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// Copy copies all headers from source to target, with copies of their values.
func Copy(target, source http.Header) {
	for name, values := range source {
		target[name] = append([]string(nil), values...)
	}
}
