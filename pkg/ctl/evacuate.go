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
	began := time.Now()
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
	return s.awaitZone(zone, c.End, began)
}

// zoneState is a zone with what its gates tell.
type zoneState struct {
	operator.Zone
	// Closed counts the gates of its nodes that are closed, Running the calls behind them.
	Closed  int `json:"closed"`
	Running int `json:"running"`
	// Gone are nodes that no replica hears: what they do is not known.
	Gone int `json:"gone"`
}

// String returns the state in one line.
func (z zoneState) String() string {
	return fmt.Sprintf("zone %s: %d of %d gates closed, %d calls running, %d nodes not heard", z.Name, z.Closed, z.Backends+z.Leaving, z.Running, z.Gone)
}

// settled reports whether every gate does as the order says. A back end that leaves has no gate to close.
func (z zoneState) settled(open bool) bool {
	if open {
		return z.Closed == 0
	}
	return z.Closed >= z.Backends && z.Running == 0
}

// joinZones adds what nodes tell of their gates to the leader's zones.
func joinZones(zones []operator.Zone, nodes []operator.Node) []zoneState {
	var all []zoneState
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
		all = append(all, state)
	}
	return all
}

// zoneStates asks the leader for the zones, and every replica for its nodes.
func (s *session) zoneStates() ([]zoneState, error) {
	var list operator.ZoneList
	if err := s.call(http.MethodGet, operator.PathZones, nil, &list); err != nil {
		return nil, err
	}
	nodes, err := s.nodes()
	if err != nil {
		return nil, err
	}
	return joinZones(list.Zones, nodes), nil
}

// awaitZone prints each step until every gate of a zone that is heard of does as ordered.
func (s *session) awaitZone(name string, open bool, began time.Time) error {
	last := ""
	for {
		states, err := s.zoneStates()
		if err != nil {
			return err
		}
		now := zoneState{Zone: operator.Zone{Name: name}}
		for _, state := range states {
			if state.Name == name {
				now = state
			}
		}
		if line := now.String(); line != last {
			if err := s.print(now, func() { fmt.Fprintln(s.stdout, line) }); err != nil {
				return err
			}
			last = line
		}
		if now.settled(open) {
			if !s.globals.JSON {
				fmt.Fprintf(s.stdout, "done after %s\n", time.Since(began).Round(100*time.Millisecond))
			}
			return nil
		}
		select {
		case <-s.context.Done():
			return fmt.Errorf("the order is in force, but not done everywhere yet: %s", now)
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
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", z.Name, orDash(z.Region), state, timeText(z.EvacuatedMillis),
			z.Backends, z.Leaving, z.Closed, z.Running, z.Gone)
	}
	table.Flush()
}
