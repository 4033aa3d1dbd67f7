package forward

import (
	"errors"
	"slices"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
)

// Parameters of the choice of a gate.
const (
	// maxFreeSlotAttempts is how many gates a call attempts without waiting before it waits at one.
	maxFreeSlotAttempts = 3
	// busyLinkLoad is the load of the node's link above which attempts at other nodes' gates are kept few. At
	// this load a message waits about half as long as the link takes to transfer a large body.
	busyLinkLoad = 0.35
	// maxFullGates is how many gates may report that they are full before a call is rejected while the
	// link is busy.
	maxFullGates = 3
	// ownGateWaitDivisor divides the time left until the target latency to limit the wait at the node's own
	// gate, so that the caller still has time to retry.
	ownGateWaitDivisor = 4
	// scarceRatio is the share of attempts that gates reject above which a free slot is preferred to a
	// fast back end. Calls that wait or take long count as rejected, too.
	scarceRatio = 0.1
	// freeSlotServiceTimes is how many service times of a back end with a free slot must fit into the
	// time left until the target latency.
	freeSlotServiceTimes = 1.4
	// minServiceTime is reserved for the work of a call that waits at a gate.
	minServiceTime = 5 * time.Millisecond
	// A call waits in its own zone only if a response within its target latency is expected:
	// localServiceTimes are reserved for its work, and a ratio of the rest may be spent waiting. The
	// ratio grows with the kilobytes transferred beyond baseKilobytes.
	localServiceTimes         = 1.8
	minLocalWaitRatio         = 0.5
	maxLocalWaitRatio         = 0.9
	localWaitRatioPerKilobyte = 0.1
	baseKilobytes             = 2
	// For bodies larger than largeBodyBytes, localServiceTimesLarge service times are reserved;
	// localWaitRatioLarge of the remaining time until the deadline may be spent waiting in the own zone.
	largeBodyBytes         = 16 << 10
	localServiceTimesLarge = 1.5
	localWaitRatioLarge    = 0.8
	// reservedServiceTimes is the number of mean service times kept free when a call's wait at a gate is
	// limited to the time left until its target latency; a longer wait would also delay the calls behind
	// it. The limit is at least the target latency divided by minWaitDivisor, within the deadline.
	reservedServiceTimes = 1.4
	minWaitDivisor       = 10
	// shortWorkDivisor divides the mean service time: calls shorter than that are exempt from the limit
	// by reservedServiceTimes, since they hardly delay other calls.
	shortWorkDivisor = 3
	// The back end beside the node is preferred if the service time is at most the time left divided by
	// ownGateMaxServiceDivisor.
	ownGateMaxServiceDivisor = 2
	// bodyTimeDivisor divides the time left to limit the transfer time of a large body.
	bodyTimeDivisor = 3
)

// errGatesFull means that at least one gate was full and no other may be attempted.
var errGatesFull = errors.New("the back ends are full")

// chooseGate picks the next gate and how long the call may wait there.
func (g *gatedCall) chooseGate(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	g.linkBusy = g.handler.config.Link.Load(now) > busyLinkLoad
	if g.linkBusy {
		g.throttle = g.handler.throttles.get(g.route.Name, g.targetService)
		return g.chooseOnBusyLink(now)
	}
	return g.chooseOnFreeLink(now)
}

// gateRequest returns the part of the selection request that is independent of the link load.
func (g *gatedCall) gateRequest(now time.Duration) balancer.GateRequest {
	request := balancer.GateRequest{Excluded: g.excluded, Regions: g.route.Regions, Patience: g.maxWait(now), Priority: g.rank(), Repeatable: g.repeatable, LargeResponse: g.largeResponse()}
	request.AvoidedRegions = g.handler.regionDelays.congested(now, g.largeResponse() || g.body.Size() > largeBodyBytes)
	request.Version = g.versionChoice(now)
	if g.countedAttempts == 0 {
		request.OwnGateMaxService = g.ownGateMaxService(now)
	}
	return request
}

// chooseOnFreeLink attempts several gates without waiting, and lets the call wait only if all were full.
func (g *gatedCall) chooseOnFreeLink(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	request := g.gateRequest(now)
	if len(g.full) < maxFreeSlotAttempts && g.countedAttempts < maxGateAttempts {
		request.Excluded = slices.Concat(g.excluded, g.full, g.limited)
		request.LocalWait = g.localWait(now)
		request.LocalGateDecides = g.body.Size() > largeBodyBytes
		if g.largeResponse() {
			request.OwnGateWait = min(request.Patience, max(0, g.targetLeft(now)/ownGateWaitDivisor))
		}
		ticket, wait, err := g.service.pool.AcquireGate(now, request)
		if err == nil || len(g.full)+len(g.limited) == 0 {
			return ticket, wait, err
		}
		request.LocalWait, request.LocalGateDecides = 0, false
	}
	request.Excluded = slices.Concat(g.excluded, g.limited)
	ticket, _, err := g.service.pool.AcquireGate(now, request)
	if err != nil && len(g.limited) > 0 {
		request.Excluded = g.excluded
		ticket, _, err = g.service.pool.AcquireGate(now, request)
	}
	g.finalWait = true
	return ticket, request.Patience, err
}

// chooseOnBusyLink lets the call wait at the gate where it should finish first, because each
// further attempt adds load to the link. Only a call that a gate rejects goes to another one.
func (g *gatedCall) chooseOnBusyLink(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	if len(g.full) >= maxFullGates || g.finalWait {
		return nil, 0, errGatesFull
	}
	request := g.gateRequest(now)
	request.Excluded = slices.Concat(g.excluded, g.full, g.limited)
	request.OwnGateWait = g.ownGateWait(now, request.Patience)
	request.LocalGateDecides = g.body.Size() > largeBodyBytes
	if len(g.full) == 0 {
		request.LocalWait = g.localWait(now)
	}
	if g.throttle.NotGranted(now) > scarceRatio {
		request.FreeSlotMaxService = time.Duration(float64(g.targetLeft(now)) / freeSlotServiceTimes)
	}
	ticket, wait, err := g.service.pool.AcquireGate(now, request)
	if err != nil && len(g.full) > 0 {
		return nil, 0, errGatesFull
	}
	if ticket != nil && !g.isOwnGate(ticket) {
		wait = request.Patience
	}
	return ticket, wait, err
}

// ownGateWait returns how long the call may wait at the node's own gate before others are attempted.
// An attempt there sends no message over the link.
func (g *gatedCall) ownGateWait(now, maxWait time.Duration) time.Duration {
	if g.body.Size() > largeBodyBytes || g.largeResponse() || g.route.TargetLatency == 0 {
		return maxWait
	}
	return min(maxWait, max(0, g.targetLeft(now)/ownGateWaitDivisor))
}

// largeResponse reports whether a large response is expected.
func (g *gatedCall) largeResponse() bool { return g.responseBytes >= exchange.LargeResponse }

// targetLeft returns what is left of the target latency since the caller's first attempt, negative
// if it has passed.
func (g *gatedCall) targetLeft(now time.Duration) time.Duration {
	return g.route.TargetLatency - (now - g.firstAttemptAt)
}

// localWait returns how long the call may wait in its own zone while another zone might serve it at
// once. It grows with the bytes transferred. Only calls with a large body may miss their target
// latency for it.
func (g *gatedCall) localWait(now time.Duration) time.Duration {
	if g.body.Size() > largeBodyBytes {
		left := g.deadline - now - time.Duration(localServiceTimesLarge*float64(g.serviceTime))
		return max(0, time.Duration(localWaitRatioLarge*float64(left)))
	}
	if g.route.TargetLatency == 0 {
		return 0
	}
	kilobytes := float64(g.body.Size()+g.responseBytes) / 1024
	share := min(maxLocalWaitRatio, max(minLocalWaitRatio, minLocalWaitRatio+localWaitRatioPerKilobyte*(kilobytes-baseKilobytes)))
	reserved := time.Duration(localServiceTimes * float64(g.serviceTime))
	return max(0, time.Duration(share*float64(g.targetLeft(now)-reserved)))
}

// ownGateMaxService returns the service time up to which the back end beside the node is preferred.
func (g *gatedCall) ownGateMaxService(now time.Duration) time.Duration {
	left := g.deadline - now
	if g.route.TargetLatency > 0 {
		left = min(left, g.targetLeft(now))
	}
	return left / ownGateMaxServiceDivisor
}

// maxWait returns how long the call may wait at a gate.
func (g *gatedCall) maxWait(now time.Duration) time.Duration {
	left := g.deadline - now
	allowed := left / 2
	if target := g.route.TargetLatency; target > 0 && g.serviceTime*shortWorkDivisor > g.service.pool.MeanServiceTime() {
		reserved := time.Duration(reservedServiceTimes * float64(g.serviceTime))
		allowed = min(allowed, max(g.targetLeft(now)-reserved, target/minWaitDivisor))
	}
	return max(0, min(allowed, left-minServiceTime))
}

// bodyTransferTime returns how long the transfer of a large body may take.
func (g *gatedCall) bodyTransferTime() time.Duration {
	now := g.now()
	left := g.deadline - now
	if g.route.TargetLatency > 0 {
		left = min(left, max(g.targetLeft(now), left/bodyTimeDivisor))
	}
	return left / bodyTimeDivisor
}
