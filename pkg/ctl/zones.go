package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"

	"bramblelift/pkg/operator"
)

// supersedes reports whether one replica's word on a node goes before another's. A node that moved
// is connected at one replica and gone at another; the moments at which they noted that are of two
// machines' clocks and say nothing of the order.
func supersedes(node, held operator.Node) bool {
	if node.Connected != held.Connected {
		return node.Connected
	}
	return node.HeardMillis > held.HeardMillis
}

// zoneVersion counts the nodes of a zone that have one version in force.
type zoneVersion struct {
	Zone   string `json:"zone"`
	Active uint64 `json:"active"`
	// Connected and Gone count nodes that a replica hears, and those that none does.
	Connected int `json:"connected"`
	Gone      int `json:"gone"`
	// Example is one of the nodes, to look into.
	Example string `json:"example"`
}

// zoneSummary sums nodes up by zone and version in force, the newest version of a zone first.
func zoneSummary(nodes []operator.Node) []zoneVersion {
	var all []zoneVersion
	for _, node := range nodes {
		i := slices.IndexFunc(all, func(z zoneVersion) bool { return z.Zone == node.Zone && z.Active == node.Active })
		if i < 0 {
			i = len(all)
			all = append(all, zoneVersion{Zone: node.Zone, Active: node.Active, Example: node.Name})
		}
		if node.Connected {
			all[i].Connected++
		} else {
			all[i].Gone++
		}
	}
	slices.SortFunc(all, func(a, b zoneVersion) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Active, a.Active))
	})
	return all
}

func printZones(s *session, zones []zoneVersion) {
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tACTIVE\tCONNECTED\tGONE\tFOR EXAMPLE")
	for _, z := range zones {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n", z.Zone, z.Active, z.Connected, z.Gone, z.Example)
	}
	table.Flush()
}
