package proxy

import (
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/protocol"

	"github.com/prometheus/client_golang/prometheus"
)

// noteClosing logs that orders closed the gate, that it is quiet or that it opened again.
func (s *Server) noteClosing(c gate.ClosingChange) {
	s.client.PingSoon()
	took := c.Took.Round(time.Millisecond)
	switch {
	case c.Quiet:
		s.observer.quiet.Set(c.Took.Seconds())
		s.logger.Log("event", "gate_quiet", "instance", c.Backend, "reason", string(c.Reason), "took", took)
	case c.Reason != "":
		s.logger.Log("event", "gate_closed", "instance", c.Backend, "reason", string(c.Reason), "let_go", c.Dropped, "running", c.Running)
	default:
		s.logger.Log("event", "gate_opened", "instance", c.Backend, "closed_for", took, "running", c.Running)
	}
}

// closedGate returns what a server is to hear of a gate that orders have closed, nil while it is open.
func (s *Server) closedGate() *protocol.ClosedGate {
	if s.gate == nil {
		return nil
	}
	reason := s.gate.Closed()
	if reason == "" {
		return nil
	}
	return &protocol.ClosedGate{Reason: reason, Running: s.gate.Report().Running}
}

// backendStates are what the back end beside the node may be, for metrics.
var backendStates = []string{stateServing, stateAbsent, string(exchange.ReasonEvacuated)}

const (
	stateServing = "serving"
	// stateAbsent: there is none, or it leaves.
	stateAbsent = "absent"
)

// watchBackend shows the state of the back end beside the node.
func (o *observer) watchBackend(registry prometheus.Registerer, g *gate.Gate) {
	registry.MustRegister(o.quiet)
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
