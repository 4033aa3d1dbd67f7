package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderGateLimit carries the Limit of a gate's Report while its back end names one: Rate, and AdmissionDelay and
	// UrgentDelay in microseconds, separated by commas. Nodes that do not know it read the rest of the report.
	HeaderGateLimit = "Gate-Limit"
	// HeaderKnownLimit is the KnownLimit of the node that sends a call to a gate.
	HeaderKnownLimit = "Gate-Known-Limit"
)

// Limit is a gate's report on the limit that its back end names.
type Limit struct {
	// Named is set while the back end names a limit; otherwise the other fields are zero.
	Named bool
	// Rate is the limit in calls per second.
	Rate float64
	// AdmissionDelay is the expected delay until the gate can admit one more call of the same priority as the call
	// that the report responds to, UrgentDelay until it can admit one before all queued calls.
	AdmissionDelay time.Duration
	UrgentDelay    time.Duration
}

// Set writes HeaderGateLimit to the headers of a response, or nothing if no limit is named.
func (l Limit) Set(header http.Header) {
	if l.Named {
		header.Set(HeaderGateLimit, formatRate(l.Rate)+","+formatMicros(l.AdmissionDelay)+","+formatMicros(l.UrgentDelay))
	}
}

// ReadLimit reads HeaderGateLimit; it returns the zero value if the header is missing or malformed.
func ReadLimit(header http.Header) Limit {
	text := header.Get(HeaderGateLimit)
	// Most back ends name no limit; reading their reports must not allocate.
	if text == "" {
		return Limit{}
	}
	parts := strings.Split(text, ",")
	if len(parts) != limitFields {
		return Limit{}
	}
	rate, ok := parseDecimal(parts[0])
	delay, delayOK := parseMicros(parts[1])
	urgent, urgentOK := parseMicros(parts[2])
	if !ok || !delayOK || !urgentOK {
		return Limit{}
	}
	return Limit{Named: true, Rate: rate, AdmissionDelay: delay, UrgentDelay: urgent}
}

// limitFields is the number of fields in HeaderGateLimit.
const limitFields = 3

func formatMicros(d time.Duration) string { return strconv.FormatInt(max(0, d).Microseconds(), 10) }

// maxMicrosBits bounds a parsed delay, so that it fits into a time.Duration.
const maxMicrosBits = 48

func parseMicros(text string) (time.Duration, bool) {
	micros, err := strconv.ParseUint(text, 10, maxMicrosBits)
	return time.Duration(micros) * time.Microsecond, err == nil
}

// KnownLimit is the limit that a back end named to a node, with its incarnation. Nodes pass it on with each call, so that
// a gate that has restarted keeps to it before the back end names it again.
type KnownLimit struct {
	Rate        float64
	Incarnation uint64
}

// String returns the limit in the format of HeaderKnownLimit.
func (k KnownLimit) String() string {
	return formatRate(k.Rate) + "," + strconv.FormatUint(k.Incarnation, 10)
}

// ParseKnownLimit parses the value of HeaderKnownLimit.
func ParseKnownLimit(text string) (KnownLimit, bool) {
	rateText, incarnationText, found := strings.Cut(text, ",")
	if !found {
		return KnownLimit{}, false
	}
	rate, ok := parseDecimal(rateText)
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	return KnownLimit{Rate: rate, Incarnation: incarnation}, ok && err == nil
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', -1, 64) }
