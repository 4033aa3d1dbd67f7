package proxy

import (
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/forward"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/link"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/roundtrip"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
)

// observer counts calls and attempts, and logs those that were rejected or failed.
type observer struct {
	logger          log.Logger
	calls           *prometheus.CounterVec
	durations       *prometheus.HistogramVec
	attempts        *prometheus.CounterVec
	gateCalls       *prometheus.CounterVec
	gateWaits       prometheus.Histogram
	serviceTimes    prometheus.Histogram
	regionDelayRise *prometheus.GaugeVec
	gateDrainTime   prometheus.Gauge
	// heartbeatsRejected counts heartbeats that named no usable back end.
	heartbeatsRejected prometheus.Counter
}

// durationBuckets, in seconds, range from half a millisecond to eight seconds.
var durationBuckets = prometheus.ExponentialBuckets(0.0005, 2, 15)

func newObserver(registry prometheus.Registerer, logger log.Logger) *observer {
	o := &observer{
		logger: logger,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramblelift_calls_total", Help: "Calls by route and how they ended.",
		}, []string{"route", "end"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bramblelift_call_seconds", Help: "Time from a call's head to the end of its answer, by how it ended.",
			Buckets: durationBuckets,
		}, []string{"end"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramblelift_attempts_total", Help: "Attempts by how they ended; above calls by the retries.",
		}, []string{"end"}),
		gateCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramblelift_gate_calls_total", Help: "Calls at the gate by how they ended.",
		}, []string{"end"}),
		gateWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramblelift_gate_wait_seconds", Help: "Time that calls waited at the gate.", Buckets: durationBuckets,
		}),
		serviceTimes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramblelift_gate_service_seconds", Help: "Time that calls took at the back end.", Buckets: durationBuckets,
		}),
		regionDelayRise: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bramblelift_region_delay_rise_seconds", Help: "By how much the delay to another region is above the least, when its crowding last changed.",
		}, []string{"region"}),
		gateDrainTime: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramblelift_gate_quiet_seconds", Help: "How long the calls at work took to end when orders closed the gate last.",
		}),
	}
	o.heartbeatsRejected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramblelift_heartbeats_refused_total", Help: "Heartbeats that named no back end to use.",
	})
	registry.MustRegister(o.heartbeatsRejected, o.calls, o.durations, o.attempts, o.gateCalls, o.gateWaits, o.serviceTimes, o.regionDelayRise)
	return o
}

// registerGate registers the metrics of the gate's load and its back end's health.
func (o *observer) registerGate(registry prometheus.Registerer, g *gate.Gate) {
	gauge := func(name, help string, read func(exchange.Report) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return read(g.Report()) }))
	}
	gauge("bramblelift_gate_running", "Calls at work at the back end.", func(r exchange.Report) float64 { return float64(r.Running) })
	gauge("bramblelift_gate_queued", "Calls that wait at the gate, and those whose bodies are on their way.",
		func(r exchange.Report) float64 { return float64(r.Queued) })
	gauge("bramblelift_gate_capacity", "Calls that the back end works on at once.", func(r exchange.Report) float64 { return float64(r.Capacity) })
	gauge("bramblelift_gate_link_wait_seconds", "For how long the next large answer waits for the machine's link.",
		func(r exchange.Report) float64 { return r.LinkWait.Seconds() })
	gauge("bramblelift_gate_failing_ratio", "Share of the latest calls that the back end failed.", func(r exchange.Report) float64 { return r.FailureRate })
	gauge("bramblelift_gate_cold_seconds", "For how much longer the back end is cold; zero if it is warm.",
		func(r exchange.Report) float64 { return r.Cold.Remaining.Seconds() })
	gauge("bramblelift_gate_named_limit", "Calls per second that the back end names as its limit; -1 if it names none.",
		func(r exchange.Report) float64 {
			if !r.Limit.Named {
				return -1
			}
			return r.Limit.Rate
		})
}

// logColdChange logs that the back end beside the node turned cold or warm.
func (o *observer) logColdChange(change gate.ColdChange) {
	state := "warm"
	if change.Cold {
		state = "cold"
	}
	o.logger.Log("event", "backend_temperature", "instance", change.Backend, "state", state,
		"source", string(change.Source), "remaining", change.Remaining.Round(time.Millisecond))
}

// logLimitChange logs a change of the limit that the back end beside the node names.
func (o *observer) logLimitChange(change gate.LimitChange) {
	state, rate := "ended", any(nil)
	switch {
	case change.Invalid != "":
		state, rate = "unreadable", change.Invalid
	case change.Limited:
		state, rate = "named", change.Rate
	}
	o.logger.Log("event", "backend_limit", "instance", change.Backend, "state", state, "rate", rate, "heard", change.Heard)
}

// logColdUnknown logs that the query whether the back end is cold failed.
func (o *observer) logColdUnknown(backend string, err error) {
	o.logger.Log("event", "cold_unknown", "instance", backend, "error", err)
}

// logInvalidResponse logs bytes of a back end or gate that are not a response.
func (o *observer) logInvalidResponse(v roundtrip.Verdict) {
	o.logger.Log("event", "response_invalid", "request", v.RequestID, "instance", v.Instance, "reader", string(v.Reader), "fault", string(v.Fault), "error", v.Err)
}

// registerQuarantine registers the number of watched and quarantined requests, and of lost evidence.
func (o *observer) registerQuarantine(registry prometheus.Registerer, filter *quarantine.Filter, outbox *quarantine.Outbox) {
	for _, standing := range []quarantine.Standing{quarantine.Watched, quarantine.Quarantined} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bramblelift_suspects", Help: "Requests under which back ends ended, by whether they are watched or kept from back ends.",
			ConstLabels: prometheus.Labels{"standing": standing.String()},
		}, func() float64 { return float64(filter.Count(standing)) }))
	}
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bramblelift_evidence_lost_total", Help: "Ends of back ends and answers to suspects that were not told, since too much waited.",
	}, func() float64 { return float64(outbox.Dropped()) }))
}

// registerLink registers the bytes transferred over the machine's link.
func (o *observer) registerLink(registry prometheus.Registerer, m *link.Meter) {
	for _, peer := range []link.Peer{link.Callers, link.Nodes, link.Control} {
		for direction, read := range map[string]func(link.Peer) int64{"received": m.Received, "sent": m.Sent} {
			registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "bramblelift_link_bytes_total", Help: "Bytes of connections by who is at the other end; those of the back end beside the node count as callers'.",
				ConstLabels: prometheus.Labels{"peer": peer.String(), "direction": direction},
			}, func() float64 { return float64(read(peer)) }))
		}
	}
}

// registerQuotas registers how many calls tenants' limits admit and reject on this node. The metrics have no label
// for the tenant, since there may be thousands.
func (o *observer) registerQuotas(registry prometheus.Registerer, limiter *quota.Limiter) {
	for outcome, read := range map[string]func(quota.Totals) uint64{
		"admitted": func(t quota.Totals) uint64 { return t.Admitted }, "refused": func(t quota.Totals) uint64 { return t.Refused },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "bramblelift_tenant_calls_total", Help: "Calls of tenants that have a limit, by whether it let them in.",
			ConstLabels: prometheus.Labels{"end": outcome},
		}, func() float64 { return float64(read(limiter.Totals())) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramblelift_tenants_limited", Help: "Tenants that are near their limit, of whose calls this node lets in its share only.",
	}, func() float64 { return float64(limiter.Totals().Limited) }))
}

// registerLargeBodies registers how much of the machine's link and of memory large bodies and responses use.
func (o *observer) registerLargeBodies(registry prometheus.Registerer, m *link.Meter, buffer *exchange.ResponseBuffer) {
	for direction, read := range map[string]func() int64{"received": m.ScheduledBodyBytesReceived, "sent": m.LargeResponseBytesSent} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "bramblelift_link_large_bytes_total", Help: "Bytes of large request bodies received and of large answers sent.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(read()) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramblelift_held_answer_bytes", Help: "Bytes of large answers that are held until their callers have read them.",
	}, func() float64 { return float64(buffer.Held()) }))
}

// outcomeAnswered is the label of calls that a back end responded to.
const outcomeAnswered = "answered"

// call counts a finished call, and logs it if it was rejected.
func (o *observer) call(call forward.Call) {
	outcome := outcomeAnswered
	if call.Refused {
		outcome = string(call.Outcome)
	}
	o.calls.WithLabelValues(call.Route, outcome).Inc()
	o.durations.WithLabelValues(outcome).Observe(call.Duration.Seconds())
	o.attempts.WithLabelValues(outcomeAnswered).Add(float64(call.Attempts))
	if !call.Refused {
		return
	}
	o.logger.Log("event", "call_refused", "request", call.RequestID, "route", call.Route, "service", call.Service,
		"tenant", call.Tenant, "version", call.Version, "status", call.Status, "outcome", string(call.Outcome), "step", call.Step,
		"reason", call.Reason, "attempts", call.Attempts, "took", call.Duration.Round(time.Microsecond))
}

// attempt counts an attempt whose response is not returned to the caller, and logs it unless it is retried after
// a busy gate or a gate of another version.
func (o *observer) attempt(a forward.Attempt) {
	o.attempts.WithLabelValues(string(a.Reason)).Inc()
	if a.Retried && (a.Reason.Busy() || a.Reason == exchange.ReasonVersion) {
		return
	}
	o.logger.Log("event", "attempt_failed", "request", a.RequestID, "route", a.Route, "service", a.Service,
		"instance", a.Instance, "try", a.Number, "reason", string(a.Reason), "error", a.Err,
		"running", a.Report.Running, "queued", a.Report.Queued, "capacity", a.Report.Capacity,
		"link_wait", a.Report.LinkWait, "wait", a.Wait.Round(time.Microsecond), "took", a.Elapsed.Round(time.Microsecond), "left", a.Left.Round(time.Millisecond), "again", a.Retried)
}

// congestion records that the link to another region became congested or clear.
func (o *observer) congestion(region string, congestion link.Congestion, rise time.Duration) {
	o.regionDelayRise.WithLabelValues(region).Set(rise.Seconds())
	o.logger.Log("event", "region_crowding", "region", region, "crowding", congestion, "delay_rise", rise.Round(time.Millisecond))
}

// gateCall counts a call at the gate, and logs one that failed there.
func (o *observer) gateCall(call gate.Call) {
	outcome := outcomeAnswered
	if call.Reason != "" {
		outcome = string(call.Reason)
	}
	o.gateCalls.WithLabelValues(outcome).Inc()
	o.gateWaits.Observe(call.Waited.Seconds())
	if call.Reason == "" {
		o.serviceTimes.Observe(call.Service.Seconds())
		return
	}
	if call.Reason.Busy() || call.Reason == exchange.ReasonVersion {
		return
	}
	o.logger.Log("event", "gate_refused", "request", call.RequestID, "instance", call.Backend, "reason", string(call.Reason),
		"error", call.Err, "on_its_way", call.TransitDelay.Round(time.Millisecond), "waited", call.Waited.Round(time.Microsecond), "service", call.Service.Round(time.Microsecond),
		"running", call.Report.Running, "queued", call.Report.Queued, "capacity", call.Report.Capacity, "fingerprint", call.Fingerprint.Short())
}
