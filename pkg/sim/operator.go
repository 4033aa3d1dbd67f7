package sim

import (
	"fmt"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/replica"
)

// Behaviour of simulated operators.
const (
	thinkTime       = 900 * time.Millisecond
	responseTimeout = 2 * time.Second
	retryDelay      = 300 * time.Millisecond
	maxResends      = 40
	// responseLossProbability is the probability that a response to an operator is lost
	// before all faults are healed.
	responseLossProbability = 0.1
	// invalidProbability is the probability that a bundle has a dangling route.
	invalidProbability = 0.1
)

// operatorClient is an operator that creates, approves and rolls out versions
// concurrently with the others, and resends requests without a response.
type operatorClient struct {
	process
	cluster *cluster
	number  int
	count   int
	// paused operators begin no new round.
	paused bool
}

func newOperator(c *cluster, number int) *operatorClient {
	name := fmt.Sprintf("operator-%d", number+1)
	return &operatorClient{process: newProcess(c.simulation, name, c.zones[number%len(c.zones)], 0), cluster: c, number: number}
}

func (o *operatorClient) start() {
	o.startRun()
	o.afterLocal(o.simulation.between(0, thinkTime), o.runRounds)
}

// runRounds runs one round after another: read the head, create a version on top of it,
// approve it and roll it out.
func (o *operatorClient) runRounds() {
	if o.paused {
		o.afterLocal(thinkTime, o.runRounds)
		return
	}
	o.runRound(func() { o.afterLocal(o.simulation.between(thinkTime/2, thinkTime*2), o.runRounds) })
}

func (o *operatorClient) runRound(done func()) {
	o.readHead(func(head uint64, ok bool) {
		if !ok {
			done()
			return
		}
		o.create(head, func(manifest bundle.Manifest, created bool) {
			if !created {
				done()
				return
			}
			o.approve(manifest, func(approved bool) {
				if !approved {
					done()
					return
				}
				o.roll(manifest.Version, done)
			})
		})
	})
}

// content returns a random bundle; some are invalid.
func (o *operatorClient) content() bundle.Content {
	sim := o.simulation
	credential := fmt.Sprintf("credential-%d", sim.random.IntN(1000))
	content := bundle.Content{
		Services: []bundle.Service{{Name: "orders", MaxConcurrency: backendCapacity}, {Name: "prices", MaxConcurrency: backendCapacity}},
		Secrets:  []bundle.Secret{{Name: "credential", Value: credential}, {Name: "unused", Value: "u"}},
		Routes: []bundle.Route{
			{Name: "orders", PathPrefix: "/orders", Service: "orders", HandBackService: "prices", Secret: "credential"},
			{Name: "prices", PathPrefix: "/prices", Sources: []string{"prices"}, Service: "prices"},
		},
		HandBack: sim.chance(0.1),
	}
	if sim.chance(0.5) {
		content.Routes[1].Sources = []string{"orders", "prices"}
	}
	for i := range sim.random.IntN(4) {
		content.Routes = append(content.Routes, bundle.Route{Name: fmt.Sprintf("extra-%d", i), PathPrefix: fmt.Sprintf("/extra/%d", i), Service: "prices"})
	}
	if sim.chance(invalidProbability) {
		content.Routes[0].Secret = "missing"
	}
	return content.Normalized()
}

func (o *operatorClient) nextOperationID() string {
	o.count++
	return fmt.Sprintf("%s-%d", o.name, o.count)
}

func (o *operatorClient) readHead(done func(head uint64, ok bool)) {
	record := o.cluster.beginOperation(o.number, operationInput{kind: readOperation})
	o.sendRequest(func(ctl *control, respond func(any)) {
		if head, position, ok := ctl.readUnderLease(); ok {
			respond(readResponse{head: head, active: position.Active})
		} else {
			respond(nil)
		}
	}, func(value any) {
		read, ok := value.(readResponse)
		o.simulation.log("%s: reads head %d, ok %t", o.name, read.head, ok)
		if ok {
			o.cluster.endOperation(record, operationOutput{known: true, head: read.head, active: read.active})
		}
		done(read.head, ok)
	})
}

type readResponse struct{ head, active uint64 }

func (o *operatorClient) create(head uint64, done func(bundle.Manifest, bool)) {
	content := o.content()
	valid := content.Validate() == nil
	tree, err := bundle.NewTree(content)
	if err != nil {
		o.simulation.violate(invariantPlan, "cannot build digest: %v", err)
		return
	}
	id := o.nextOperationID()
	command := func(ctl *control) catalog.Command {
		return catalog.Command{OperationID: id, Create: ctl.replica.Catalog().NewCreate(head, content, tree.Root())}
	}
	record := o.cluster.beginOperation(o.number, operationInput{kind: createOperation, expected: head, valid: valid})
	o.command(command, func(result catalog.Result, ok bool) {
		if !ok {
			done(bundle.Manifest{}, false)
			return
		}
		o.cluster.endOperation(record, operationOutput{known: true, ok: result.Error == nil, head: result.Version.Version})
		if result.Error == nil {
			o.cluster.recordContent(o.simulation, result.Version, content, valid)
		}
		done(result.Version, result.Error == nil)
	})
}

func (o *operatorClient) approve(manifest bundle.Manifest, done func(approved bool)) {
	approval := bundle.Sign(o.cluster.approvalKey, clusterID, manifest)
	command := constantCommand(catalog.Command{OperationID: o.nextOperationID(), Approve: &catalog.Approve{Version: manifest.Version, Approval: approval}})
	o.command(command, func(result catalog.Result, ok bool) { done(ok && result.Error == nil) })
}

func (o *operatorClient) roll(version uint64, done func()) {
	command := constantCommand(catalog.Command{OperationID: o.nextOperationID(), Roll: &catalog.Roll{Version: version}})
	record := o.cluster.beginOperation(o.number, operationInput{kind: rollOperation, expected: version})
	o.command(command, func(result catalog.Result, ok bool) {
		if ok {
			accepted := result.Error == nil
			o.cluster.endOperation(record, operationOutput{known: true, ok: accepted})
			if accepted {
				o.simulation.log("%s: version %d is accepted", o.name, version)
				o.cluster.recordAccepted(o.simulation.now, version)
			}
		}
		done()
	})
}

// commandBuilder builds a command for the replica that proposes it: a bundle is logged
// as a delta to the content that this replica holds.
type commandBuilder func(ctl *control) catalog.Command

// constantCommand returns a builder of a command that is the same at every replica.
func constantCommand(command catalog.Command) commandBuilder {
	return func(*control) catalog.Command { return command }
}

// command sends a command, always under the same operation ID, until a response arrives.
func (o *operatorClient) command(command commandBuilder, done func(catalog.Result, bool)) {
	o.sendRequest(func(ctl *control, respond func(any)) {
		ctl.propose(command(ctl), func(completion replica.Completion) {
			if completion.Err != nil {
				respond(nil)
				return
			}
			respond(completion.Result)
		})
		ctl.advance()
	}, func(value any) {
		result, ok := value.(catalog.Result)
		o.simulation.log("%s: command ends, ok %t, version %d, refusal %v", o.name, ok, result.Version.Version, result.Error)
		done(result, ok)
	})
}

// sendRequest sends a request to one replica after another until one responds with a
// value.
func (o *operatorClient) sendRequest(request func(ctl *control, respond func(any)), done func(any)) {
	o.sendRequestTo(request, done, o.simulation.random.IntN(len(o.cluster.controls)), 0)
}

func (o *operatorClient) sendRequestTo(request func(*control, func(any)), done func(any), next, resends int) {
	if resends >= maxResends {
		done(nil)
		return
	}
	completed := false
	retry := func() {
		if !completed {
			completed = true
			o.simulation.log("%s: no response from replica %d, tries the next", o.name, next%len(o.cluster.controls)+1)
			o.afterLocal(retryDelay, func() { o.sendRequestTo(request, done, next+1, resends+1) })
		}
	}
	ctl := o.cluster.controls[next%len(o.cluster.controls)]
	network := o.cluster.network
	respond := func(value any) {
		if !network.canReach(&ctl.process, &o.process) || o.losesResponse() {
			return
		}
		o.simulation.after(network.delay(&ctl.process, &o.process), func() {
			if completed {
				return
			}
			if value == nil {
				retry()
				return
			}
			completed = true
			done(value)
		})
	}
	o.afterLocal(responseTimeout, retry)
	if network.canReach(&o.process, &ctl.process) && ctl.running {
		o.simulation.after(network.delay(&o.process, &ctl.process), ctl.ifRunning(func() { request(ctl, respond) }))
	}
}

// losesResponse reports whether a response to this operator is lost.
func (o *operatorClient) losesResponse() bool {
	return !o.cluster.healed && o.simulation.chance(responseLossProbability)
}
