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

// States of back ends, for metrics.
const (
	stateServing   = "serving"
	stateEvacuated = "evacuated"
	stateLeaving   = "leaving"
)

// Evacuate has it agreed on that a zone's back ends get nothing new. Taken again it changes nothing. The
// error is a *catalog.OperationError.
func (s *Server) Evacuate(ctx context.Context, zone string) (catalog.Result, error) {
	if err := s.checkZone(ctx, zone); err != nil {
		return catalog.Result{}, err
	}
	return s.Order(ctx, orders.Change{Evacuate: &orders.Evacuation{Zone: zone, AtMillis: time.Now().UnixMilli()}})
}

// Readmit takes an evacuation back. Taken again it changes nothing. The error is a
// *catalog.OperationError.
func (s *Server) Readmit(ctx context.Context, zone string) (catalog.Result, error) {
	if err := s.checkZone(ctx, zone); err != nil {
		return catalog.Result{}, err
	}
	return s.Order(ctx, orders.Change{Readmit: zone})
}

// checkZone refuses a zone that the deployment does not have. One that is evacuated is known, whatever
// the settings say by now: its order was taken, and must be taken back some day.
func (s *Server) checkZone(ctx context.Context, zone string) error {
	if !bundle.ValidName(zone) {
		return refuse(catalog.CodeInvalidRequest, "zone %q is not a usable name", zone)
	}
	if _, known := s.settings.Zones[zone]; known || len(s.settings.Zones) == 0 {
		return nil
	}
	evacuated := false
	err := s.inspect(ctx, func(time.Duration) { evacuated = s.replica.State().Orders.Evacuated(zone) })
	if err != nil {
		return refuse(catalog.CodeUnavailable, "replica did not answer: %v", err)
	}
	if !evacuated {
		s.logger.Log("event", "order_refused", "zone", zone, "reason", "unknown zone")
		return refuse(catalog.CodeUnknownZone, "the deployment has no zone %q", zone)
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
		answer(w, operator.OrderResult{Zone: zone, Evacuated: evacuate, Revision: result.Revision}, err)
	}
}

func (s *Server) handleZones(w http.ResponseWriter, r *http.Request) {
	list := operator.ZoneList{Zones: []operator.Zone{}}
	err := s.readLeased(r.Context(), func(time.Duration) {
		list.Zones = append(list.Zones, zonesOf(s.replica.State(), s.settings.Zones)...)
	})
	answer(w, list, err)
}

// zonesOf describes the zones of the settings and those that the state names.
func zonesOf(state *distribution.State, regions map[string]string) []operator.Zone {
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
	for _, held := range state.Endpoints {
		for _, endpoint := range held {
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

// countBackends counts the back ends by state. One that leaves an evacuated zone leaves.
func countBackends(state *distribution.State) map[string]int {
	count := map[string]int{}
	for _, zone := range zonesOf(state, nil) {
		count[stateLeaving] += zone.Leaving
		if zone.Evacuated {
			count[stateEvacuated] += zone.Backends
		} else {
			count[stateServing] += zone.Backends
		}
	}
	return count
}
