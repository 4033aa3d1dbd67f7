package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// shareLease is how long a node applies shares after they were computed; it covers the delivery delay of
	// about 500 ms and one lost ping. surgeLease applies during a surge, since the node requests new shares
	// immediately.
	shareLease = 1200 * time.Millisecond
	surgeLease = 600 * time.Millisecond
	// evenFraction of a rate is spread evenly, so that a node without recent calls can admit a first one.
	evenFraction = 0.1
	// maxTokenTime bounds the saved tokens to those earned in this time, but at least one token, so that short
	// bursts pass.
	maxTokenTime = 300 * time.Millisecond
	// initialTokens is the number of calls that a node admits for a limited tenant without a share.
	initialTokens = 1
	// minRetryAfter and maxRetryAfter bound the retry delay of rejected callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// A node reports a surge immediately, once its calls since the last report exceed the expected ones by
	// surgeCalls and by surgeFraction of the calls allowed in a window. This bounds the unreported calls.
	surgeCalls    = 5
	surgeFraction = 0.02
)

// Config configures a Limiter.
type Config struct {
	// Window is the length of the sliding window in which calls are counted.
	Window time.Duration
	// Life identifies this run of the node's process, uniquely per node.
	Life uint64
	// OnSurge, if set, is called when calls far exceed the last reported rate, to trigger an early report. It
	// must not call the limiter.
	OnSurge func()
}

// Limiter enforces all tenants' limits at one node. It is safe for concurrent use.
type Limiter struct {
	config Config

	mu      sync.Mutex
	tenants map[string]*tenantState
	// sharesAt is when the newest shares were computed, on the callers' clock. It is valid if hasShares is
	// set.
	sharesAt  time.Duration
	hasShares bool
	// nodes is the number of nodes that share the limits, zero if unknown.
	nodes int
	// removed sums the counts of tenants that are no longer configured.
	removed Totals
}

// tenantState is the state of one tenant at this node.
type tenantState struct {
	limit Limit
	share Share
	// reportedRate is the call rate in the last report, rateAtShares that of the last report before the share
	// arrived, to which the share's Asked corresponds.
	reportedRate, rateAtShares float64
	asked                      rateMeter
	used                       slidingWindow
	// tokens is the number of calls that may be admitted while limited, as of tokensAt.
	tokens   float64
	tokensAt time.Duration
	// scheduledRetries estimates how many rejected callers will retry earlier than the next rejected caller.
	scheduledRetries float64
	// callsSinceReport counts calls after the last report at reportedAt.
	callsSinceReport float64
	reportedAt       time.Duration
	// usualRate is the expected rate in calls per second; surged is set once calls exceed it by far.
	usualRate float64
	surged    bool
	// admitted and rejected count since the process started, for metrics.
	admitted, rejected uint64
}

// NewLimiter returns a limiter without tenants.
func NewLimiter(config Config) *Limiter {
	return &Limiter{config: config, tenants: map[string]*tenantState{}}
}

// SetLimits replaces all limits; limits maps tenant names to them. Counts of remaining tenants are kept.
func (l *Limiter) SetLimits(now time.Duration, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, state := range l.tenants {
		if _, kept := limits[name]; !kept {
			l.removed.Admitted += state.admitted
			l.removed.Refused += state.rejected
			delete(l.tenants, name)
		}
	}
	for name, limit := range limits {
		state := l.tenants[name]
		if state == nil {
			l.tenants[name] = &tenantState{limit: limit, tokens: initialTokens, tokensAt: now, share: Share{Tenant: name, Rate: float32(limit.Rate), Part: 1}}
			continue
		}
		state.setLimit(limit)
	}
}

// setLimit replaces the tenant's limit. A lower limit applies immediately; calls admitted under the old limit
// don't count against the new one.
func (s *tenantState) setLimit(limit Limit) {
	if limit == s.limit {
		return
	}
	if limit.Rate < s.limit.Rate {
		s.share.Limited = true
		s.tokens = min(s.tokens, initialTokens)
	}
	s.limit, s.share.Rate = limit, float32(limit.Rate)
	s.used = slidingWindow{}
}

// HasLimits reports whether any tenant has a limit.
func (l *Limiter) HasLimits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tenants) > 0
}

// Admit admits a call or returns the delay after which the caller should retry. Tenants without a limit are
// always admitted. A late call, which can't meet its route's target latency any more, is rejected while the
// tenant's demand exceeds its rate, so that other calls get the rate.
func (l *Limiter) Admit(now time.Duration, tenant string, late bool) (admitted bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.tenants[tenant]
	if state == nil {
		return true, 0
	}
	state.asked.add(now)
	state.callsSinceReport++
	l.detectSurge(now, state)
	if l.unlimited(now, state) {
		state.countAdmitted(now, l.config.Window)
		return true, 0
	}
	rate := l.refillTokens(now, state)
	scarce := state.share.Rate < state.share.Asked
	if state.tokens >= 1 && !(late && scarce) {
		state.tokens--
		state.countAdmitted(now, l.config.Window)
		return true, 0
	}
	state.rejected++
	return false, state.scheduleRetry(rate)
}

func (s *tenantState) countAdmitted(now, window time.Duration) {
	s.admitted++
	s.used.add(now, window, 1)
}

// Return undoes the admission of a call that was not executed.
func (l *Limiter) Return(now time.Duration, tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.tenants[tenant]
	if state == nil {
		return
	}
	state.used.add(now, l.config.Window, -1)
	if !l.unlimited(now, state) {
		state.tokens++
	}
}

// unlimited reports whether the tenant's calls are only counted.
func (l *Limiter) unlimited(now time.Duration, state *tenantState) bool {
	lease := shareLease
	if state.surged {
		lease = surgeLease
	}
	return !state.share.Limited && l.sharesWithin(now, lease)
}

// sharesWithin reports whether the newest shares are at most lease old.
func (l *Limiter) sharesWithin(now, lease time.Duration) bool {
	return l.hasShares && now-l.sharesAt <= lease
}

// rate returns this node's share of a tenant's total rate, in calls per second.
func (l *Limiter) rate(now time.Duration, state *tenantState) float64 {
	if l.nodes == 0 {
		return 0
	}
	all := float64(state.share.Rate)
	if !l.sharesWithin(now, shareLease) {
		all = state.limit.Rate * float64(state.share.Part)
	}
	share := state.share
	share.Rate = float32(all)
	return share.rateAt(state.rateAtShares, l.nodes)
}

// rateAt returns the share of one node with a demand of asked calls per second.
func (s Share) rateAt(asked float64, nodes int) float64 {
	even := 1 / float64(max(1, nodes))
	if s.Asked <= 0 {
		return float64(s.Rate) * even
	}
	return float64(s.Rate) * ((1-evenFraction)*min(1, asked/float64(s.Asked)) + evenFraction*even)
}

// refillTokens adds the tokens earned since the last refill and returns the node's rate.
func (l *Limiter) refillTokens(now time.Duration, state *tenantState) float64 {
	rate := l.rate(now, state)
	earned := rate * max(0, now-state.tokensAt).Seconds()
	state.tokensAt = max(state.tokensAt, now)
	state.tokens = min(max(initialTokens, rate*maxTokenTime.Seconds()), state.tokens+earned)
	state.scheduledRetries = max(0, state.scheduledRetries-earned)
	return rate
}

// scheduleRetry returns the retry delay of a rejected caller; each following caller gets a later time.
func (s *tenantState) scheduleRetry(rate float64) time.Duration {
	missing := 1 - s.tokens + s.scheduledRetries
	s.scheduledRetries++
	if missing >= rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(missing/rate*float64(time.Second)))
}

// detectSurge triggers an early report if calls far exceed the last reported rate.
func (l *Limiter) detectSurge(now time.Duration, state *tenantState) {
	if state.surged || l.config.OnSurge == nil || state.callsSinceReport < surgeCalls {
		return
	}
	expected := state.usualRate * (now - state.reportedAt).Seconds()
	allowed := state.limit.Rate*l.config.Window.Seconds() + state.limit.Burst
	if state.callsSinceReport > expected+max(surgeCalls, surgeFraction*allowed) {
		state.surged = true
		l.config.OnSurge()
	}
}

// Report returns the report for the next ping: tenants with calls in the window, sorted by name.
func (l *Limiter) Report(now time.Duration) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Age: now, Life: l.config.Life}
	for name, state := range l.tenants {
		asked, used := state.asked.rate(now), state.used.sum(now, l.config.Window)
		state.reportedRate = asked
		state.callsSinceReport, state.reportedAt, state.surged = 0, now, false
		state.usualRate = max(asked, used/l.config.Window.Seconds())
		if asked >= minReportedRate || used > 0 {
			report.Uses = append(report.Uses, Use{
				Tenant: name, Asked: float32(asked), Used: float32(used),
				Leaving: float32(state.used.leaving(now, l.config.Window)), Parts: state.used.buckets(now, l.config.Window),
			})
		}
	}
	slices.SortFunc(report.Uses, compareUses)
	return report
}

// minReportedRate is the rate, in calls per second, from which on a tenant without admitted calls is reported.
const minReportedRate = 0.01

// ApplyShares applies shares from a replica. sent is the time of the request or message that they belong to;
// shares.Age is subtracted from it.
func (l *Limiter) ApplyShares(now, sent time.Duration, shares Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := sent - shares.Age
	if !l.hasShares || at > l.sharesAt {
		l.hasShares, l.sharesAt = true, at
	}
	if shares.Nodes > 0 {
		l.nodes = shares.Nodes
	}
	for _, share := range shares.List {
		state := l.tenants[share.Tenant]
		if state == nil {
			continue
		}
		if !l.unlimited(now, state) {
			l.refillTokens(now, state)
		}
		if share.Limited && !state.share.Limited {
			// The new rate already accounts for calls admitted while the tenant was not limited.
			state.tokens, state.tokensAt, state.scheduledRetries = 0, now, 0
		}
		state.share, state.rateAtShares = share, state.reportedRate
		if !share.Limited {
			state.tokens = max(state.tokens, initialTokens)
		}
	}
}

// Totals counts the calls of tenants with a limit that were admitted and rejected since the node started.
type Totals struct {
	Admitted, Refused uint64
	// Limited is the number of tenants that are limited at present.
	Limited int
}

// Totals returns the sums over all tenants, since a metric per tenant could have too many series.
func (l *Limiter) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := l.removed
	for _, state := range l.tenants {
		totals.Admitted += state.admitted
		totals.Refused += state.rejected
		if state.share.Limited {
			totals.Limited++
		}
	}
	return totals
}

// TenantStats describes one tenant's limit and calls at this node, for logs and metrics.
type TenantStats struct {
	Tenant            string
	Limit             Limit
	Limited           bool
	Admitted, Refused uint64
}

// Stats returns the state of all tenants, those with the most rejected calls first.
func (l *Limiter) Stats() []TenantStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]TenantStats, 0, len(l.tenants))
	for name, state := range l.tenants {
		list = append(list, TenantStats{Tenant: name, Limit: state.limit, Limited: state.share.Limited, Admitted: state.admitted, Refused: state.rejected})
	}
	slices.SortFunc(list, func(a, b TenantStats) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Admitted, a.Admitted), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list
}
