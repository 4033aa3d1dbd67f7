package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	testLimitNames   = []string{"Backend-Limit", "other-limit"}
	testLeavingNames = []string{"Backend-Draining"}
)

func TestReadStatementLimit(t *testing.T) {
	for _, c := range []struct {
		values  []string
		limit   float64
		limited bool
		invalid bool
	}{
		{values: nil},
		{values: []string{"6.5"}, limit: 6.5, limited: true},
		{values: []string{" 12 "}, limit: 12, limited: true},
		{values: []string{"0"}, limited: true},
		{values: []string{"-0"}, limited: true},
		{values: []string{"1e3"}, limit: 1000, limited: true},
		{values: []string{"1e300"}, limit: 1e300, limited: true},
		{values: []string{"7", "3", "5"}, limit: 3, limited: true},
		{values: []string{"many", "4"}, limit: 4, limited: true, invalid: true},
		{values: []string{""}, invalid: true},
		{values: []string{"-1"}, invalid: true},
		{values: []string{"inf"}, invalid: true},
		{values: []string{"Infinity"}, invalid: true},
		{values: []string{"NaN"}, invalid: true},
		{values: []string{"1e999"}, invalid: true},
		{values: []string{"0x10"}, invalid: true},
		{values: []string{"1_000"}, invalid: true},
		{values: []string{"3,5"}, invalid: true},
		{values: []string{"5 per second"}, invalid: true},
	} {
		for _, name := range testLimitNames {
			is := is.New(t)
			header := http.Header{http.CanonicalHeaderKey(name): c.values}
			s := ReadStatement(header, testLimitNames, testLeavingNames)
			is.Equal(s.Limit, c.limit)
			is.Equal(s.Limited, c.limited)
			is.Equal(s.InvalidLimit != "", c.invalid)
			is.Equal(s.Leaving, false)
		}
	}
}

func TestReadStatementLeaving(t *testing.T) {
	is := is.New(t)
	for value, leaving := range map[string]bool{"1": true, "true": true, "0": false, "": false} {
		s := ReadStatement(http.Header{"Backend-Draining": {value}}, testLimitNames, testLeavingNames)
		is.Equal(s, Statement{Leaving: leaving})
	}
}

func TestReportCarriesTheLimit(t *testing.T) {
	is := is.New(t)
	for _, limit := range []Limit{{}, {Named: true}, {Named: true, Rate: 6.5, AdmissionDelay: 1500 * time.Microsecond, UrgentDelay: time.Millisecond}, {Named: true, Rate: 1e300}} {
		header := http.Header{}
		Report{Capacity: 4, Limit: limit}.Set(header)
		report, ok := ReadReport(header)
		is.True(ok)
		is.Equal(report.Limit, limit)
	}
	for _, text := range []string{"x,1,1", "3", "3,1", "3,x,1", "3,-1,1", "3,1,x", "-3,1,1", "inf,1,1", "3,1,1,1"} {
		is.Equal(ReadLimit(http.Header{HeaderGateLimit: {text}}), Limit{})
	}
}

func TestKnownLimitIsParsedAsWritten(t *testing.T) {
	is := is.New(t)
	known := KnownLimit{Rate: 0.125, Incarnation: 1764758100123}
	parsed, ok := ParseKnownLimit(known.String())
	is.True(ok)
	is.Equal(parsed, known)
	for _, text := range []string{"", "3", "3,", ",1", "nan,1", "-1,1", "3,-1"} {
		_, ok := ParseKnownLimit(text)
		is.Equal(ok, false)
	}
}
