package proxy

import (
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/protocol"

	"github.com/prometheus/client_golang/prometheus"
)

// onClosingChange logs that an order closed the gate, that its last running call has ended, or that it opened
// again, and reports the change to the control plane.
func (s *Server) onClosingChange(c gate.ClosingChange) {
	s.controlClient.PingSoon()
	took := c.SinceClosed.Round(time.Millisecond)
	switch {
	case c.Drained:
		s.observer.gateDrainTime.Set(c.SinceClosed.Seconds())
		s.logger.Log("event", "gate_quiet", "instance", c.Backend, "reason", string(c.Reason), "took", took)
	case c.Reason != "":
		s.logger.Log("event", "gate_closed", "instance", c.Backend, "reason", string(c.Reason), "let_go", c.Dropped, "running", c.Running)
	default:
		s.logger.Log("event", "gate_opened", "instance", c.Backend, "closed_for", took, "running", c.Running)
	}
}

// closedGateReport returns the report on a gate that an order has closed, or nil while it is open.
func (s *Server) closedGateReport() *protocol.ClosedGate {
	if s.gate == nil {
		return nil
	}
	reason := s.gate.Closed()
	if reason == "" {
		return nil
	}
	return &protocol.ClosedGate{Reason: reason, Running: s.gate.Report().Running}
}

// backendStates are the values of the label "state" of the metric bramblelift_gate_backend.
var backendStates = []string{stateServing, stateAbsent, string(exchange.ReasonEvacuated)}

const (
	stateServing = "serving"
	// stateAbsent: there is no back end, or it is leaving.
	stateAbsent = "absent"
)

// registerBackend registers the metrics of the back end's state.
func (o *observer) registerBackend(registry prometheus.Registerer, g *gate.Gate) {
	registry.MustRegister(o.gateDrainTime)
	for _, state := range backendStates {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramblelift_gate_backend", Help: "1 for the state of the back end beside the node, 0 for all others.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 {
			if backendState(g) == state {
				return 1
			}
			return 0
		}))
	}
}

func backendState(g *gate.Gate) string {
	if !g.Present() {
		return stateAbsent
	}
	if reason := g.Closed(); reason != "" {
		return string(reason)
	}
	return stateServing
}
