package exchange

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderCold carries the Cold of a gate's Report while its back end is cold: Remaining, AdmissionDelay
// and AdmissionInterval in milliseconds, separated by commas. Nodes that do not know it read the rest of the
// report.
const HeaderCold = "Gate-Cold"

// Cold is a gate's report on a cold back end. The zero value means that the back end is warm.
type Cold struct {
	// Remaining is how much longer the back end is cold.
	Remaining time.Duration
	// AdmissionDelay is the expected delay until the gate can admit one more call.
	AdmissionDelay time.Duration
	// AdmissionInterval is the mean time between calls that the gate admits, zero if it is not limited.
	AdmissionInterval time.Duration
}

// coldFields is the number of fields in HeaderCold.
const coldFields = 3

// Set writes HeaderCold to the headers of a response, or nothing if the back end is warm.
func (c Cold) Set(header http.Header) {
	if c.Remaining > 0 {
		header.Set(HeaderCold, fmt.Sprintf("%d,%d,%d", ceilMillis(c.Remaining), ceilMillis(c.AdmissionDelay), ceilMillis(c.AdmissionInterval)))
	}
}

// ReadCold reads HeaderCold; it returns the zero value if the header is missing or malformed.
func ReadCold(header http.Header) Cold {
	text := header.Get(HeaderCold)
	// Most back ends are warm; reading their reports must not allocate.
	if text == "" {
		return Cold{}
	}
	parts := strings.Split(text, ",")
	if len(parts) != coldFields {
		return Cold{}
	}
	var values [coldFields]time.Duration
	for i, part := range parts {
		value, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return Cold{}
		}
		values[i] = time.Duration(value) * time.Millisecond
	}
	return Cold{Remaining: values[0], AdmissionDelay: values[1], AdmissionInterval: values[2]}
}

// ceilMillis converts a duration to milliseconds, rounded up so that a positive remainder is not
// reported as zero.
func ceilMillis(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}
