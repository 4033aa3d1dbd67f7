package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

// Names of the invariants.
const (
	invariantVersions     = "no node goes back to an older version"
	invariantDangling     = "no route names a service or secret that the node lacks"
	invariantComplete     = "a version is in force completely or not at all"
	invariantAccepted     = "an accepted version never reverts"
	invariantNotRun       = "a refusal that says not-run did not run"
	invariantOnce         = "a request that must not be repeated runs at most once"
	invariantLeaving      = "a back end known to be leaving receives no new calls"
	invariantLease        = "at most one replica holds the lease"
	invariantLog          = "replicas apply the same history"
	invariantOperators    = "operators' calls are linearizable"
	invariantProgress     = "an accepted version is in force on every reachable node in time"
	invariantRepair       = "a replaced machine becomes a full replica"
	invariantRecovery     = "a process can restart from its durable state"
	invariantPlan         = "every state can be distributed"
	invariantEndpoints    = "a node's endpoints are those of its revision"
	invariantNoRegression = "no endpoint returns to an earlier state within one incarnation"
	invariantSteps        = "the system does not send messages endlessly"
	invariantStop         = "a planned stop finishes the calls in flight"
)

// Violation is one broken invariant, with the virtual time at which it was found.
type Violation struct {
	Invariant string
	At        time.Duration
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s, at %s: %s", v.Invariant, v.At, v.Detail)
}

// createdContent is the content of a version as its operator created it.
type createdContent struct {
	content bundle.Content
	valid   bool
}

// observations is the state of the checkers. It comes from operators, callers and back
// ends, so that the checks do not rely on the code under test.
type observations struct {
	contents map[uint64]createdContent
	// highestAccepted is the highest version whose rollout was confirmed to an operator.
	highestAccepted uint64
	acceptedAt      time.Duration
	// versionInForce is the version in force at each node, across its process runs.
	versionInForce map[string]uint64
	// history is the digest of the state after each applied index, from the first replica
	// that reached it.
	history map[uint64]string
	// endpoints holds the endpoints of each revision, incarnationProgress the latest state
	// of each incarnation, and executionsByCall the executions of each call ID.
	endpoints           map[uint64]distribution.EndpointTable
	incarnationProgress map[string]endpointProgress
	executionsByCall    map[string]int
	operations          []*operationRecord
	leaseHolders        map[*control]bool
	callsEnded          int
	answered            int
	endedCalls          []endedCall
}

func newObservations() *observations {
	return &observations{
		contents: map[uint64]createdContent{}, versionInForce: map[string]uint64{},
		endpoints: map[uint64]distribution.EndpointTable{}, incarnationProgress: map[string]endpointProgress{},
		history: map[uint64]string{}, executionsByCall: map[string]int{}, leaseHolders: map[*control]bool{},
	}
}

func (o *observations) recordContent(sim *simulation, manifest bundle.Manifest, content bundle.Content, valid bool) {
	if !valid {
		sim.violate(invariantDangling, "version %d was created with a dangling route", manifest.Version)
	}
	o.contents[manifest.Version] = createdContent{content: content, valid: valid}
}

func (o *observations) recordAccepted(now time.Duration, version uint64) {
	if version > o.highestAccepted {
		o.highestAccepted = version
		o.acceptedAt = now
	}
}

// observeControl checks the lease and the applied state of a replica and records its
// endpoints. It is called after each advance.
func (c *cluster) observeControl(ctl *control) {
	holds := ctl.replica.Node().LeaseValid(ctl.clock())
	c.leaseHolders[ctl] = holds
	if holds {
		c.checkLease(ctl)
	}
	c.traceReplica(ctl)
	c.recordEndpoints(ctl)
	index := ctl.replica.Applied()
	digest := fmt.Sprintf("head %d revision %d active %d", ctl.replica.Catalog().HeadVersion(), ctl.replica.State().Revision, ctl.replica.State().Position().Active)
	if known, found := c.history[index]; found && known != digest {
		c.simulation.violate(invariantLog, "%s has %q after entry %d, another had %q", ctl.name, digest, index, known)
	}
	c.history[index] = digest
}

// traceReplica logs changes of a replica's role, term or membership.
func (c *cluster) traceReplica(ctl *control) {
	n := ctl.replica.Node()
	var members []string
	for _, member := range n.Membership().Members {
		kind := "voter"
		if member.Learner {
			kind = "learner"
		}
		members = append(members, fmt.Sprintf("%s/%d/%s", member.Name, member.ID%1000, kind))
	}
	line := fmt.Sprintf("%s is %s in term %d with %v", ctl.name, n.Role(), n.Term(), members)
	if line != ctl.lastTraceLine {
		ctl.lastTraceLine = line
		c.simulation.log("%s commit %d last %d", line, n.Commit(), n.LastIndex())
	}
}

// checkLease checks that no other replica has a valid lease at the same time.
func (c *cluster) checkLease(holder *control) {
	for _, other := range c.controls {
		if other == holder || !other.running || other.frozen || other.replica == nil {
			continue
		}
		if other.replica.Node().LeaseValid(other.clock()) {
			c.simulation.violate(invariantLease, "%s (term %d) and %s (term %d)", holder.name, holder.replica.Node().Term(), other.name, other.replica.Node().Term())
		}
	}
}

func (c *cluster) clearLease(ctl *control) { delete(c.leaseHolders, ctl) }

// observeNode checks each state before a node puts it in force.
func (c *cluster) observeNode(n *node, state *distribution.State) {
	version := state.Active.Manifest.Version
	if version < c.versionInForce[n.name] {
		c.simulation.violate(invariantVersions, "%s went from %d to %d", n.name, c.versionInForce[n.name], version)
	}
	if version != c.versionInForce[n.name] {
		c.simulation.log("%s has version %d in force", n.name, version)
	}
	c.versionInForce[n.name] = version
	c.checkDangling(n, state.Active.Content)
	c.checkComplete(n, version, state.Active.Content)
	c.checkEndpoints(n, state)
}

// checkDangling checks that a node has every service and secret that its routes name.
func (c *cluster) checkDangling(n *node, content bundle.Content) {
	services, secrets := map[string]bool{}, map[string]bool{"": true}
	for _, service := range content.Services {
		services[service.Name] = true
	}
	for _, secret := range content.Secrets {
		secrets[secret.Name] = true
	}
	for _, route := range content.Routes {
		if !services[route.Service] || !secrets[route.Secret] {
			c.simulation.violate(invariantDangling, "%s: route %s", n.name, route.Name)
		}
	}
}

// checkComplete compares a node's content with what the operator created. Versions whose
// creation was not confirmed are unknown here.
func (c *cluster) checkComplete(n *node, version uint64, content bundle.Content) {
	known, found := c.contents[version]
	if !found {
		return
	}
	want, wantErr := json.Marshal(expectedScope(known.content, n.group))
	got, gotErr := json.Marshal(content)
	if wantErr != nil || gotErr != nil || string(want) != string(got) {
		c.simulation.violate(invariantComplete, "%s: version %d is %s, approved was %s", n.name, version, got, want)
	}
}

// expectedScope computes a group's part of a content independently of the product's
// code, in the normalized order.
func expectedScope(whole bundle.Content, group string) bundle.Content {
	part := bundle.Content{HandBack: whole.HandBack}
	usedServices, usedSecrets := map[string]bool{}, map[string]bool{}
	for _, route := range whole.Routes {
		served := len(route.Sources) == 0
		for _, source := range route.Sources {
			served = served || source == group
		}
		if served {
			part.Routes = append(part.Routes, route)
			usedServices[route.Service], usedServices[route.HandBackService] = true, true
			usedSecrets[route.Secret] = true
		}
	}
	for _, service := range whole.Services {
		if usedServices[service.Name] {
			part.Services = append(part.Services, service)
		}
	}
	for _, secret := range whole.Secrets {
		if usedSecrets[secret.Name] {
			part.Secrets = append(part.Secrets, secret)
		}
	}
	return part
}

func (c *cluster) observeExecution(callID string, b *backend) {
	c.executionsByCall[callID]++
	c.simulation.log("%s is executed at %s", callID, b.name)
}

// observeAttempt checks, when a node sends an attempt to a back end, that the node does
// not know it to be leaving.
func (c *cluster) observeAttempt(n *node, ticket *balancer.Ticket) {
	if n.knownLeaving[incarnationKey(ticket.ID, ticket.Incarnation)] {
		c.simulation.violate(invariantLeaving, "%s sends a call to %s, which it knows to be leaving", n.name, ticket.ID)
	}
}

// observeCall records the outcome of a call that has ended for its caller.
func (c *cluster) observeCall(id string, once bool, outcome string, answered bool) {
	c.callsEnded++
	if answered {
		c.answered++
	}
	c.simulation.log("%s ends: answered=%t outcome=%s", id, answered, outcome)
	// A back end may still execute a call after its node has timed out, so calls are
	// checked at the end of the run.
	c.endedCalls = append(c.endedCalls, endedCall{id: id, once: once, outcome: outcome})
}

type endedCall struct {
	id      string
	once    bool
	outcome string
}

// checkCalls compares the outcome of every ended call with the back ends' executions.
func (c *cluster) checkCalls() {
	for _, call := range c.endedCalls {
		runs := c.executionsByCall[call.id]
		if call.outcome == "not-run" && runs > 0 {
			c.simulation.violate(invariantNotRun, "%s ran %d times", call.id, runs)
		}
		if call.once && runs > 1 {
			c.simulation.violate(invariantOnce, "%s ran %d times", call.id, runs)
		}
	}
}
