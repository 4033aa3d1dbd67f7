package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// The subset of a large service must prefer the own zone, and include others in case that zone fails.
func TestSubsetPrefersTheOwnZone(t *testing.T) {
	is := is.New(t)
	for zoneSize, wantLocal := range map[int]int{3: 3, 11: 11, 40: ownZoneSubset} {
		service := routing.Service{Name: "s"}
		for zone := range 4 {
			for i := range zoneSize {
				service.Endpoints = append(service.Endpoints, routing.Endpoint{
					ID: fmt.Sprintf("z%d-%d", zone, i), Incarnation: 1, Zone: fmt.Sprintf("z%d", zone), Gate: "10.0.0.1:1"})
			}
		}
		used := map[string]int{}
		for node := range 40 {
			p := NewPool(Config{Node: fmt.Sprintf("n%d", node), Zone: "z1", Random: rand.New(rand.NewPCG(1, 2)).IntN})
			p.Update(0, service)
			local := 0
			for _, e := range p.endpoints {
				used[e.target.ID]++
				if !e.inOtherZone {
					local++
				}
			}
			is.Equal(local, wantLocal)
			is.Equal(len(p.endpoints), min(subsetSize, 4*zoneSize))
		}
		is.True(len(used) > 3*zoneSize) // the nodes together use nearly all back ends
	}
}

// Unavailable back ends must not fill the subset: a node in an evacuated zone would have too few left.
func TestSubsetExcludesBackEndsOfEvacuatedZones(t *testing.T) {
	is := is.New(t)
	service := routing.Service{Name: "s"}
	for i := range 40 {
		e := routing.Endpoint{ID: fmt.Sprintf("own-%d", i), Incarnation: 1, Zone: "z1", Gate: "10.0.0.1:1", RejectReason: exchange.ReasonEvacuated}
		service.Endpoints = append(service.Endpoints, e)
	}
	for i := range 30 {
		service.Endpoints = append(service.Endpoints, routing.Endpoint{ID: fmt.Sprintf("other-%d", i), Incarnation: 1, Zone: "z2", Gate: "10.0.0.2:1"})
	}
	p := NewPool(Config{Node: "n", Zone: "z1", Random: rand.New(rand.NewPCG(1, 2)).IntN})
	p.Update(0, service)
	candidates := p.candidates(0, nil, nil)
	is.Equal(len(candidates), subsetSize)

	// After the evacuation ends, the own zone is preferred again.
	for i := range 40 {
		service.Endpoints[i].RejectReason = ""
	}
	p.Update(0, service)
	local := 0
	for _, e := range p.candidates(0, nil, nil) {
		if !e.inOtherZone {
			local++
		}
	}
	is.Equal(local, ownZoneSubset)
}
