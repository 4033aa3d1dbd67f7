package sim

import (
	"fmt"
	"slices"
	"strings"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

// recordEndpoints records the endpoints of each revision that a control replica reaches,
// and checks that no endpoint returns to an earlier state within one incarnation.
func (c *cluster) recordEndpoints(ctl *control) {
	state := ctl.replica.State()
	if _, known := c.endpoints[state.Revision]; known {
		return
	}
	c.endpoints[state.Revision] = state.Endpoints
	for service, endpoints := range state.Endpoints {
		for id, endpoint := range endpoints {
			c.checkNoRegression(ctl, fmt.Sprintf("%s/%s/%d", service, id, endpoint.Incarnation), state.Revision, endpoint.State)
		}
	}
}

// endpointProgress is the latest state of one incarnation, and its revision.
type endpointProgress struct {
	revision uint64
	state    distribution.EndpointState
}

func (c *cluster) checkNoRegression(ctl *control, incarnation string, revision uint64, state distribution.EndpointState) {
	furthest := c.incarnationProgress[incarnation]
	if revision > furthest.revision && state < furthest.state {
		c.simulation.violate(invariantNoRegression, "%s has %s as %s at revision %d, it was %s at %d",
			ctl.name, incarnation, state, revision, furthest.state, furthest.revision)
	}
	if state > furthest.state {
		c.incarnationProgress[incarnation] = endpointProgress{revision: revision, state: state}
	}
}

// checkEndpoints compares a node's endpoints with those that the control plane had at
// the same revision, for the services that the node's routes use.
func (c *cluster) checkEndpoints(n *node, state *distribution.State) {
	table, known := c.endpoints[state.Revision]
	if !known {
		return
	}
	for _, service := range state.Active.Content.Services {
		want, got := formatEndpoints(table, service), formatEndpoints(state.Endpoints, service)
		if want != got {
			c.simulation.violate(invariantEndpoints, "%s has %s of %s at revision %d, control has %s", n.name, got, service.Name, state.Revision, want)
		}
	}
}

// formatEndpoints formats the endpoints of a service in a fixed order.
func formatEndpoints(table distribution.EndpointTable, service bundle.Service) string {
	var lines []string
	for id, endpoint := range table[service.Name] {
		if endpoint.State != distribution.Removed {
			lines = append(lines, fmt.Sprintf("%s/%d/%s/%s", id, endpoint.Incarnation, endpoint.Address, endpoint.State))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, " ")
}
