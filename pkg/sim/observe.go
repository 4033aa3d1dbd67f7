package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

// Names of the invariants that the simulator checks.
const (
	invariantVersions  = "no node goes back to an older version"
	invariantDangling  = "no route points at a service or secret that the node lacks"
	invariantPartial   = "a version is in force whole or not at all"
	invariantAccepted  = "an accepted version never reverts"
	invariantNotRun    = "a refusal that says not-run did not run"
	invariantOnce      = "a request that must not be repeated runs at most once"
	invariantLeaving   = "a back end known to leave receives no new work"
	invariantLease     = "at most one replica holds the lease"
	invariantLog       = "replicas apply the same history"
	invariantOperators = "operators' calls are linearizable"
	invariantProgress  = "an accepted version is in force on every reachable node in time"
	invariantRepair    = "a replaced machine becomes a full replica"
	invariantRecovery  = "a process can start from what it made durable"
	invariantPlan      = "every state can be distributed"
	invariantEndpoints = "a node's endpoints are those of its revision"
	invariantNoWayBack = "no endpoint comes back within one incarnation"
	invariantSteps     = "the system does not send messages without end"
	invariantStop      = "a planned stop finishes the calls under way"
)

// Violation is one broken invariant.
type Violation struct {
	Invariant string
	At        time.Duration
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s, at %s: %s", v.Invariant, v.At, v.Detail)
}

// knownContent is a bundle as its operator made it.
type knownContent struct {
	content bundle.Content
	valid   bool
}

// observations is what the checkers remember. They compare with what operators and
// callers know, not with the product's own opinion.
type observations struct {
	contents map[uint64]knownContent
	// acceptedHighest is the highest version whose roll was answered.
	acceptedHighest uint64
	acceptedAt      time.Duration
	// inForce is the version in force at each node, over all its lives.
	inForce map[string]uint64
	// history is the digest of the state after each applied index, as the first
	// replica to reach it had it.
	history map[uint64]string
	// endpoints are those of each revision, endpointLives how far each incarnation
	// has come.
	endpoints     map[uint64]distribution.EndpointTable
	endpointLives map[string]endpointLife
	executions    map[string]int
	operations    []*operationRecord
	leases        map[*control]bool
	callsEnded    int
	answered      int
	ended         []endedCall
}

func newObservations() *observations {
	return &observations{
		contents: map[uint64]knownContent{}, inForce: map[string]uint64{},
		endpoints: map[uint64]distribution.EndpointTable{}, endpointLives: map[string]endpointLife{},
		history: map[uint64]string{}, executions: map[string]int{}, leases: map[*control]bool{},
	}
}

func (o *observations) rememberContent(w *world, manifest bundle.Manifest, content bundle.Content, valid bool) {
	if !valid {
		w.violate(invariantDangling, "version %d was created with a dangling route", manifest.Version)
	}
	o.contents[manifest.Version] = knownContent{content: content, valid: valid}
}

func (o *observations) accepted(now time.Duration, version uint64) {
	if version > o.acceptedHighest {
		o.acceptedHighest = version
		o.acceptedAt = now
	}
}

// observeControl is called after each turn of a replica.
func (c *cluster) observeControl(ctl *control) {
	holds := ctl.replica.Node().LeaseValid(ctl.clock())
	c.leases[ctl] = holds
	if holds {
		c.checkLease(ctl)
	}
	c.traceReplica(ctl)
	c.rememberEndpoints(ctl)
	index := ctl.replica.Applied()
	digest := fmt.Sprintf("head %d revision %d active %d", ctl.replica.Catalog().HeadVersion(), ctl.replica.State().Revision, ctl.replica.State().Position().Active)
	if known, found := c.history[index]; found && known != digest {
		c.world.violate(invariantLog, "%s has %q after entry %d, another had %q", ctl.name, digest, index, known)
	}
	c.history[index] = digest
}

// traceReplica logs a change of a replica's role, term or membership.
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
	if line != ctl.traced {
		ctl.traced = line
		c.world.log("%s commit %d last %d", line, n.Commit(), n.LastIndex())
	}
}

// checkLease asks each other replica at this very moment.
func (c *cluster) checkLease(holder *control) {
	for _, other := range c.controls {
		if other == holder || !other.alive || other.frozen || other.replica == nil {
			continue
		}
		if other.replica.Node().LeaseValid(other.clock()) {
			c.world.violate(invariantLease, "%s (term %d) and %s (term %d)", holder.name, holder.replica.Node().Term(), other.name, other.replica.Node().Term())
		}
	}
}

func (c *cluster) dropLeaseView(ctl *control) { delete(c.leases, ctl) }

// observeNode is called with each state before it goes in force.
func (c *cluster) observeNode(n *node, state *distribution.State) {
	version := state.Active.Manifest.Version
	if version < c.inForce[n.name] {
		c.world.violate(invariantVersions, "%s went from %d to %d", n.name, c.inForce[n.name], version)
	}
	if version != c.inForce[n.name] {
		c.world.log("%s has version %d in force", n.name, version)
	}
	c.inForce[n.name] = version
	c.checkDangling(n, state.Active.Content)
	c.checkWhole(n, version, state.Active.Content)
	c.checkEndpoints(n, state)
}

// checkDangling looks every reference up by hand.
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
			c.world.violate(invariantDangling, "%s: route %s", n.name, route.Name)
		}
	}
}

// checkWhole compares with what the operator wrote. A version whose create was never
// answered is not known here.
func (c *cluster) checkWhole(n *node, version uint64, content bundle.Content) {
	known, found := c.contents[version]
	if !found {
		return
	}
	want, wantErr := json.Marshal(expectedScope(known.content, n.group))
	got, gotErr := json.Marshal(content)
	if wantErr != nil || gotErr != nil || string(want) != string(got) {
		c.world.violate(invariantPartial, "%s: version %d is %s, approved was %s", n.name, version, got, want)
	}
}

// expectedScope picks a group's part by hand, in the order of the normalized whole.
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
	c.executions[callID]++
	c.world.log("%s begins at %s", callID, b.name)
}

// observeAttempt is called when a node sends a call to a back end.
func (c *cluster) observeAttempt(n *node, ticket *balancer.Ticket) {
	if n.toldLeaving[incarnationKey(ticket.ID, ticket.Incarnation)] {
		c.world.violate(invariantLeaving, "%s sends a call to %s, of which it knows that it leaves", n.name, ticket.ID)
	}
}

// observeCall is called when a call has ended for its caller.
func (c *cluster) observeCall(id string, once bool, outcome string, answered bool) {
	c.callsEnded++
	if answered {
		c.answered++
	}
	c.world.log("%s ends: answered=%t outcome=%s", id, answered, outcome)
	// The back end may still begin a call that the node has given up on, so calls
	// are judged when the run is over.
	c.ended = append(c.ended, endedCall{id: id, once: once, outcome: outcome})
}

type endedCall struct {
	id      string
	once    bool
	outcome string
}

// judgeCalls checks every ended call against what the back ends began.
func (c *cluster) judgeCalls() {
	for _, call := range c.ended {
		runs := c.executions[call.id]
		if call.outcome == "not-run" && runs > 0 {
			c.world.violate(invariantNotRun, "%s ran %d times", call.id, runs)
		}
		if call.once && runs > 1 {
			c.world.violate(invariantOnce, "%s ran %d times", call.id, runs)
		}
	}
}
