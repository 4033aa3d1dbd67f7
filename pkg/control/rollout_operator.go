package control

import (
	"net/http"
	"time"

	"bramblelift/pkg/operator"
	"bramblelift/pkg/rollout"

	"github.com/prometheus/client_golang/prometheus"
)

// routeRollouts adds the operators' calls about rollouts.
func (s *Server) routeRollouts(mux *http.ServeMux) {
	mux.HandleFunc("GET "+operator.PathRollouts, s.handleRollouts)
	mux.HandleFunc("POST "+operator.PathRollouts, s.handleRolloutStart)
	mux.HandleFunc("POST "+operator.PathRollouts+"/{service}"+operator.RolloutStop, s.handleRolloutStop)
	mux.HandleFunc("GET "+operator.PathRollouts+"/{service}"+operator.RolloutHistory, s.handleRolloutHistory)
	s.admin.Registry.MustRegister(rolloutMetrics{s})
}

func (s *Server) handleRollouts(w http.ResponseWriter, r *http.Request) {
	list := operator.RolloutList{Rollouts: []operator.Rollout{}}
	err := s.readLeased(r.Context(), func(time.Duration) {
		for _, held := range s.replica.State().Orders.AllRollouts() {
			list.Rollouts = append(list.Rollouts, operator.DescribeRollout(held, s.seenOf(held)))
		}
	})
	answer(w, list, err)
}

// seenOf returns what the leader goes by in a rollout, or went by last, nil if that is not known here.
func (s *Server) seenOf(held rollout.Rollout) *operator.RolloutSeen {
	all := s.rolloutSeen.Load()
	if all == nil {
		return nil
	}
	seen, found := (*all)[held.Service]
	if !found || seen.number != held.Number {
		return nil
	}
	return &seen.RolloutSeen
}

func (s *Server) handleRolloutStart(w http.ResponseWriter, r *http.Request) {
	var request operator.RolloutRequest
	err := readRequest(w, r, &request)
	var held rollout.Rollout
	if err == nil {
		held, err = s.StartRollout(r.Context(), rollout.Order{Service: request.Service, Version: request.Version, Duration: request.Duration})
	}
	answer(w, operator.DescribeRollout(held, nil), err)
}

func (s *Server) handleRolloutStop(w http.ResponseWriter, r *http.Request) {
	held, err := s.StopRollout(r.Context(), r.PathValue("service"))
	answer(w, operator.DescribeRollout(held, nil), err)
}

func (s *Server) handleRolloutHistory(w http.ResponseWriter, r *http.Request) {
	steps := operator.RolloutSteps{Steps: []operator.Rollout{}}
	err := s.readLeased(r.Context(), func(time.Duration) {
		for _, step := range s.rolloutHistory.of(r.PathValue("service")) {
			steps.Steps = append(steps.Steps, operator.DescribeRollout(step, nil))
		}
	})
	answer(w, steps, err)
}

// rolloutMetrics shows each service's newest rollout as this replica holds it, and on the leader what it
// goes by.
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
	for _, held := range m.server.hub.State().Orders.AllRollouts() {
		gauge(rolloutPhase, 1, held.Service, held.Version, held.Phase.String())
		gauge(rolloutShare, float64(held.Share)/rollout.Thousandths, held.Service, held.Version)
		gauge(rolloutGranted, float64(held.Exposed()), held.Service, held.Version)
		if seen := m.server.seenOf(held); seen != nil {
			for side, sums := range map[string]operator.RolloutSide{"new": seen.New, "old": seen.Old} {
				gauge(rolloutCalls, float64(sums.Answered), held.Service, side, "answered")
				gauge(rolloutCalls, float64(sums.Failed), held.Service, side, "failed")
			}
		}
	}
}
