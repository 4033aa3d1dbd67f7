package exchange

import (
	"strconv"
	"strings"
	"time"
)

// HeaderSent is when a node sent a call to a gate, as Sent. What a call's other headers say of the time left was
// true then.
const HeaderSent = "Gate-Sent"

// Sent is a moment on the steady clock of a node's process.
type Sent struct {
	// Process tells the starts of nodes apart: their clocks have nothing in common.
	Process uint32
	At      time.Duration
}

const sentSeparator = "-"

// String returns the moment as HeaderSent carries it, in milliseconds.
func (s Sent) String() string {
	return strconv.FormatUint(uint64(s.Process), 36) + sentSeparator + strconv.FormatInt(max(0, s.At.Milliseconds()), 36)
}

// ParseSent reads what String wrote.
func ParseSent(text string) (Sent, bool) {
	first, second, found := strings.Cut(text, sentSeparator)
	process, err := strconv.ParseUint(first, 36, 32)
	millis, err2 := strconv.ParseInt(second, 36, 48)
	if !found || err != nil || err2 != nil || millis < 0 {
		return Sent{}, false
	}
	return Sent{Process: uint32(process), At: time.Duration(millis) * time.Millisecond}, true
}
