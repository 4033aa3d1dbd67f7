package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/routing"
)

const (
	// remoteShare is what another zone adds to a score, in service times of the fastest
	// back end: a call that crosses zones costs bytes and time.
	remoteShare = 0.3
	// farShare is what another region adds: its delay is some ten times that between zones, and all
	// nodes of a region share the link there. A call goes there only once all that it could get in its
	// own region would keep it waiting for about a service time longer.
	farShare = 1.3
	// farCost is farShare for back ends without gates, in calls; it is beside remoteCost.
	farCost = 2.0

	// localSubset is how many of a node's back ends are of its own zone, if there are as many.
	localSubset = 16
	// farSubset is how many are of each other region: enough for calls that only that region may
	// serve, and to go on with while a node's own region has none.
	farSubset = 3
	// maxFarSubset is how many are of all other regions together. Where there are many regions, each has
	// fewer, but one as long as there is room.
	maxFarSubset = subsetSize / 2
)

// far reports whether a back end is known to be in another region than the node.
func (p *Pool) far(target routing.Endpoint) bool {
	return p.config.Region != "" && target.Region != "" && target.Region != p.config.Region
}

// distanceCost is what a back end's distance adds to its score, in nanoseconds.
func (e *endpoint) distanceCost(fastest time.Duration) float64 {
	switch {
	case e.far:
		return farShare * float64(fastest)
	case e.remote:
		return remoteShare * float64(fastest)
	}
	return 0
}

// servedNear reports whether the node's region has back ends that may take calls which only some regions
// may serve.
func (p *Pool) servedNear(regions []string) bool {
	for _, e := range p.endpoints {
		if !e.far && e.eligible(regions) {
			return true
		}
	}
	return false
}

// chooseSubset picks subsetSize of a service's back ends, which are in the node's order of preference: those
// of its own zone up to localSubset, up to farSubset of each other region, so that one may stand in for
// another, and for the rest those of the own region, so that a zone which fails leaves enough. What remains
// empty, any fill.
func (p *Pool) chooseSubset(sorted []routing.Endpoint) []routing.Endpoint {
	perRegion, farRoom := p.farRoom(sorted)
	localRoom := min(localSubset, subsetSize-farRoom)
	far := map[string]int{}
	chosen, rest := make([]routing.Endpoint, 0, subsetSize), make([]routing.Endpoint, 0, len(sorted))
	for _, e := range sorted {
		switch {
		case unavailable(e):
			rest = append(rest, e)
		case e.Zone == p.config.Zone && localRoom > 0:
			localRoom--
			chosen = append(chosen, e)
		case p.far(e) && far[e.Region] < perRegion && farRoom > 0:
			far[e.Region]++
			farRoom--
			chosen = append(chosen, e)
		default:
			rest = append(rest, e)
		}
	}
	// The order of sorted is kept within each rank.
	slices.SortStableFunc(rest, func(a, b routing.Endpoint) int { return p.restRank(a) - p.restRank(b) })
	return append(chosen, rest[:subsetSize-len(chosen)]...)
}

// farRoom returns how many back ends of each other region a share holds, and how many of all of them.
func (p *Pool) farRoom(all []routing.Endpoint) (perRegion, total int) {
	open := map[string]int{}
	for _, e := range all {
		if p.far(e) && !unavailable(e) {
			open[e.Region]++
		}
	}
	if len(open) == 0 {
		return 0, 0
	}
	perRegion = min(farSubset, max(1, maxFarSubset/len(open)))
	for _, n := range open {
		total += min(n, perRegion)
	}
	return perRegion, min(total, maxFarSubset)
}

// restRank ranks what fills a node's share up: back ends that take calls before those that don't, near ones
// before far ones.
func (p *Pool) restRank(e routing.Endpoint) int {
	rank := 0
	if p.far(e) {
		rank = 1
	}
	if unavailable(e) {
		rank += 2
	}
	return rank
}

// FarRegion returns the back end's region if that is another one than the node's, else the empty string.
func (t *Ticket) FarRegion() string {
	if !t.endpoint.far {
		return ""
	}
	return t.endpoint.target.Region
}
