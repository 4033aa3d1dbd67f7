package control

import (
	"net/http"
	"time"

	"bramblelift/pkg/operator"
	"bramblelift/pkg/rollout"

	"github.com/prometheus/client_golang/prometheus"
)

// registerRolloutRoutes registers the operators' endpoints for rollouts.
func (s *Server) registerRolloutRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+operator.PathRollouts, s.handleRollouts)
	mux.HandleFunc("POST "+operator.PathRollouts, s.handleRolloutStart)
	mux.HandleFunc("POST "+operator.PathRollouts+"/{service}"+operator.RolloutStop, s.handleRolloutStop)
	mux.HandleFunc("GET "+operator.PathRollouts+"/{service}"+operator.RolloutHistory, s.handleRolloutHistory)
	s.admin.Registry.MustRegister(rolloutMetrics{s})
}

func (s *Server) handleRollouts(w http.ResponseWriter, r *http.Request) {
	list := operator.RolloutList{Rollouts: []operator.Rollout{}}
	err := s.readWithLease(r.Context(), func(time.Duration) {
		for _, current := range s.replica.State().Orders.AllRollouts() {
			list.Rollouts = append(list.Rollouts, operator.DescribeRollout(current, s.observationsOf(current)))
		}
	})
	writeResponse(w, list, err)
}

// observationsOf returns the leader's latest data about a rollout, nil if this replica has none.
func (s *Server) observationsOf(current rollout.Rollout) *operator.RolloutSeen {
	all := s.rolloutObservations.Load()
	if all == nil {
		return nil
	}
	observation, found := (*all)[current.Service]
	if !found || observation.number != current.Number {
		return nil
	}
	return &observation.RolloutSeen
}

func (s *Server) handleRolloutStart(w http.ResponseWriter, r *http.Request) {
	var request operator.RolloutRequest
	err := readRequest(w, r, &request)
	var current rollout.Rollout
	if err == nil {
		current, err = s.StartRollout(r.Context(), rollout.Order{Service: request.Service, Version: request.Version, Duration: request.Duration})
	}
	writeResponse(w, operator.DescribeRollout(current, nil), err)
}

func (s *Server) handleRolloutStop(w http.ResponseWriter, r *http.Request) {
	current, err := s.StopRollout(r.Context(), r.PathValue("service"))
	writeResponse(w, operator.DescribeRollout(current, nil), err)
}

func (s *Server) handleRolloutHistory(w http.ResponseWriter, r *http.Request) {
	steps := operator.RolloutSteps{Steps: []operator.Rollout{}}
	err := s.readWithLease(r.Context(), func(time.Duration) {
		for _, step := range s.rolloutHistory.of(r.PathValue("service")) {
			steps.Steps = append(steps.Steps, operator.DescribeRollout(step, nil))
		}
	})
	writeResponse(w, steps, err)
}

// rolloutMetrics exports each service's newest rollout as this replica knows it, and on the leader the
// observed call counts.
type rolloutMetrics struct {
	server *Server
}

var (
	rolloutPhase = prometheus.NewDesc("bramblelift_rollout_phase",
		"1 for the phase of the service's newest rollout, as this replica knows.", []string{"service", "target", "phase"}, nil)
	rolloutShare = prometheus.NewDesc("bramblelift_rollout_share_ratio",
		"Part of the service's calls that nodes give to the new version.", []string{"service", "target"}, nil)
	rolloutGranted = prometheus.NewDesc("bramblelift_rollout_granted_calls",
		"Calls that gates of the new version were allowed to let in since the order.", []string{"service", "target"}, nil)
	rolloutCalls = prometheus.NewDesc("bramblelift_rollout_calls",
		"Calls since the order by the side that they went to and how they ended, as the leader was told.", []string{"service", "side", "end"}, nil)
)

// Describe implements prometheus.Collector.
func (m rolloutMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{rolloutPhase, rolloutShare, rolloutGranted, rolloutCalls} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (m rolloutMetrics) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for _, current := range m.server.hub.State().Orders.AllRollouts() {
		gauge(rolloutPhase, 1, current.Service, current.Version, current.Phase.String())
		gauge(rolloutShare, float64(current.Share)/rollout.FullShare, current.Service, current.Version)
		gauge(rolloutGranted, float64(current.Exposed()), current.Service, current.Version)
		if observation := m.server.observationsOf(current); observation != nil {
			for side, counts := range map[string]operator.RolloutSide{"new": observation.New, "old": observation.Old} {
				gauge(rolloutCalls, float64(counts.Answered), current.Service, side, "answered")
				gauge(rolloutCalls, float64(counts.Failed), current.Service, side, "failed")
			}
		}
	}
}
