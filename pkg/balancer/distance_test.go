package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// multiRegionService returns a service with n back ends in each of two zones in each of two regions.
func multiRegionService(n int) routing.Service {
	service := routing.Service{Name: "s"}
	for i, zone := range []string{"e1", "e2", "w1", "w2"} {
		region := "east"
		if i >= 2 {
			region = "west"
		}
		for j := range n {
			service.Endpoints = append(service.Endpoints, routing.Endpoint{
				ID: fmt.Sprintf("%s-%d", zone, j), Incarnation: 1, Zone: zone, Region: region, Gate: fmt.Sprintf("10.%d.0.%d:1", i, j), Capacity: 2})
		}
	}
	return service
}

func eastPool(service routing.Service) *Pool {
	p := NewPool(Config{Node: "n", Zone: "e1", Region: "east", Random: rand.New(rand.NewPCG(1, 2)).IntN})
	p.Update(0, service)
	return p
}

// countAcquiredByRegion acquires a gate for each of n calls that stay in flight, and counts the calls by region.
func countAcquiredByRegion(p *Pool, n int, r GateRequest) map[string]int {
	regions := map[string]int{}
	for _, e := range p.endpoints {
		e.recordReport(0, exchange.Report{Capacity: 2, ServiceTime: 100 * time.Millisecond})
	}
	for range n {
		ticket, _, err := p.AcquireGate(0, r)
		if err != nil {
			regions["none"]++
			continue
		}
		regions[ticket.endpoint.target.Region]++
	}
	return regions
}

// Calls stay in their region while it has free capacity, and go to another before they would wait long.
func TestCallsLeaveTheirRegionOnlyWithoutFreeCapacity(t *testing.T) {
	is := is.New(t)
	p := eastPool(multiRegionService(3))
	is.Equal(countAcquiredByRegion(p, 12, GateRequest{})["east"], 12)
	more := countAcquiredByRegion(p, 12, GateRequest{})
	is.True(more["west"] >= 6)
}

// The subset of a large service must include each region: for calls restricted to it, and for failover when
// the own region has no available back end.
func TestSubsetOfALargeServiceIncludesEachRegion(t *testing.T) {
	is := is.New(t)
	p := eastPool(multiRegionService(40))
	regions := map[string]int{}
	for _, e := range p.endpoints {
		regions[e.target.Region]++
	}
	is.Equal(regions["west"], perRegionSubset)
	is.Equal(regions["east"], subsetSize-perRegionSubset)
	is.Equal(countAcquiredByRegion(p, 10, GateRequest{Regions: []string{"west"}})["west"], 10)
	is.Equal(countAcquiredByRegion(p, 3, GateRequest{Regions: []string{"north"}})["none"], 3)

	service := multiRegionService(40)
	for i := range service.Endpoints {
		if service.Endpoints[i].Region == "east" {
			service.Endpoints[i].RejectReason = exchange.ReasonEvacuated
		}
	}
	p.Update(time.Second, service)
	is.Equal(countAcquiredByRegion(p, 10, GateRequest{})["west"], 10)
	unavailableCount := 0
	for _, e := range p.endpoints {
		if unavailable(e.target) {
			unavailableCount++
		}
	}
	is.True(unavailableCount <= ownZoneSubset) // the other slots hold available back ends
}

// Regions in AvoidedRegions get only calls that the own region may not serve, even if the own region is saturated.
func TestAvoidedRegionsGetOnlyCallsRestrictedToThem(t *testing.T) {
	is := is.New(t)
	p := eastPool(multiRegionService(3))
	avoiding := GateRequest{AvoidedRegions: []string{"west"}}
	is.Equal(countAcquiredByRegion(p, 40, avoiding)["east"], 40)
	avoiding.Regions = []string{"west"}
	is.Equal(countAcquiredByRegion(p, 5, avoiding)["west"], 5)
}

// Region restrictions also apply to back ends without gates.
func TestRegionRestrictionsApplyWithoutGates(t *testing.T) {
	is := is.New(t)
	p := eastPool(multiRegionService(3))
	now := func() time.Duration { return 0 }
	for range 8 {
		ticket, err := p.Acquire(nil, now, 0, nil, []string{"west"})
		is.NoErr(err)
		is.Equal(ticket.OtherRegion(), "west")
	}
	_, err := p.Acquire(nil, now, 0, nil, []string{"north"})
	is.Equal(err, ErrNoEndpoint)
}

// With any number of regions the subset has its full size, includes as many regions as fit, and takes at
// least half of its back ends from the node's own zone.
func TestSubsetOfALargeServiceInManyRegions(t *testing.T) {
	for _, others := range []int{2, 3, 4, 5, 8, 12, 30} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			is := is.New(t)
			service := routing.Service{Name: "s"}
			for region := range others + 1 {
				name := fmt.Sprintf("r%d", region)
				for j := range 30 {
					service.Endpoints = append(service.Endpoints, routing.Endpoint{
						ID: fmt.Sprintf("%s-%d", name, j), Incarnation: 1, Zone: name, Region: name, Gate: fmt.Sprintf("10.0.%d.%d:1", region, j)})
				}
			}
			p := NewPool(Config{Node: "n", Zone: "r0", Region: "r0", OwnGate: "10.0.0.7:1", Random: rand.IntN})
			p.Update(0, service)
			is.Equal(len(p.endpoints), subsetSize)
			regions := map[string]int{}
			own := false
			for _, e := range p.endpoints {
				regions[e.target.Region]++
				own = own || e.target.ID == "r0-7"
			}
			is.True(own)
			if others <= maxOtherRegionSubset {
				is.Equal(len(regions), others+1)
				is.True(regions["r0"] >= subsetSize-maxOtherRegionSubset)
			}
		})
	}
}

// Guards against reading a ticket's region while an update replaces its endpoint; it needs the race detector to fail.
func TestRegionIsReadDuringUpdates(t *testing.T) {
	is := is.New(t)
	p := eastPool(multiRegionService(3))
	ticket, err := p.Acquire(nil, func() time.Duration { return 0 }, 0, nil, []string{"west"})
	is.NoErr(err)
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		for range 100 {
			p.Update(0, multiRegionService(3))
		}
	}()
	for range 100 {
		is.Equal(ticket.OtherRegion(), "west")
	}
	<-updated
}
