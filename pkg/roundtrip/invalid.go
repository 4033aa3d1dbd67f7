package roundtrip

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Fault is why bytes are not a response to a request.
type Fault string

const (
	// FaultStatus means a final status outside 200 to 599.
	FaultStatus Fault = "status"
	// FaultUpgrade means a 101 to a request that did not ask for another protocol.
	FaultUpgrade Fault = "upgrade"
	// FaultProtocol means a response of another protocol than HTTP/1.
	FaultProtocol Fault = "protocol"
	// FaultHead means a head that is malformed, too large or cut off.
	FaultHead Fault = "head"
	// FaultBody means a body that is malformed, too large or cut off.
	FaultBody Fault = "body"
	// FaultIncomplete means that the request ended while its response was being received.
	FaultIncomplete Fault = "incomplete"
	// FaultOtherRequest means a response to another request.
	FaultOtherRequest Fault = "other-request"
)

// InvalidResponse reports bytes of a peer that are not a response to the request. The request may have run.
type InvalidResponse struct {
	Fault Fault
	// Status is the status code received, zero if none was read.
	Status int
	Err    error
}

// maxErrorBytes bounds the text of an InvalidResponse, which may quote what the peer sent.
const maxErrorBytes = 256

// Error implements error.
func (e *InvalidResponse) Error() string {
	text := fmt.Sprintf("invalid response (%s): %v", e.Fault, e.Err)
	if len(text) > maxErrorBytes {
		return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return text
}

// Unwrap returns the cause.
func (e *InvalidResponse) Unwrap() error { return e.Err }

// FaultOf returns the fault that an error reports, empty if it is no *InvalidResponse.
func FaultOf(err error) Fault {
	var invalid *InvalidResponse
	if !errors.As(err, &invalid) {
		return ""
	}
	return invalid.Fault
}

// Reader is who read an invalid response.
type Reader string

const (
	// ReaderGate is a gate that reads the response of its back end to a call.
	ReaderGate Reader = "gate"
	// ReaderProbe is a gate that reads the response of its back end's health path.
	ReaderProbe Reader = "probe"
	// ReaderNode is a node that reads the response of a gate, or of a back end without one.
	ReaderNode Reader = "node"
)

// Verdict describes an invalid response for logs.
type Verdict struct {
	Reader Reader
	// RequestID is empty for a probe.
	RequestID string
	// Instance is the back end's ID.
	Instance string
	Fault    Fault
	Err      error
}

// Report calls report, if set, with the verdict on an error that is an *InvalidResponse.
func (v Verdict) Report(report func(Verdict), err error) {
	v.Fault, v.Err = FaultOf(err), err
	if v.Fault != "" && report != nil {
		report(v)
	}
}

// ErrOtherRequest reports a response that belongs to another request. Refusals carry its text to callers.
var ErrOtherRequest = errors.New("the answer is to another call")

// Causes of an InvalidResponse.
var (
	errUpgrade     = errors.New("101 Switching Protocols was not asked for")
	errHeaderName  = errors.New("a header name has bytes that are not allowed")
	errHeaderValue = errors.New("a header value has bytes that are not allowed")
	errLongFailure = fmt.Errorf("a failure of more than %d bytes", MaxFailureBytes)
)

// IsFinalStatus reports whether a status may end an exchange (RFC 9110, section 15). Informational (1xx) ones do not.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

const maxStatus = 599

// CheckHead returns an *InvalidResponse if the head that was received is not that of a final response.
func CheckHead(response *http.Response) error {
	invalid := func(fault Fault, err error) error {
		return &InvalidResponse{Fault: fault, Status: response.StatusCode, Err: err}
	}
	switch {
	case response.ProtoMajor != 1:
		return invalid(FaultProtocol, fmt.Errorf("response of %s", response.Proto))
	case response.StatusCode == http.StatusSwitchingProtocols:
		return invalid(FaultUpgrade, errUpgrade)
	case !IsFinalStatus(response.StatusCode):
		return invalid(FaultStatus, fmt.Errorf("status %03d is not from 200 to %d", response.StatusCode, maxStatus))
	}
	if err := checkFields(response.Header); err != nil {
		return invalid(FaultHead, err)
	}
	return nil
}

// checkFields returns an error if one of the fields of a head is malformed.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if err := checkField(name, values); err != nil {
			return err
		}
	}
	return nil
}

// checkField returns an error if the name or a value of a header or trailer field has bytes that are not allowed (RFC 9110,
// 5.1 and 5.5). net/http accepts spaces in names.
func checkField(name string, values []string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errHeaderName
	}
	for _, value := range values {
		if !httpguts.ValidHeaderFieldValue(value) {
			return errHeaderValue
		}
	}
	return nil
}
