package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"

	"bramblelift/pkg/operator"
)

// supersedes reports whether one replica's report on a node takes precedence over another's. A
// connected node takes precedence over a disconnected one, since the replicas' clocks may differ.
func supersedes(node, previous operator.Node) bool {
	if node.Connected != previous.Connected {
		return node.Connected
	}
	return node.HeardMillis > previous.HeardMillis
}

// zoneVersion counts the nodes of a zone that have the same version in force.
type zoneVersion struct {
	Zone   string `json:"zone"`
	Active uint64 `json:"active"`
	// Connected counts the nodes connected to a replica, Gone those connected to none.
	Connected int `json:"connected"`
	Gone      int `json:"gone"`
	// Example is the name of one of the nodes, as a starting point for an investigation.
	Example string `json:"example"`
}

// summarizeZones counts nodes by zone and version in force, sorted by zone and then by descending version.
func summarizeZones(nodes []operator.Node) []zoneVersion {
	var summaries []zoneVersion
	for _, node := range nodes {
		i := slices.IndexFunc(summaries, func(z zoneVersion) bool { return z.Zone == node.Zone && z.Active == node.Active })
		if i < 0 {
			i = len(summaries)
			summaries = append(summaries, zoneVersion{Zone: node.Zone, Active: node.Active, Example: node.Name})
		}
		if node.Connected {
			summaries[i].Connected++
		} else {
			summaries[i].Gone++
		}
	}
	slices.SortFunc(summaries, func(a, b zoneVersion) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Active, a.Active))
	})
	return summaries
}

func printZones(s *session, zones []zoneVersion) {
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tACTIVE\tCONNECTED\tGONE\tFOR EXAMPLE")
	for _, z := range zones {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n", z.Zone, z.Active, z.Connected, z.Gone, z.Example)
	}
	table.Flush()
}
