package exchange

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderCold is the Cold of a gate's Report, if its back end is cold: remaining time, room and interval in
// milliseconds, separated by commas. Nodes that do not know it read the rest of the report.
const HeaderCold = "Gate-Cold"

// Cold is what a gate says of a back end that is cold, its zero value of one that is not.
type Cold struct {
	// Remaining is for how much longer the back end is cold.
	Remaining time.Duration
	// Room is after how long the gate expects to let in a call that comes now.
	Room time.Duration
	// Interval is the mean time between calls that the gate lets in; zero for no bound.
	Interval time.Duration
}

// coldFields is how many fields HeaderCold has.
const coldFields = 3

// Set writes it into the headers of an answer, nothing if the back end is warm.
func (c Cold) Set(header http.Header) {
	if c.Remaining > 0 {
		header.Set(HeaderCold, fmt.Sprintf("%d,%d,%d", ceilMillis(c.Remaining), ceilMillis(c.Room), ceilMillis(c.Interval)))
	}
}

// ReadCold reads what Set wrote; the zero value if there is nothing that can be read.
func ReadCold(header http.Header) Cold {
	text := header.Get(HeaderCold)
	// Most back ends are warm: their reports cost no allocation here.
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
	return Cold{Remaining: values[0], Room: values[1], Interval: values[2]}
}

// ceilMillis rounds up: what is left of a time must not be told as over.
func ceilMillis(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}
