package forward

import (
	"errors"
	"slices"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
)

// Bounds of the choice of a gate.
const (
	// freeTries is how many gates are asked for a free slot before the call waits at one.
	freeTries = 3
	// busyLink is from which load of the node's link on an ask is dear. At this load a message
	// waits about half as long as the link takes for a large body.
	busyLink = 0.35
	// maxFull is how many gates may say that they are full on a busy link before the call is
	// refused.
	maxFull = 3
	// ownWaitShare of the time left until the target latency is what a call may wait at the gate
	// beside the node. A refusal within a quarter of that time leaves the caller time to try again.
	ownWaitShare = 4
	// scarceShare is from which share of asks on that were not granted, or not yet, a slot that
	// is free counts more than how fast its back end is. Calls that wait or take long count, too.
	scarceShare = 0.1
	// freeServices of such a back end's service times must fit into the time until the target.
	freeServices = 1.4
	// minServiceLeft is kept of a call's time for its work when it waits at a gate.
	minServiceLeft = 5 * time.Millisecond
	// A call waits in its own zone if it is expected to be answered within its target
	// latency all the same: localServices are the service times reserved for the work, the
	// share is the part of the rest that may be waited. It grows with what the call moves
	// beyond freeKilobytes.
	localServices         = 1.8
	minLocalShare         = 0.5
	maxLocalShare         = 0.9
	localSharePerKilobyte = 0.1
	freeKilobytes         = 2
	// A large body may wait for a share of the time that the caller leaves.
	largeBody          = 16 << 10
	localServicesLarge = 1.5
	localShareLarge    = 0.8
	// Under overload a call waits no longer than it can and still be answered within its
	// target latency: what waits longer is late, and makes those behind it late, too.
	patienceServices = 1.4
	minPatienceShare = 10
	// Calls that take less than this share of the mean at their back ends may wait longer:
	// the slots are held by longer ones, and they themselves delay hardly anybody.
	shortWorkShare = 3
	// ownWorkShare of the time in which a call should be answered may be the service time of
	// the back end beside the node for it to be preferred.
	ownWorkShare = 2
	// bodyShare of the time left is what a large body may take on its way.
	bodyShare = 3
)

// errAllFull: several gates in a row had no room for the call in its time.
var errAllFull = errors.New("the back ends are full")

// choose picks the next gate and how long the call may wait there. How it searches depends on what
// an ask costs.
func (g *gatedCall) choose(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	g.linkBusy = g.handler.config.Link.Load(now) > busyLink
	if g.linkBusy {
		g.throttle = g.handler.asks.of(g.route.Name, g.target)
		return g.chooseOnBusyLink(now)
	}
	return g.chooseFree(now)
}

// gateRequest is what both searches have in common.
func (g *gatedCall) gateRequest(now time.Duration) balancer.GateRequest {
	request := balancer.GateRequest{LeftOut: g.done, Regions: g.route.Regions, Patience: g.patience(now), Repeatable: g.safe, LargeAnswer: g.largeAnswer()}
	request.Spared = g.handler.far.spared(now, g.largeAnswer() || g.body.Size() > largeBody)
	request.Version = g.versionChoice(now)
	if g.tries == 0 {
		request.OwnWork = g.ownWork(now)
	}
	return request
}

// chooseFree asks several gates for a free slot, and lets the call wait only when they had none.
func (g *gatedCall) chooseFree(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	request := g.gateRequest(now)
	if len(g.full) < freeTries && g.tries < maxGateTries {
		request.LeftOut = slices.Concat(g.done, g.full)
		request.LocalWait = g.localWait(now)
		request.AskLocal = g.body.Size() > largeBody
		if g.largeAnswer() {
			request.OwnWait = min(request.Patience, max(0, g.targetLeft(now)/ownWaitShare))
		}
		ticket, wait, err := g.service.pool.AcquireGate(now, request)
		if err == nil || len(g.full) == 0 {
			return ticket, wait, err
		}
		request.LeftOut, request.LocalWait, request.AskLocal = g.done, 0, false
	}
	ticket, _, err := g.service.pool.AcquireGate(now, request)
	g.lastChance = true
	return ticket, request.Patience, err
}

// chooseOnBusyLink lets the call wait where it is expected to be done first: each ask takes room
// on a link that has little, and comes back late. Only what a gate says that it cannot serve in
// time goes on to another, of any zone.
func (g *gatedCall) chooseOnBusyLink(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	if len(g.full) >= maxFull || g.lastChance {
		return nil, 0, errAllFull
	}
	request := g.gateRequest(now)
	request.LeftOut = slices.Concat(g.done, g.full)
	request.OwnWait = g.ownWait(now, request.Patience)
	request.AskLocal = g.body.Size() > largeBody
	if len(g.full) == 0 {
		request.LocalWait = g.localWait(now)
	}
	if g.throttle.NotGranted(now) > scarceShare {
		request.FreeWork = time.Duration(float64(g.targetLeft(now)) / freeServices)
	}
	ticket, wait, err := g.service.pool.AcquireGate(now, request)
	if err != nil && len(g.full) > 0 {
		return nil, 0, errAllFull
	}
	if ticket != nil && !g.besideNode(ticket) {
		wait = request.Patience
	}
	return ticket, wait, err
}

// ownWait is how long the call may wait at the gate beside the node before others are asked: that
// costs no message, and a large body does not cross the link again.
func (g *gatedCall) ownWait(now, patience time.Duration) time.Duration {
	if g.body.Size() > largeBody || g.largeAnswer() || g.route.TargetLatency == 0 {
		return patience
	}
	return min(patience, max(0, g.targetLeft(now)/ownWaitShare))
}

// largeAnswer reports whether the call's answer is expected to be large.
func (g *gatedCall) largeAnswer() bool { return g.answerBytes >= exchange.LargeAnswer }

// targetLeft is what is left of the route's target latency since the caller first tried, negative
// if that has passed.
func (g *gatedCall) targetLeft(now time.Duration) time.Duration {
	return g.route.TargetLatency - (now - g.begun)
}

// localWait is how long the call may wait in its own zone while another zone might take it
// at once: the more bytes it moves, the longer. One with a large body may become late for
// it; any other must still be answered within its target latency.
func (g *gatedCall) localWait(now time.Duration) time.Duration {
	if g.body.Size() > largeBody {
		left := g.deadline - now - time.Duration(localServicesLarge*float64(g.work))
		return max(0, time.Duration(localShareLarge*float64(left)))
	}
	if g.route.TargetLatency == 0 {
		return 0
	}
	kilobytes := float64(g.body.Size()+g.answerBytes) / 1024
	share := min(maxLocalShare, max(minLocalShare, minLocalShare+localSharePerKilobyte*(kilobytes-freeKilobytes)))
	reserved := time.Duration(localServices * float64(g.work))
	return max(0, time.Duration(share*float64(g.targetLeft(now)-reserved)))
}

// ownWork is up to which service time the back end beside the node may take the call: it must
// be answered within its target latency with some certainty.
func (g *gatedCall) ownWork(now time.Duration) time.Duration {
	left := g.deadline - now
	if g.route.TargetLatency > 0 {
		left = min(left, g.targetLeft(now))
	}
	return left / ownWorkShare
}

// patience is how long the call may wait at a gate.
func (g *gatedCall) patience(now time.Duration) time.Duration {
	left := g.deadline - now
	allowed := left / 2
	if target := g.route.TargetLatency; target > 0 && g.work*shortWorkShare > g.service.pool.MeanService() {
		reserved := time.Duration(patienceServices * float64(g.work))
		allowed = min(allowed, max(g.targetLeft(now)-reserved, target/minPatienceShare))
	}
	return max(0, min(allowed, left-minServiceLeft))
}

// bodyTime is how long a large body may take on its way: a share of the time until the call
// should be answered.
func (g *gatedCall) bodyTime() time.Duration {
	now := g.now()
	left := g.deadline - now
	if g.route.TargetLatency > 0 {
		left = min(left, max(g.targetLeft(now), left/bodyShare))
	}
	return left / bodyShare
}
