package exchange

import (
	"net/http"
	"strconv"
	"strings"
)

// Statement is what a back end states about itself in the headers of a response.
type Statement struct {
	// Limit is the rate of calls per second that the back end takes from all nodes together, if Limited.
	Limit   float64
	Limited bool
	// InvalidLimit is a value of the limit that is not a decimal number of at least 0, empty if there is none.
	InvalidLimit string
	// Leaving is set if the back end accepts no new calls.
	Leaving bool
}

// ReadStatement reads a response's headers with the given names. Of several valid limits the lowest counts.
func ReadStatement(header http.Header, limitNames, leavingNames []string) Statement {
	var s Statement
	for _, name := range limitNames {
		for _, value := range header[http.CanonicalHeaderKey(name)] {
			s.addLimit(value)
		}
	}
	for _, name := range leavingNames {
		value := strings.TrimSpace(header.Get(name))
		s.Leaving = s.Leaving || (value != "" && value != "0")
	}
	return s
}

func (s *Statement) addLimit(value string) {
	limit, ok := parseDecimal(strings.TrimSpace(value))
	switch {
	case !ok:
		s.InvalidLimit = strconv.Quote(value)
	case !s.Limited || limit < s.Limit:
		s.Limit, s.Limited = limit, true
	}
}

// parseDecimal parses a finite number of at least 0 in decimal notation. Names of special values, which
// strconv.ParseFloat accepts too, are invalid.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil && value >= 0
}
