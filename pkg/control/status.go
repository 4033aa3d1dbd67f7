package control

import (
	"context"
	"errors"
	"time"

	"bramblelift/pkg/operator"

	"github.com/prometheus/client_golang/prometheus"
)

// statusTimeout bounds how long a status request waits for the event loop.
const statusTimeout = 2 * time.Second

// LocalStatus is the response of /status: this replica's own view, which may be stale.
type LocalStatus struct {
	Name string `json:"name"`
	Role string `json:"role"`
	// Confirmed is set once a leader has confirmed the state. StaleMillis is the time since the latest
	// confirmation that the state included every committed change.
	Confirmed   bool            `json:"confirmed"`
	StaleMillis int64           `json:"stale_millis"`
	Subscribers int             `json:"subscribers"`
	View        operator.Status `json:"view"`
}

func (s *Server) localStatus() any {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := LocalStatus{Name: s.settings.Name, Subscribers: s.hub.Subscribers()}
	err := s.runOnLoop(ctx, func(now time.Duration) {
		status.Role = s.replica.Node().Role().String()
		status.View = s.status(now)
	})
	if err != nil {
		status.Role = "unresponsive"
	}
	if at, confirmed := s.confirmed(); confirmed {
		status.Confirmed = true
		status.StaleMillis = (s.clock.Elapsed() - at).Milliseconds()
	}
	return status
}

// status returns the status of the control plane. It runs on the event loop.
func (s *Server) status(now time.Duration) operator.Status {
	node := s.replica.Node()
	membership := node.Membership()
	position := s.replica.State().Position()
	status := operator.Status{
		Cluster: s.settings.Cluster, Term: node.Term(), Commit: node.Commit(),
		DurableCopies: node.DurableCopies(now), Voters: len(membership.Voters()),
		Head: s.replica.Catalog().HeadVersion(), Active: position.Active, Staged: position.Staged,
		Revision: position.Revision, LogBytes: s.replica.LogBytes(),
	}
	if leader, known := membership.Find(node.Leader()); known {
		status.Leader = leader.Name
	}
	for _, member := range membership.Members {
		role := "voter"
		if member.Learner {
			role = "learner"
		}
		status.Replicas = append(status.Replicas, operator.ReplicaStatus{
			Name: member.Name, ID: uint64(member.ID), Address: member.Address, Zone: member.Zone,
			Role: role, Match: node.Match(member.ID), Alive: node.Alive(now, member.ID),
		})
	}
	if text := s.platformError.Load(); text != nil {
		status.PlatformError = *text
	}
	return status
}

// readyStaleLimit is the maximum staleness of a replica that reports ready.
const readyStaleLimit = 3 * time.Second

func (s *Server) ready() error {
	at, confirmed := s.confirmed()
	if !confirmed {
		return errors.New("no leader has confirmed this replica's state yet")
	}
	if s.clock.Elapsed()-at > readyStaleLimit {
		return errors.New("cut off from the leader")
	}
	return nil
}

func (s *Server) registerMetrics() {
	s.admin.Registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramblelift_subscribers", Help: "Open subscriptions of relays.",
		}, func() float64 { return float64(s.hub.Subscribers()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramblelift_revision", Help: "Revision of the distributed state.",
		}, func() float64 { return float64(s.hub.Revision()) }),
	)
	for _, state := range []string{stateServing, stateEvacuated, stateLeaving} {
		s.admin.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramblelift_backends", Help: "Back ends by whether they may take calls, as this replica knows.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 { return float64(countBackends(s.hub.State())[state]) }))
	}
	s.admin.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramblelift_evacuated_zones", Help: "Zones whose back ends get nothing new, as this replica knows.",
	}, func() float64 { return float64(len(s.hub.State().Orders.EvacuatedZones())) }))
}
