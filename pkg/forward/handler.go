package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"
	"bramblelift/pkg/pipeline"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/settings"
)

// Limits and timeouts of forwarding.
const (
	maxAttempts = 3
	// maxSlotWait limits how long after its arrival a call waits for a free back end, over all
	// attempts; slotWaitDivisor limits it to a part of the time until the deadline.
	maxSlotWait     = 100 * time.Millisecond
	slotWaitDivisor = 8
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	// saturatedRetry is the Retry-After if all back ends are at their limit, unavailableRetry that of
	// other rejections for which no better delay is known.
	saturatedRetry   = time.Second
	unavailableRetry = 2 * time.Second
	// unconfirmedRetry is the Retry-After of a node whose configuration is unconfirmed; it covers a
	// change of its control server.
	unconfirmedRetry = 300 * time.Millisecond
)

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Node string
	Zone string
	// Region is the region of the zone, empty if regions are not configured.
	Region string
	// Now returns the process's monotonic clock.
	Now   func() time.Duration
	Retry retry.Config
	// DeclinedRetries limits retries of calls that a back end declined.
	DeclinedRetries retry.Config
	// OnCall, if set, is called after each call.
	OnCall func(Call)
	// Headers are the header names of calls; the zero value has defaults.
	Headers settings.Headers
	// Service is the service of the node's own callers.
	Service string
	// GateAddress is the address of the node's own gate. Gate, if set, is called directly for calls to
	// the own gate, without a connection; its second argument is the buffered part of the request body.
	GateAddress string
	Gate        func(*http.Request, *exchange.Body) *http.Response
	// SenderReport, if set, returns the load report of the back end beside the node for calls to other nodes.
	SenderReport func() string
	// CallsEndBy, if set, returns when the calls of a stopping process must have ended, zero if it does not stop. Calls
	// with a later deadline are rejected.
	CallsEndBy func() time.Duration
	// ConfirmedAt, if set, returns when the table was last confirmed to be the newest, false if never.
	// StaleLimit is the age of that confirmation up to which unknown paths and keys are rejected
	// permanently; beyond it the caller is asked to retry.
	ConfirmedAt func() (time.Duration, bool)
	StaleLimit  time.Duration
	// Link, if set, measures the traffic of connections to gates.
	Link *link.Meter
	// Pacer, if set, paces large request bodies.
	Pacer *exchange.Pacer
	// ResponsePacer, if set, paces large responses.
	ResponsePacer *exchange.Pacer
	// ResponseBuffer, if set, limits the memory for buffered responses.
	ResponseBuffer *exchange.ResponseBuffer
	// Quarantine matches suspect and quarantined requests; nil matches none.
	Quarantine *quarantine.Filter
	// OnCrash, if set, is called when a back end without a gate crashed during a call, OnSuspectResponse when
	// one responded to a suspect request. Gates report theirs themselves.
	OnCrash           func(quarantine.End)
	OnSuspectResponse func(quarantine.Answer)
	// BackendHost is the source address of calls by the back end beside the node. RetryShare, if set,
	// returns the share of retries among the calls that are in flight there.
	BackendHost netip.Addr
	RetryShare  func() float64
	// OnCongestion, if set, is called when the congestion of the link to another region changes; rise is
	// the increase of its delay.
	OnCongestion func(region string, congestion link.Congestion, rise time.Duration)
	// Quotas, if set, enforce the tenants' rate limits.
	Quotas Quotas
	// KeysStaleLimit is the maximum age of the configuration for calls that need a key, zero for no limit.
	KeysStaleLimit time.Duration
	// OnAttempt, if set, is called after each attempt at a gate, except one whose response is returned.
	OnAttempt func(Attempt)
	// OnInvalidResponse, if set, is called when a gate, or a back end without one, sent bytes that are not a response.
	OnInvalidResponse func(roundtrip.Verdict)
}

// Attempt describes one attempt at a gate, for logs and metrics.
type Attempt struct {
	RequestID string
	Route     string
	Service   string
	Instance  string
	Number    int
	Reason    exchange.Reason
	Status    int
	Err       error
	Report    exchange.Report
	Wait      time.Duration
	Elapsed   time.Duration
	Left      time.Duration
	Retried   bool
}

// Call describes a finished call, for logs and metrics.
type Call struct {
	RequestID string
	// Version is the configuration's. Step and Reason state where and why the call was rejected.
	Version uint64
	Step    string
	Reason  string
	Service string
	Route   string
	// Tenant is empty if the call has none.
	Tenant   string
	Status   int
	Attempts int
	Refused  bool
	Outcome  Outcome
	Duration time.Duration
}

// service holds the back ends of a service, their connections and retry budgets.
type service struct {
	pool      *balancer.Pool
	transport *roundtrip.Transport
	// budget limits retries after failures, declinedRetries those of calls that a back end declined, which are
	// cheap for it.
	budget          *retry.Budget
	declinedRetries *retry.Budget
	tracker         rolloutTracker
}

// snapshot is a routing table with its services. It is replaced as a whole.
type snapshot struct {
	table    *routing.Table
	services map[string]*service
}

// Handler forwards calls according to the newest routing table. It is an http.Handler.
type Handler struct {
	config      Config
	snapshot    atomic.Pointer[snapshot]
	mu          sync.Mutex
	gates       *roundtrip.Transport
	serviceTime *serviceTimes
	// throttles limit attempts at gates that reject most calls.
	throttles *throttles
	// callerTimeouts estimate how long ago a retrying caller made its first attempt.
	callerTimeouts *callerTimeouts
	regionDelays   *regionDelays
	// statements holds what back ends have stated about themselves in responses.
	statements *balancer.Statements
	// clockID identifies the handler's clock to gates.
	clockID uint32
}

// New returns a handler that rejects every call until SetTable.
func New(config Config) *Handler {
	if config.Headers.Deadline == "" {
		config.Headers.Deadline = exchange.HeaderTimeout
	}
	h := &Handler{config: config, gates: newGateTransport(config.Link), serviceTime: newServiceTimes(), throttles: newThrottles(), callerTimeouts: newCallerTimeouts(),
		regionDelays: newRegionDelays(config.OnCongestion), clockID: rand.Uint32(),
		statements: balancer.NewStatements()}
	return h
}

// SetTable replaces the routing table. Calls in flight keep the old one.
func (h *Handler) SetTable(table *routing.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.snapshot.Load()
	next := &snapshot{table: table, services: make(map[string]*service, len(table.Services))}
	for _, definition := range table.Services {
		svc := old.service(definition.Name)
		if svc == nil {
			svc = h.newService(definition)
		}
		svc.pool.Update(h.config.Now(), definition)
		svc.tracker.update(h.config.Now(), definition.Rollout)
		next.services[definition.Name] = svc
	}
	h.snapshot.Store(next)
	h.serviceTime.prune(table.HasRoute)
	h.throttles.prune(table.HasRoute)
	h.callerTimeouts.prune(table.HasRoute)
	h.closeUnused(old, next)
}

func (s *snapshot) service(name string) *service {
	if s == nil {
		return nil
	}
	return s.services[name]
}

func (h *Handler) closeUnused(old, next *snapshot) {
	if old == nil {
		return
	}
	for name, svc := range old.services {
		if next.services[name] == nil {
			svc.transport.CloseIdleConnections()
		}
	}
}

func (h *Handler) newService(definition routing.Service) *service {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connections := definition.MaxConnections
	if connections == 0 {
		connections = max(definition.MaxConcurrency, balancer.DefaultConcurrency)
	}
	return &service{
		pool:   balancer.NewPool(balancer.Config{Node: h.config.Node, Zone: h.config.Zone, Region: h.config.Region, OwnGate: h.config.GateAddress, Random: rand.IntN, Statements: h.statements}),
		budget: retry.NewBudget(h.config.Retry), declinedRetries: retry.NewBudget(h.config.DeclinedRetries),
		transport: roundtrip.New(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}),
	}
}

// Version returns the version of the active configuration, zero for none.
func (h *Handler) Version() uint64 {
	if current := h.snapshot.Load(); current != nil {
		return current.table.Version
	}
	return 0
}

// KnowsService reports whether the table has the service; true if there is no table.
func (h *Handler) KnowsService(name string) bool {
	current := h.snapshot.Load()
	return current == nil || current.service(name) != nil
}

// Pools returns the status of each service's back ends.
func (h *Handler) Pools() map[string][]balancer.Status {
	current := h.snapshot.Load()
	if current == nil {
		return nil
	}
	pools := map[string][]balancer.Status{}
	for name, svc := range current.services {
		pools[name] = svc.pool.Status(h.config.Now())
	}
	return pools
}

// MayRunConcurrently reports whether a call may run concurrently with others of its connection, because
// it may run more than once.
func (h *Handler) MayRunConcurrently(r *http.Request) bool {
	current := h.snapshot.Load()
	if current == nil {
		return false
	}
	route, found := current.table.MatchURL(r.Host, r.URL)
	return found && mayRepeat(route, r.Method)
}

// call is the state of one call.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	route   routing.Route
	// tenant is nil for a call without one; quotaCharged is set once the call was counted
	// against the tenant's limit.
	tenant        *routing.Tenant
	credential    credential
	quotaCharged  bool
	service       *service
	targetService string
	version       uint64
	body          *replayBody
	deadline      time.Duration
	// watched is set if the call, to a back end without a gate, matched a suspect when it arrived.
	watched bool
	// repeatable is set if the call may run more than once, so that it may be retried whatever the
	// outcome of earlier attempts.
	repeatable bool
	// attempts counts the attempts that reached a back end; without gates also failed connections.
	attempts    int
	outcomes    OutcomeRecord
	excludedIDs []string
	// arrivedAt is when the node received the call, firstAttemptAt when the caller is estimated to have
	// made its first attempt.
	arrivedAt      time.Duration
	firstAttemptAt time.Duration
	status         int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{handler: h, writer: w, request: r, arrivedAt: h.config.Now() - pipeline.Waited(r)}
	refusal := c.serve()
	c.refundQuota(refusal)
	if refusal != nil {
		refusal.write(w)
		c.status = refusal.Status
	}
	h.reportCall(c, refusal)
}

func (h *Handler) reportCall(c *call, refusal *Refusal) {
	if h.config.OnCall == nil {
		return
	}
	report := Call{
		RequestID: c.request.Header.Get(h.config.Headers.RequestID), Version: c.version, Service: c.targetService,
		Route: c.route.Name, Tenant: c.tenantName(), Status: c.status, Attempts: c.attempts,
		Duration: h.config.Now() - c.arrivedAt,
	}
	if refusal != nil {
		report.Refused = true
		report.Outcome = refusal.Outcome
		report.Step, report.Reason = refusal.Step, refusal.Reason
	}
	h.config.OnCall(report)
}

// serve responds to the call, or returns how it must be rejected.
func (c *call) serve() *Refusal {
	current := c.handler.snapshot.Load()
	if current == nil {
		return &Refusal{Outcome: NotRun, Step: "configuration", Reason: "the node holds no configuration yet",
			Status: http.StatusServiceUnavailable, RetryAfter: unavailableRetry}
	}
	c.version = current.table.Version
	route, found := current.table.MatchURL(c.request.Host, c.request.URL)
	if !found {
		return c.handler.noRoute()
	}
	c.route = route
	if refusal := c.identifyTenant(current.table); refusal != nil {
		return refusal
	}
	c.targetService = route.Pick(rand.Float64())
	c.service = current.services[c.targetService]
	c.repeatable = mayRepeat(route, c.request.Method)
	timeout := c.timeout()
	if timeout <= 0 {
		return &Refusal{Outcome: NotRun, Step: "deadline", Reason: "the deadline has passed", Status: http.StatusGatewayTimeout}
	}
	c.deadline = c.arrivedAt + timeout
	c.firstAttemptAt = c.arrivedAt - c.age()
	if refusal := c.limitBody(current.table.Limits.MaxBodyBytes); refusal != nil {
		return refusal
	}
	if refusal := c.rejectIfOutlastsProcess(); refusal != nil {
		return refusal
	}
	if refusal := c.chargeQuota(); refusal != nil {
		return refusal
	}
	if c.service.pool.Gated() {
		return c.serveThroughGates(timeout)
	}
	body, err := newReplayBody(c.request)
	if err != nil {
		return &Refusal{Outcome: NotRun, Step: "request body", Reason: err.Error(), Status: http.StatusBadRequest}
	}
	c.body = body
	match := c.matchQuarantine(body.data)
	if match.Standing == quarantine.Quarantined {
		return quarantineRefusal(match)
	}
	c.watched = match.Standing == quarantine.Watched
	ctx, cancel := context.WithTimeout(c.request.Context(), timeout)
	defer cancel()
	c.service.budget.Attempt(c.arrivedAt)
	c.service.declinedRetries.Attempt(c.arrivedAt)
	return c.attemptUntilDone(ctx)
}

// noRoute rejects a call that matches no route.
func (h *Handler) noRoute() *Refusal {
	return h.retryableIfStale(&Refusal{Outcome: NotRun, Step: "route", Reason: "no route takes this path", Status: http.StatusNotFound})
}

// retryableIfStale turns a permanent rejection into a temporary one if the configuration may be out
// of date.
func (h *Handler) retryableIfStale(refusal *Refusal) *Refusal {
	if h.config.ConfirmedAt == nil {
		return refusal
	}
	if stale, confirmed := h.staleness(); !confirmed || stale > h.config.StaleLimit {
		refusal.Status, refusal.RetryAfter, refusal.Fractions = http.StatusServiceUnavailable, unconfirmedRetry, true
		refusal.Reason += " (" + formatStaleness(stale, confirmed) + ")"
	}
	return refusal
}

// staleness returns the time since the configuration was last confirmed to be the newest, false if never.
func (h *Handler) staleness() (stale time.Duration, confirmed bool) {
	if h.config.ConfirmedAt == nil {
		return 0, false
	}
	at, confirmed := h.config.ConfirmedAt()
	return h.config.Now() - at, confirmed
}

func formatStaleness(stale time.Duration, confirmed bool) string {
	return fmt.Sprintf("confirmed=%t stale=%s", confirmed, stale.Round(time.Millisecond))
}

// limitBody rejects a body of more than limit bytes, zero for no limit. A body of unknown length is
// cut off there.
func (c *call) limitBody(limit int64) *Refusal {
	if limit == 0 {
		return nil
	}
	if c.request.ContentLength > limit {
		return &Refusal{Outcome: NotRun, Step: "request body", Reason: fmt.Sprintf("more than %d bytes", limit),
			Status: http.StatusRequestEntityTooLarge}
	}
	c.request.Body = http.MaxBytesReader(c.writer, c.request.Body, limit)
	return nil
}

// rejectIfOutlastsProcess rejects a call whose deadline is after the process stops.
func (c *call) rejectIfOutlastsProcess() *Refusal {
	if c.handler.config.CallsEndBy == nil {
		return nil
	}
	endBy := c.handler.config.CallsEndBy()
	if endBy == 0 || c.deadline < endBy {
		return nil
	}
	return &Refusal{Outcome: NotRun, Step: "stop", Reason: "the node stops before the call's time is up",
		Status: http.StatusServiceUnavailable, RetryAfter: minGateRetry, Fractions: true}
}

// timeout returns the smaller of the caller's and the route's timeout.
func (c *call) timeout() time.Duration {
	requested, ok := c.callerTimeout()
	if ok && requested < c.route.Timeout {
		return requested
	}
	return c.route.Timeout
}

// callerTimeout returns the timeout in the caller's header, false if there is none.
func (c *call) callerTimeout() (time.Duration, bool) {
	millis, err := strconv.ParseInt(c.request.Header.Get(c.handler.config.Headers.Deadline), 10, 64)
	return time.Duration(millis) * time.Millisecond, err == nil
}

// age estimates how long before this request the caller made its first attempt.
func (c *call) age() time.Duration {
	timeout, ok := c.callerTimeout()
	if !ok {
		return 0
	}
	return c.handler.callerTimeouts.age(c.route.Name, timeout)
}

// mayRepeat reports whether a call may run more than once.
func mayRepeat(route routing.Route, method string) bool {
	switch {
	case route.Once || route.Kind == bundle.KindUnsafe || route.Kind == bundle.KindUpload:
		return false
	case route.Kind.Repeatable():
		return true
	}
	return isSafe(method)
}

func (c *call) attemptUntilDone(ctx context.Context) *Refusal {
	for {
		ticket, refusal := c.acquire(ctx)
		if refusal != nil {
			return refusal
		}
		c.attempts++
		failure := c.attempt(ctx, ticket)
		if failure == nil {
			return nil
		}
		c.outcomes.Note(failure.outcome)
		if !c.mayRetry(ctx, failure) {
			return failure.refusal(c.outcomes.Refusal())
		}
		c.excludedIDs = append(c.excludedIDs, ticket.ID)
	}
}

// acquire waits for a back end for the next attempt.
func (c *call) acquire(ctx context.Context) (*balancer.Ticket, *Refusal) {
	waited := c.handler.config.Now() - c.arrivedAt
	wait := max(0, min(maxSlotWait, (c.deadline-c.arrivedAt)/slotWaitDivisor)-waited)
	ticket, err := c.service.pool.Acquire(ctx.Done(), c.handler.config.Now, wait, c.excludedIDs, c.route.Regions)
	if err == nil {
		return ticket, nil
	}
	refusal := &Refusal{Outcome: c.outcomes.Refusal(), Step: "choose back end", Reason: fmt.Sprintf("service %s: %v", c.targetService, err),
		Status: http.StatusServiceUnavailable, RetryAfter: unavailableRetry}
	if errors.Is(err, balancer.ErrSaturated) {
		refusal.RetryAfter = saturatedRetry
	}
	return nil, refusal
}

// mayRetry decides on another attempt and withdraws it from the budget.
func (c *call) mayRetry(ctx context.Context, failure *attemptFailure) bool {
	// A suspect request is not retried, because it might crash another back end.
	if c.matchQuarantine(c.body.data).Standing != quarantine.Unsuspected || c.keyRevoked() {
		return false
	}
	permitted := MayRetry(RetryState{
		Outcome: failure.outcome, Repeatable: c.repeatable, BodyReplayable: c.body.replayable(),
		RetriedBefore: c.request.Header.Get(HeaderRetry) != "",
		Attempts:      c.attempts, Expired: ctx.Err() != nil,
	})
	if !permitted {
		return false
	}
	if failure.declined() {
		return c.service.declinedRetries.Withdraw(c.handler.config.Now())
	}
	return c.service.budget.Withdraw(c.handler.config.Now())
}

// UpdateReport records the load report of a back end that came with a call from the node beside it.
func (h *Handler) UpdateReport(service string, sender exchange.Sender) {
	if svc := h.snapshot.Load().service(service); svc != nil {
		svc.pool.UpdateReport(h.config.Now(), sender)
	}
}
