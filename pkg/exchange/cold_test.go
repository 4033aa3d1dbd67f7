package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReportCarriesColdState(t *testing.T) {
	is := is.New(t)
	report := Report{Running: 2, Capacity: 4, Cold: Cold{Remaining: 2 * time.Second, AdmissionDelay: 300 * time.Microsecond, AdmissionInterval: 58 * time.Millisecond}}
	header := http.Header{}
	report.Set(header)
	read, ok := ReadReport(header)
	is.True(ok)
	is.Equal(read.Cold, Cold{Remaining: 2 * time.Second, AdmissionDelay: time.Millisecond, AdmissionInterval: 58 * time.Millisecond})
	RemoveInternal(header)
	is.Equal(len(header), 0)
}

// Nodes of earlier releases do not know HeaderCold, so it must not alter HeaderReport.
func TestColdStateLeavesReportHeaderUnchanged(t *testing.T) {
	is := is.New(t)
	warm, cold := http.Header{}, http.Header{}
	Report{Running: 2, Capacity: 4}.Set(warm)
	Report{Running: 2, Capacity: 4, Cold: Cold{Remaining: time.Second}}.Set(cold)
	is.Equal(cold.Get(HeaderReport), warm.Get(HeaderReport))
	is.Equal(warm.Get(HeaderCold), "")
	read, ok := ReadReport(warm)
	is.True(ok)
	is.Equal(read.Cold, Cold{})
}

func TestMalformedColdHeaderIsIgnored(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "1", "1,2", "1,2,3,4", "-1,2,3", "x,2,3", "99999999999,1,1"} {
		is.Equal(ReadCold(http.Header{HeaderCold: {text}}), Cold{})
	}
}

func TestReadingWarmReportDoesNotAllocate(t *testing.T) {
	header := http.Header{}
	Report{Capacity: 4}.Set(header)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { ReadCold(header) }), 0.0)
}
