// Package exchange defines what callers, nodes, gates and back ends tell each other in the
// headers of a call, beside the names that a deployment sets (settings.Headers).
package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of the system.
const (
	// HeaderOutcome is on refusals, of nodes, gates and back ends.
	HeaderOutcome = "Request-Outcome"
	// HeaderTimeout is the caller's remaining patience in milliseconds; it shrinks
	// hop by hop. A deployment may give it another name.
	HeaderTimeout = "Request-Timeout-Ms"
	// HeaderRetry marks a call that some hop sends for a second time; no later hop
	// retries it again, so that retries do not multiply along a chain.
	HeaderRetry = "Request-Retry"
	// HeaderLoad is a back end's report of its load from 0 to 1.
	HeaderLoad = "Backend-Load"
	// HeaderDraining is set by a back end that takes no new calls.
	HeaderDraining = "Backend-Draining"
	// HeaderPriority is the rank of a call at a gate; 0 goes first.
	HeaderPriority = "Gate-Priority"
	// HeaderWait is for how many milliseconds a call may wait at a gate.
	HeaderWait = "Gate-Wait-Ms"
	// HeaderEarly is for how many milliseconds a refusal still helps the caller most.
	HeaderEarly = "Gate-Early-Ms"
	// HeaderTarget is how many milliseconds are left until the call's target latency, zero if
	// that has passed.
	HeaderTarget = "Gate-Target-Ms"
	// HeaderExpectedWork is how many microseconds a call is expected to take at the back
	// end, by what its route took before.
	HeaderExpectedWork = "Gate-Expected-Work-Us"
	// HeaderExpectedAnswer is how many bytes a call's answer is expected to have, by what its route's
	// answers had before, if that is a large answer.
	HeaderExpectedAnswer = "Gate-Expected-Answer"
	// HeaderLinkWait is the LinkWait of a gate's Report in milliseconds, if it is not 0.
	HeaderLinkWait = "Gate-Link-Wait-Ms"
	// HeaderReport is a gate's Report.
	HeaderReport = "Gate-Report"
	// HeaderFailing is the Failing of a gate's Report in thousandths, if it is not 0. Nodes
	// that do not know it read the rest of the report.
	HeaderFailing = "Gate-Failing"
	// HeaderSender is the ID and the Report of the back end beside the node that sends a call,
	// while that has free slots: who hears of it may give it calls.
	HeaderSender = "Gate-Sender"
	// HeaderWork is how many microseconds a call took at the back end.
	HeaderWork = "Gate-Work-Us"
	// HeaderRoute is the name of the call's route; it is sent while a rollout of the service runs.
	HeaderRoute = "Gate-Route"
	// HeaderRollout is the version that a running rollout brings, on calls that go to it: a gate that
	// does not know of the rollout must not let them in.
	HeaderRollout = "Gate-Rollout"
	// HeaderTellHeld asks a gate of another region to say how long it held the call, HeaderHeld is its
	// answer in microseconds: what is left of the call's time was spent on the way.
	HeaderTellHeld = "Gate-Tell-Held"
	HeaderHeld     = "Gate-Held-Us"
	// HeaderReason is why a gate refused, one of the Reason constants.
	HeaderReason = "Gate-Reason"
)

// internalHeaders are never taken from callers nor passed to them or to back ends.
var internalHeaders = []string{
	HeaderOutcome, HeaderRetry, HeaderPriority, HeaderWait, HeaderReport, HeaderFailing, HeaderReason, HeaderWork,
	HeaderExpectedWork, HeaderEarly, HeaderTarget, HeaderSender, HeaderCold, HeaderExpectedAnswer, HeaderLinkWait,
	HeaderTellHeld, HeaderHeld, HeaderRoute, HeaderRollout, HeaderSent,
}

// RemoveInternal deletes what only nodes and gates tell each other.
func RemoveInternal(header http.Header) {
	for _, name := range internalHeaders {
		delete(header, name)
	}
}

// ErrWrongAnswer: an answer belongs to another call.
var ErrWrongAnswer = errors.New("the answer is to another call")

// Outcome says whether a refused call ran.
type Outcome string

const (
	// NotRun: no back end has begun the call.
	NotRun Outcome = "not-run"
	// Unknown: a back end may have run the call.
	Unknown Outcome = "unknown"
)

// Reason says why a gate did not get an answer from its back end.
type Reason string

const (
	// ReasonFull: the wait would be longer than the call allows.
	ReasonFull Reason = "full"
	// ReasonLink: the call's body would come, or its answer leave, too late over the gate's link.
	ReasonLink Reason = "link"
	// ReasonAbsent: no back end is there yet.
	ReasonAbsent Reason = "absent"
	// ReasonLeft: the back end that the call was meant for has left for good.
	ReasonLeft Reason = "left"
	// ReasonStopping: the gate's process stops.
	ReasonStopping Reason = "stopping"
	// ReasonUnreachable: the back end took no connection.
	ReasonUnreachable Reason = "unreachable"
	// ReasonDeclined: the back end got the call and said that it has not begun it.
	ReasonDeclined Reason = "declined"
	// ReasonDeadline: the call's time is up.
	ReasonDeadline Reason = "deadline"
	// ReasonBroken: the exchange with the back end broke.
	ReasonBroken Reason = "broken"
	// ReasonEnded: the back end's process ended while it had the call.
	ReasonEnded Reason = "ended"
	// ReasonQuarantined: back ends ended under the same request.
	ReasonQuarantined Reason = "quarantined"
	// ReasonEvacuated: the back end's zone is evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonRegion: the back end is in none of the regions that may serve the call.
	ReasonRegion Reason = "region"
	// ReasonCold: the back end is cold and gets no more calls at the moment.
	ReasonCold Reason = "cold"
	// ReasonVersion: the back end is of a version that gets no more calls at the moment.
	ReasonVersion Reason = "version"
	// ReasonServerError: the back end answered that it failed.
	ReasonServerError Reason = "server-error"
)

// Reached reports whether the back end may have received the call.
func (r Reason) Reached() bool {
	return r == ReasonDeclined || r == ReasonBroken || r == ReasonEnded || r == ReasonServerError
}

// Busy reports whether the gate may take the call a little later.
func (r Reason) Busy() bool { return r == ReasonFull || r == ReasonLink || r == ReasonCold }

// Report is what a gate says of its back end with each answer.
type Report struct {
	// Running and Queued are the calls at work and those that wait at the gate.
	Running int
	Queued  int
	// Capacity is how many calls the back end works on at once.
	Capacity int
	// Service is how long a call takes there, smoothed.
	Service time.Duration
	// Failing is the share of the latest calls that the back end failed, from 0 to 1.
	Failing float64
	// Cold says how cold the back end is.
	Cold Cold
	// LinkWait is how long the next large answer waits for the gate's link.
	LinkWait time.Duration
}

const thousandths = 1000

// Set writes the report into the headers of an answer.
func (r Report) Set(header http.Header) {
	header.Set(HeaderReport, r.String())
	if failing := int(r.Failing * thousandths); failing > 0 {
		header.Set(HeaderFailing, strconv.Itoa(failing))
	}
	r.Cold.Set(header)
	if r.LinkWait >= time.Millisecond {
		SetMillis(header, HeaderLinkWait, r.LinkWait)
	}
}

// ReadReport reads what Set wrote, false if there is no report.
func ReadReport(header http.Header) (Report, bool) {
	report, ok := ParseReport(header.Get(HeaderReport))
	failing, err := strconv.ParseUint(header.Get(HeaderFailing), 10, 16)
	if ok && err == nil {
		report.Failing = min(1, float64(failing)/thousandths)
	}
	if ok {
		report.Cold = ReadCold(header)
	}
	if wait, set := ReadMillis(header, HeaderLinkWait); ok && set {
		report.LinkWait = wait
	}
	return report, ok
}

// ServerFailed reports whether a back end's status says that it failed the call, which
// another might not. A gateway timeout says that the time was up, whoever took it.
func ServerFailed(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && status != http.StatusNotImplemented
}

// Outlived reports whether a status shows that the back end has run a call and outlived it. Some
// refuse without a word about it, and an error may come before the work.
func Outlived(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status < http.StatusInternalServerError
}

// String returns the report as HeaderReport carries it.
func (r Report) String() string {
	return fmt.Sprintf("%d,%d,%d,%d", r.Running, r.Queued, r.Capacity, r.Service.Microseconds())
}

// ParseReport reads a HeaderReport.
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
		Service: time.Duration(values[3]) * time.Microsecond,
	}, true
}

// Sender is the back end beside the node that sends a call, as HeaderSender carries it.
type Sender struct {
	ID     string
	Report Report
}

// senderSeparator stands between the ID and the report.
const senderSeparator = "="

// String returns the sender as HeaderSender carries it.
func (s Sender) String() string { return s.ID + senderSeparator + s.Report.String() }

// ParseSender reads a HeaderSender.
func ParseSender(text string) (Sender, bool) {
	id, report, found := strings.Cut(text, senderSeparator)
	if !found || id == "" {
		return Sender{}, false
	}
	parsed, ok := ParseReport(report)
	return Sender{ID: id, Report: parsed}, ok
}

// ReadMillis reads a header of whole milliseconds; false if it is not set or unusable.
func ReadMillis(header http.Header, name string) (time.Duration, bool) {
	millis, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// ReadMicros reads a header of whole microseconds; false if it is not set or unusable.
func ReadMicros(header http.Header, name string) (time.Duration, bool) {
	micros, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || micros < 0 {
		return 0, false
	}
	return time.Duration(micros) * time.Microsecond, true
}

// SetMillis writes a header of whole milliseconds.
func SetMillis(header http.Header, name string, value time.Duration) {
	header.Set(name, strconv.FormatInt(max(0, value.Milliseconds()), 10))
}

// hopHeaders belong to one connection (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHop deletes the headers that concern one connection only.
func RemoveHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// Copy copies all headers.
func Copy(target, source http.Header) {
	for name, values := range source {
		target[name] = append([]string(nil), values...)
	}
}
