package proxy

import (
	"testing"
	"time"

	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

func TestBackendMetricHasExactlyOneState(t *testing.T) {
	is := is.New(t)
	g := gate.New(gate.Config{Now: func() time.Duration { return 0 }})
	is.Equal(backendState(g), stateAbsent)
	g.SetBackend(gate.Backend{ID: "i1", Zone: "a"})
	is.Equal(backendState(g), stateServing)
	var table *orders.Table
	g.SetRules(eligibility.New(table.With(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}}, 1), nil))
	is.Equal(backendState(g), "evacuated")
	registry := prometheus.NewRegistry()
	newObserver(registry, nil).registerBackend(registry, g)
	families, err := registry.Gather()
	is.NoErr(err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() == "bramblelift_gate_backend" {
			is.Equal(len(family.Metric), len(backendStates))
			for _, metric := range family.Metric {
				sum += metric.Gauge.GetValue()
			}
		}
	}
	is.Equal(sum, 1.0) // exactly one state is set
	g.RemoveBackend("i1")
	is.Equal(backendState(g), stateAbsent)
}
