package control

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

func TestZonesAreEvacuatedByOperators(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	server.settings.Zones = map[string]string{"a": "east", "b": "east"}
	client := operator.NewClient([]string{server.admin.Address()})
	order := func(method, zone string) (operator.OrderResult, error) {
		var result operator.OrderResult
		err := client.Do(context.Background(), method, operator.PathEvacuations+zone, nil, &result)
		return result, err
	}
	for range 2 {
		result, err := order(http.MethodPost, "a")
		is.NoErr(err)
		is.True(result.Evacuated)
		is.True(currentOrders(t, server).Evacuated("a"))
	}
	requireCode := func(err error, code catalog.Code) {
		t.Helper()
		var opErr *catalog.OperationError
		is.True(errors.As(err, &opErr))
		is.Equal(opErr.Code, code)
	}
	_, err := order(http.MethodPost, "zzz")
	requireCode(err, catalog.CodeUnknownZone)
	_, err = order(http.MethodDelete, "zzz")
	requireCode(err, catalog.CodeUnknownZone)
	_, err = order(http.MethodPost, "a%0Ab")
	requireCode(err, catalog.CodeInvalidRequest)
	is.Equal(len(currentOrders(t, server).Evacuations), 1)

	var list operator.ZoneList
	is.NoErr(client.Do(context.Background(), http.MethodGet, operator.PathZones, nil, &list))
	is.Equal(len(list.Zones), 2)
	is.Equal(list.Zones[0].Region, "east")
	is.True(list.Zones[0].Evacuated && list.Zones[0].EvacuatedMillis > 0)
	is.True(!list.Zones[1].Evacuated)

	// The evacuation of a zone that was removed from the settings can still end.
	server.settings.Zones = map[string]string{"b": "east"}
	_, err = order(http.MethodPost, "a")
	is.NoErr(err)
	_, err = order(http.MethodDelete, "a")
	is.NoErr(err)
	_, err = order(http.MethodDelete, "a")
	requireCode(err, catalog.CodeUnknownZone)
	is.True(!currentOrders(t, server).Evacuated("a"))

	// Without zones in the settings, any valid name is accepted.
	server.settings.Zones = nil
	_, err = order(http.MethodPost, "zzz")
	is.NoErr(err)
}

func TestBackendsAreCountedByState(t *testing.T) {
	is := is.New(t)
	state := (&distribution.State{}).ChangeEndpoints([]distribution.Endpoint{
		{Service: "s", ID: "1", Zone: "a"}, {Service: "s", ID: "2", Zone: "a", State: distribution.Leaving},
		{Service: "s", ID: "3", Zone: "b"}, {Service: "t", ID: "4", Zone: "b"},
	})
	state = state.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}})
	is.Equal(countBackends(state), map[string]int{stateServing: 2, stateEvacuated: 1, stateLeaving: 1})
	zones := describeZones(state, map[string]string{"c": "west"})
	is.Equal(len(zones), 3)
	is.Equal(zones[2], operator.Zone{Name: "c", Region: "west"})
}
