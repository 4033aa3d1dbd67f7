package sim

import (
	"fmt"
	"slices"
	"strings"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

// rememberEndpoints notes the endpoints of each revision that a control replica reaches,
// and checks that none comes back within one incarnation.
func (c *cluster) rememberEndpoints(ctl *control) {
	state := ctl.replica.State()
	if _, known := c.endpoints[state.Revision]; known {
		return
	}
	c.endpoints[state.Revision] = state.Endpoints
	for service, held := range state.Endpoints {
		for id, endpoint := range held {
			c.checkNoWayBack(ctl, fmt.Sprintf("%s/%s/%d", service, id, endpoint.Incarnation), state.Revision, endpoint.State)
		}
	}
}

// endpointLife is the furthest state of one incarnation, and the revision that had it.
type endpointLife struct {
	revision uint64
	state    distribution.EndpointState
}

func (c *cluster) checkNoWayBack(ctl *control, life string, revision uint64, state distribution.EndpointState) {
	furthest := c.endpointLives[life]
	if revision > furthest.revision && state < furthest.state {
		c.world.violate(invariantNoWayBack, "%s has %s as %s at revision %d, it was %s at %d",
			ctl.name, life, state, revision, furthest.state, furthest.revision)
	}
	if state > furthest.state {
		c.endpointLives[life] = endpointLife{revision: revision, state: state}
	}
}

// checkEndpoints compares a node's endpoints with those that control had at the node's
// revision, for the services that the node's routes use.
func (c *cluster) checkEndpoints(n *node, state *distribution.State) {
	table, known := c.endpoints[state.Revision]
	if !known {
		return
	}
	for _, service := range state.Active.Content.Services {
		want, got := listed(table, service), listed(state.Endpoints, service)
		if want != got {
			c.world.violate(invariantEndpoints, "%s has %s of %s at revision %d, control has %s", n.name, got, service.Name, state.Revision, want)
		}
	}
}

// listed writes the endpoints of a service in a fixed order.
func listed(table distribution.EndpointTable, service bundle.Service) string {
	var lines []string
	for id, endpoint := range table[service.Name] {
		if endpoint.State != distribution.Removed {
			lines = append(lines, fmt.Sprintf("%s/%d/%s/%s", id, endpoint.Incarnation, endpoint.Address, endpoint.State))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, " ")
}
