package ctl

import (
	"bytes"
	"testing"

	"bramblelift/pkg/operator"

	"github.com/matryer/is"
)

// A node that moved between replicas must be shown as connected, even if the replicas' clocks differ.
func TestConnectedNodeIsNotShownAsGone(t *testing.T) {
	is := is.New(t)
	connected := operator.Node{Name: "n", Connected: true, HeardMillis: 1000}
	gone := operator.Node{Name: "n", HeardMillis: 1005}
	is.True(supersedes(connected, gone))
	is.True(!supersedes(gone, connected))
	later := operator.Node{Name: "n", Connected: true, HeardMillis: 2000}
	is.True(supersedes(later, connected))
	is.True(!supersedes(connected, later))
}

// The summary must show which zone lags behind in versions, and one of its nodes.
func TestZoneSummaryShowsLaggingNodes(t *testing.T) {
	is := is.New(t)
	nodes := []operator.Node{
		{Name: "a-1", Zone: "a", Active: 7, Connected: true},
		{Name: "a-2", Zone: "a", Active: 6, Connected: true},
		{Name: "a-3", Zone: "a", Active: 7, Connected: true},
		{Name: "a-4", Zone: "a", Active: 7},
		{Name: "b-1", Zone: "b", Active: 7, Connected: true},
	}
	zones := summarizeZones(nodes)
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
