package ctl

import (
	"bytes"
	"testing"

	"bramblelift/pkg/operator"

	"github.com/matryer/is"
)

// A node that moved from one replica to another is connected, whatever the two machines' clocks say
// of when.
func TestConnectedNodeIsNotShownAsGone(t *testing.T) {
	is := is.New(t)
	there := operator.Node{Name: "n", Connected: true, HeardMillis: 1000}
	left := operator.Node{Name: "n", HeardMillis: 1005}
	is.True(supersedes(there, left))
	is.True(!supersedes(left, there))
	later := operator.Node{Name: "n", Connected: true, HeardMillis: 2000}
	is.True(supersedes(later, there))
	is.True(!supersedes(there, later))
}

// With hundreds of nodes the question is which zone lags and where to look.
func TestZonesShowWhatLags(t *testing.T) {
	is := is.New(t)
	nodes := []operator.Node{
		{Name: "a-1", Zone: "a", Active: 7, Connected: true},
		{Name: "a-2", Zone: "a", Active: 6, Connected: true},
		{Name: "a-3", Zone: "a", Active: 7, Connected: true},
		{Name: "a-4", Zone: "a", Active: 7},
		{Name: "b-1", Zone: "b", Active: 7, Connected: true},
	}
	zones := zoneSummary(nodes)
	is.Equal(zones, []zoneVersion{
		{Zone: "a", Active: 7, Connected: 2, Gone: 1, Example: "a-1"},
		{Zone: "a", Active: 6, Connected: 1, Example: "a-2"},
		{Zone: "b", Active: 7, Connected: 1, Example: "b-1"},
	})
	var out bytes.Buffer
	printZones(&session{stdout: &out}, zones)
	is.Equal(out.String(), `ZONE  ACTIVE  CONNECTED  GONE  FOR EXAMPLE
a     7       2          1     a-1
a     6       1          0     a-2
b     7       1          0     b-1
`)
}
