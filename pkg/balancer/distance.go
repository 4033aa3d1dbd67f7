package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/routing"
)

const (
	// otherZonePenalty is the score penalty for another zone, in service times of the fastest back end: a call
	// to another zone costs bytes between zones and time.
	otherZonePenalty = 0.3
	// otherRegionPenalty is the score penalty for another region, in the same unit: about one service time
	// more than for another zone, so that calls leave a region only to avoid a wait of that length.
	otherRegionPenalty = 1.3
	// otherRegionLoad is added to the load of back ends without gates in other regions, in calls, on top of
	// otherZoneLoad.
	otherRegionLoad = 2.0

	// ownZoneSubset is the maximum number of back ends of the node's own zone that are selected first.
	ownZoneSubset = 16
	// perRegionSubset is the number of back ends from each other region: for calls restricted to that region,
	// and for failover.
	perRegionSubset = 3
	// maxOtherRegionSubset bounds the back ends from all other regions together. With many regions each gets
	// fewer, but at least one while the bound allows it.
	maxOtherRegionSubset = subsetSize / 2
)

// inOtherRegion reports whether a back end is known to be in a region other than the node's.
func (p *Pool) inOtherRegion(target routing.Endpoint) bool {
	return p.config.Region != "" && target.Region != "" && target.Region != p.config.Region
}

// distancePenalty returns the score penalty for another zone or region, in nanoseconds.
func (e *endpoint) distancePenalty(fastest time.Duration) float64 {
	switch {
	case e.inOtherRegion:
		return otherRegionPenalty * float64(fastest)
	case e.inOtherZone:
		return otherZonePenalty * float64(fastest)
	}
	return 0
}

// servedInOwnRegion reports whether the node's own region has a back end eligible for calls restricted to the
// given regions.
func (p *Pool) servedInOwnRegion(regions []string) bool {
	for _, e := range p.endpoints {
		if !e.inOtherRegion && e.eligible(regions) {
			return true
		}
	}
	return false
}

// chooseSubset picks subsetSize back ends of a list in the node's order of preference: up to ownZoneSubset of
// the own zone, up to perRegionSubset of each other region for failover, then others of the own region, so that
// enough remain when a zone fails. Any other back ends fill the remaining slots.
func (p *Pool) chooseSubset(sorted []routing.Endpoint) []routing.Endpoint {
	perRegion, otherSlots := p.otherRegionSlots(sorted)
	ownZoneSlots := min(ownZoneSubset, subsetSize-otherSlots)
	taken := map[string]int{}
	chosen, rest := make([]routing.Endpoint, 0, subsetSize), make([]routing.Endpoint, 0, len(sorted))
	for _, e := range sorted {
		switch {
		case unavailable(e):
			rest = append(rest, e)
		case e.Zone == p.config.Zone && ownZoneSlots > 0:
			ownZoneSlots--
			chosen = append(chosen, e)
		case p.inOtherRegion(e) && taken[e.Region] < perRegion && otherSlots > 0:
			taken[e.Region]++
			otherSlots--
			chosen = append(chosen, e)
		default:
			rest = append(rest, e)
		}
	}
	// The stable sort preserves the node's order of preference within each rank.
	slices.SortStableFunc(rest, func(a, b routing.Endpoint) int { return p.fillRank(a) - p.fillRank(b) })
	return append(chosen, rest[:subsetSize-len(chosen)]...)
}

// otherRegionSlots returns how many back ends the subset takes from each other region, and from all of them.
func (p *Pool) otherRegionSlots(all []routing.Endpoint) (perRegion, total int) {
	available := map[string]int{}
	for _, e := range all {
		if p.inOtherRegion(e) && !unavailable(e) {
			available[e.Region]++
		}
	}
	if len(available) == 0 {
		return 0, 0
	}
	perRegion = min(perRegionSubset, max(1, maxOtherRegionSubset/len(available)))
	for _, n := range available {
		total += min(n, perRegion)
	}
	return perRegion, min(total, maxOtherRegionSubset)
}

// fillRank ranks the back ends that fill the remaining slots: available before unavailable ones, then own
// region before other regions.
func (p *Pool) fillRank(e routing.Endpoint) int {
	rank := 0
	if p.inOtherRegion(e) {
		rank = 1
	}
	if unavailable(e) {
		rank += 2
	}
	return rank
}

// OtherRegion returns the back end's region if it differs from the node's, otherwise the empty string.
func (t *Ticket) OtherRegion() string {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if !t.endpoint.inOtherRegion {
		return ""
	}
	return t.endpoint.target.Region
}
