package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/orders"
)

// Values of the metrics label state.
const (
	stateServing   = "serving"
	stateEvacuated = "evacuated"
	stateLeaving   = "leaving"
)

// Evacuate commits the order that a zone's back ends receive no new calls. It is idempotent. The error is
// a *catalog.OperationError.
func (s *Server) Evacuate(ctx context.Context, zone string) (catalog.Result, error) {
	if err := s.checkZone(ctx, zone); err != nil {
		return catalog.Result{}, err
	}
	return s.Order(ctx, orders.Change{Evacuate: &orders.Evacuation{Zone: zone, AtMillis: time.Now().UnixMilli()}})
}

// Readmit commits the end of a zone's evacuation. It is idempotent. The error is a
// *catalog.OperationError.
func (s *Server) Readmit(ctx context.Context, zone string) (catalog.Result, error) {
	if err := s.checkZone(ctx, zone); err != nil {
		return catalog.Result{}, err
	}
	return s.Order(ctx, orders.Change{Readmit: zone})
}

// checkZone rejects a zone that is neither in the settings nor evacuated. An evacuated zone that was
// removed from the settings stays valid, so that its evacuation can end.
func (s *Server) checkZone(ctx context.Context, zone string) error {
	if !bundle.ValidName(zone) {
		return newOperationError(catalog.CodeInvalidRequest, "zone %q is not a usable name", zone)
	}
	if _, known := s.settings.Zones[zone]; known || len(s.settings.Zones) == 0 {
		return nil
	}
	evacuated := false
	err := s.runOnLoop(ctx, func(time.Duration) { evacuated = s.replica.State().Orders.Evacuated(zone) })
	if err != nil {
		return newOperationError(catalog.CodeUnavailable, "replica did not answer: %v", err)
	}
	if !evacuated {
		s.logger.Log("event", "order_refused", "zone", zone, "reason", "unknown zone")
		return newOperationError(catalog.CodeUnknownZone, "the deployment has no zone %q", zone)
	}
	return nil
}

func (s *Server) handleEvacuation(evacuate bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone, order := r.PathValue("zone"), s.Readmit
		if evacuate {
			order = s.Evacuate
		}
		result, err := order(r.Context(), zone)
		writeResponse(w, operator.OrderResult{Zone: zone, Evacuated: evacuate, Revision: result.Revision}, err)
	}
}

func (s *Server) handleZones(w http.ResponseWriter, r *http.Request) {
	list := operator.ZoneList{Zones: []operator.Zone{}}
	err := s.readWithLease(r.Context(), func(time.Duration) {
		list.Zones = append(list.Zones, describeZones(s.replica.State(), s.settings.Zones)...)
	})
	writeResponse(w, list, err)
}

// describeZones returns the zones of the settings and of the state, sorted by name.
func describeZones(state *distribution.State, regions map[string]string) []operator.Zone {
	zones := map[string]*operator.Zone{}
	zoneOf := func(name string) *operator.Zone {
		if zones[name] == nil {
			zones[name] = &operator.Zone{Name: name, Region: regions[name]}
		}
		return zones[name]
	}
	for name := range regions {
		zoneOf(name)
	}
	for _, order := range state.Orders.EvacuatedZones() {
		zone := zoneOf(order.Zone)
		zone.Evacuated, zone.EvacuatedMillis = true, order.AtMillis
	}
	for _, endpoints := range state.Endpoints {
		for _, endpoint := range endpoints {
			switch endpoint.State {
			case distribution.Live:
				zoneOf(endpoint.Zone).Backends++
			case distribution.Leaving:
				zoneOf(endpoint.Zone).Leaving++
			}
		}
	}
	var all []operator.Zone
	for _, zone := range zones {
		all = append(all, *zone)
	}
	slices.SortFunc(all, func(a, b operator.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// countBackends counts back ends by state. A leaving back end of an evacuated zone counts as leaving.
func countBackends(state *distribution.State) map[string]int {
	count := map[string]int{}
	for _, zone := range describeZones(state, nil) {
		count[stateLeaving] += zone.Leaving
		if zone.Evacuated {
			count[stateEvacuated] += zone.Backends
		} else {
			count[stateServing] += zone.Backends
		}
	}
	return count
}
