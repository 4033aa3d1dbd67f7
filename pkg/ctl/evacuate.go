package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"bramblelift/pkg/operator"
)

type evacuateCommand struct {
	Wait       bool `long:"wait" description:"wait until every gate of the zone is closed and nothing runs behind it"`
	End        bool `long:"end" description:"take the evacuation back"`
	Positional struct {
		Zone string `positional-arg-name:"ZONE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error { return nil }

func (c *evacuateCommand) run(s *session) error {
	zone, method := c.Positional.Zone, http.MethodPost
	if c.End {
		method = http.MethodDelete
	}
	start := time.Now()
	var result operator.OrderResult
	if err := s.call(method, operator.PathEvacuations+url.PathEscape(zone), nil, &result); err != nil {
		return err
	}
	err := s.print(result, func() {
		text := "is evacuated: its back ends get nothing new"
		if c.End {
			text = "takes calls again"
		}
		fmt.Fprintf(s.stdout, "zone %s %s (revision %d)\n", zone, text, result.Revision)
	})
	if err != nil || !c.Wait {
		return err
	}
	return s.waitForZone(zone, c.End, start)
}

// zoneState is a zone together with the state of its gates.
type zoneState struct {
	operator.Zone
	// Closed is the number of closed gates in the zone, Running the number of calls still in flight behind them.
	Closed  int `json:"closed"`
	Running int `json:"running"`
	// Gone is the number of nodes that no replica is connected to; the state of their gates is unknown.
	Gone int `json:"gone"`
}

// String returns the state in one line.
func (z zoneState) String() string {
	return fmt.Sprintf("zone %s: %d of %d gates closed, %d calls running, %d nodes not heard", z.Name, z.Closed, z.Backends+z.Leaving, z.Running, z.Gone)
}

// settled reports whether every gate has carried out the order: to open, or to close and drain. Back ends that
// are leaving are not waited for.
func (z zoneState) settled(open bool) bool {
	if open {
		return z.Closed == 0
	}
	return z.Closed >= z.Backends && z.Running == 0
}

// combineZoneStates adds the gate states that nodes report to the leader's zones.
func combineZoneStates(zones []operator.Zone, nodes []operator.Node) []zoneState {
	var states []zoneState
	for _, zone := range zones {
		state := zoneState{Zone: zone}
		for _, node := range nodes {
			switch {
			case node.Zone != zone.Name:
			case !node.Connected:
				state.Gone++
			case node.Closed != nil:
				state.Closed++
				state.Running += node.Closed.Running
			}
		}
		states = append(states, state)
	}
	return states
}

// zoneStates fetches the zones from the leader and the nodes from every replica.
func (s *session) zoneStates() ([]zoneState, error) {
	var list operator.ZoneList
	if err := s.call(http.MethodGet, operator.PathZones, nil, &list); err != nil {
		return nil, err
	}
	nodes, err := s.nodes()
	if err != nil {
		return nil, err
	}
	return combineZoneStates(list.Zones, nodes), nil
}

// waitForZone prints each change until the gates of a zone have carried out the order. When a zone closes, it also
// waits for back ends whose node is disconnected, since they may still run calls.
func (s *session) waitForZone(name string, open bool, start time.Time) error {
	last := ""
	for {
		states, err := s.zoneStates()
		if err != nil {
			return err
		}
		current := zoneState{Zone: operator.Zone{Name: name}}
		for _, state := range states {
			if state.Name == name {
				current = state
			}
		}
		if line := current.String(); line != last {
			if err := s.print(current, func() { fmt.Fprintln(s.stdout, line) }); err != nil {
				return err
			}
			last = line
		}
		if current.settled(open) {
			if !s.globals.JSON {
				fmt.Fprintf(s.stdout, "done after %s\n", time.Since(start).Round(100*time.Millisecond))
			}
			return nil
		}
		select {
		case <-s.context.Done():
			return fmt.Errorf("the order is in force, but not done everywhere yet: %s", current)
		case <-time.After(watchInterval):
		}
	}
}

type zonesCommand struct{}

// Execute implements flags.Commander.
func (c *zonesCommand) Execute([]string) error { return nil }

func (c *zonesCommand) run(s *session) error {
	states, err := s.zoneStates()
	if err != nil {
		return err
	}
	return s.print(states, func() { printZoneStates(s, states) })
}

func printZoneStates(s *session, states []zoneState) {
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tREGION\tSTATE\tSINCE\tBACK ENDS\tLEAVING\tCLOSED GATES\tRUNNING\tGONE NODES")
	for _, z := range states {
		state := "serving"
		if z.Evacuated {
			state = "evacuated"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", z.Name, orDash(z.Region), state, formatMillis(z.EvacuatedMillis),
			z.Backends, z.Leaving, z.Closed, z.Running, z.Gone)
	}
	table.Flush()
}
