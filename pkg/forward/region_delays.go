package forward

import (
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"
)

// ServedIn reports whether back ends of a zone may serve a call according to the newest table; true if
// there is none.
func (h *Handler) ServedIn(zone string, r *http.Request) bool {
	current := h.snapshot.Load()
	return current == nil || current.table.ServedIn(zone, r.Host, r.URL, r.Header.Get(h.config.Headers.Tenant))
}

// regionDelays tracks the congestion of the links to other regions. Nodes share these links and do not
// know their capacity, so each one judges by the delay of its own calls.
type regionDelays struct {
	// onChange, if set, is called when the congestion of a link changes.
	onChange func(region string, now link.Congestion, rise time.Duration)

	mu       sync.Mutex
	delays   map[string]*link.Delay
	reported map[string]link.Congestion
}

func newRegionDelays(onChange func(string, link.Congestion, time.Duration)) *regionDelays {
	return &regionDelays{onChange: onChange, delays: map[string]*link.Delay{}, reported: map[string]link.Congestion{}}
}

// record adds the network round-trip time of a call to a region.
func (d *regionDelays) record(region string, now, took time.Duration) {
	d.mu.Lock()
	delay := d.delays[region]
	if delay == nil {
		delay = &link.Delay{}
		d.delays[region] = delay
	}
	delay.Observe(now, took)
	congestion := delay.Congestion(now)
	changed := congestion != d.reported[region]
	d.reported[region] = congestion
	d.mu.Unlock()
	if changed && d.onChange != nil {
		d.onChange(region, congestion, delay.QueueingDelay(now))
	}
}

// congested returns the regions that a call should avoid while its own region may serve it. Large
// transfers avoid a region at a lower level of congestion.
func (d *regionDelays) congested(now time.Duration, large bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	least := link.Full
	if large {
		least = link.Congested
	}
	var congested []string
	for region, delay := range d.delays {
		if delay.Congestion(now) >= least {
			congested = append(congested, region)
		}
	}
	return congested
}

// requestHeldTime asks a gate of another region to report how long it held the call. Calls with a large
// body are left out, because their own transfer dominates the delay.
func (g *gatedCall) requestHeldTime(ticket *balancer.Ticket, request *http.Request) {
	if ticket.OtherRegion() != "" && g.body.Size() <= largeBodyBytes {
		request.Header.Set(exchange.HeaderRequestHeld, "1")
	}
}

// recordRegionDelay records the network delay of a call to another region.
func (g *gatedCall) recordRegionDelay(ticket *balancer.Ticket, sent time.Duration, header http.Header) {
	held, reported := exchange.ReadMicros(header, exchange.HeaderHeld)
	if region := ticket.OtherRegion(); reported && region != "" {
		now := g.now()
		g.handler.regionDelays.record(region, now, max(0, now-sent-held))
	}
}
