package ctl

import (
	"bytes"
	"testing"

	"bramblelift/pkg/operator"

	"github.com/matryer/is"
)

func TestZonesShowClosedGatesAndRunningCalls(t *testing.T) {
	is := is.New(t)
	zones := []operator.Zone{{Name: "a", Region: "east", Evacuated: true, Backends: 2, Leaving: 1}, {Name: "b", Backends: 1}}
	closed := func(running int) *operator.ClosedGate {
		return &operator.ClosedGate{Reason: "evacuated", Running: running}
	}
	nodes := []operator.Node{
		{Name: "a-1", Zone: "a", Connected: true, Closed: closed(3)},
		{Name: "a-2", Zone: "a", Connected: true},
		{Name: "a-3", Zone: "a", Closed: closed(9)},
		{Name: "b-1", Zone: "b", Connected: true},
	}
	states := combineZoneStates(zones, nodes)
	is.Equal(states[0].String(), "zone a: 1 of 3 gates closed, 3 calls running, 1 nodes not heard")
	is.True(!states[0].settled(false) && !states[0].settled(true))
	is.True(states[1].settled(true))
	var out bytes.Buffer
	printZoneStates(&session{stdout: &out}, states)
	is.Equal(out.String(), `ZONE  REGION  STATE      SINCE  BACK ENDS  LEAVING  CLOSED GATES  RUNNING  GONE NODES
a     east    evacuated  -      2          1        1             3        1
b     -       serving    -      1          0        0             0        0
`)
	nodes[1].Closed = closed(0)
	is.True(!combineZoneStates(zones, nodes)[0].settled(false)) // calls are still in flight
	nodes[0].Closed = closed(0)
	is.True(combineZoneStates(zones, nodes)[0].settled(false))
}
