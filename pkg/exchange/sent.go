package exchange

import (
	"strconv"
	"strings"
	"time"
)

// HeaderSent is when a node sent a call to a gate, in the format of Sent. The remaining times in
// the call's other headers refer to that time.
const HeaderSent = "Gate-Sent"

// Sent is a time on the monotonic clock of one process run of a node.
type Sent struct {
	// Process identifies the process run; the clocks of different runs are unrelated.
	Process uint32
	At      time.Duration
}

const sentSeparator = "-"

// String returns the process and the time in milliseconds, both in base 36, separated by a hyphen.
func (s Sent) String() string {
	return strconv.FormatUint(uint64(s.Process), 36) + sentSeparator + strconv.FormatInt(max(0, s.At.Milliseconds()), 36)
}

// ParseSent parses the value of HeaderSent.
func ParseSent(text string) (Sent, bool) {
	processText, millisText, found := strings.Cut(text, sentSeparator)
	process, err := strconv.ParseUint(processText, 36, 32)
	millis, millisErr := strconv.ParseInt(millisText, 36, 48)
	if !found || err != nil || millisErr != nil || millis < 0 {
		return Sent{}, false
	}
	return Sent{Process: uint32(process), At: time.Duration(millis) * time.Millisecond}, true
}
