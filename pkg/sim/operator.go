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
	thinkTime     = 900 * time.Millisecond
	answerTimeout = 2 * time.Second
	retryPause    = 300 * time.Millisecond
	maxResends    = 40
	// answerLoss is how often an answer is lost on its way until all faults are healed.
	answerLoss = 0.1
	// invalidShare is how often an operator sends a bundle with a dangling route.
	invalidShare = 0.1
)

// operatorClient is an operator who makes, approves and rolls versions, in a race with
// the others, and resends what got no answer.
type operatorClient struct {
	process
	cluster *cluster
	number  int
	count   int
	// quiet operators begin nothing new.
	quiet bool
}

func newOperator(c *cluster, number int) *operatorClient {
	name := fmt.Sprintf("operator-%d", number+1)
	return &operatorClient{process: newProcess(c.world, name, c.zones[number%len(c.zones)], 0), cluster: c, number: number}
}

func (o *operatorClient) start() {
	o.begin()
	o.later(o.world.between(0, thinkTime), o.work)
}

// work is one round: read the head, create on top of it, approve and roll.
func (o *operatorClient) work() {
	if o.quiet {
		o.later(thinkTime, o.work)
		return
	}
	o.round(func() { o.later(o.world.between(thinkTime/2, thinkTime*2), o.work) })
}

func (o *operatorClient) round(done func()) {
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

// content makes up a bundle; some are invalid.
func (o *operatorClient) content() bundle.Content {
	w := o.world
	credential := fmt.Sprintf("credential-%d", w.random.IntN(1000))
	content := bundle.Content{
		Services: []bundle.Service{{Name: "orders", MaxConcurrency: backendSlots}, {Name: "prices", MaxConcurrency: backendSlots}},
		Secrets:  []bundle.Secret{{Name: "credential", Value: credential}, {Name: "unused", Value: "u"}},
		Routes: []bundle.Route{
			{Name: "orders", PathPrefix: "/orders", Service: "orders", HandBackService: "prices", Secret: "credential"},
			{Name: "prices", PathPrefix: "/prices", Sources: []string{"prices"}, Service: "prices"},
		},
		HandBack: w.chance(0.1),
	}
	if w.chance(0.5) {
		content.Routes[1].Sources = []string{"orders", "prices"}
	}
	for i := range w.random.IntN(4) {
		content.Routes = append(content.Routes, bundle.Route{Name: fmt.Sprintf("extra-%d", i), PathPrefix: fmt.Sprintf("/extra/%d", i), Service: "prices"})
	}
	if w.chance(invalidShare) {
		content.Routes[0].Secret = "missing"
	}
	return content.Normalized()
}

func (o *operatorClient) operationID() string {
	o.count++
	return fmt.Sprintf("%s-%d", o.name, o.count)
}

func (o *operatorClient) readHead(done func(head uint64, ok bool)) {
	record := o.cluster.beginOperation(o.number, operationInput{kind: readOperation})
	o.ask(func(ctl *control, answer func(any)) {
		if head, position, ok := ctl.readLeased(); ok {
			answer(readAnswer{head: head, active: position.Active})
		} else {
			answer(nil)
		}
	}, func(value any) {
		read, ok := value.(readAnswer)
		o.world.log("%s: reads head %d, ok %t", o.name, read.head, ok)
		if ok {
			o.cluster.endOperation(record, operationOutput{known: true, head: read.head, active: read.active})
		}
		done(read.head, ok)
	})
}

type readAnswer struct{ head, active uint64 }

func (o *operatorClient) create(head uint64, done func(bundle.Manifest, bool)) {
	content := o.content()
	valid := content.Validate() == nil
	tree, err := bundle.NewTree(content)
	if err != nil {
		o.world.violate(invariantPlan, "cannot build digest: %v", err)
		return
	}
	id := o.operationID()
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
			o.cluster.rememberContent(o.world, result.Version, content, valid)
		}
		done(result.Version, result.Error == nil)
	})
}

func (o *operatorClient) approve(manifest bundle.Manifest, done func(approved bool)) {
	approval := bundle.Sign(o.cluster.key, clusterID, manifest)
	command := fixed(catalog.Command{OperationID: o.operationID(), Approve: &catalog.Approve{Version: manifest.Version, Approval: approval}})
	o.command(command, func(result catalog.Result, ok bool) { done(ok && result.Error == nil) })
}

func (o *operatorClient) roll(version uint64, done func()) {
	command := fixed(catalog.Command{OperationID: o.operationID(), Roll: &catalog.Roll{Version: version}})
	record := o.cluster.beginOperation(o.number, operationInput{kind: rollOperation, expected: version})
	o.command(command, func(result catalog.Result, ok bool) {
		if ok {
			accepted := result.Error == nil
			o.cluster.endOperation(record, operationOutput{known: true, ok: accepted})
			if accepted {
				o.world.log("%s: version %d is accepted", o.name, version)
				o.cluster.accepted(o.world.now, version)
			}
		}
		done()
	})
}

// commandFor is the command as a replica proposes it: a bundle goes into the log as a
// delta to what that replica holds.
type commandFor func(ctl *control) catalog.Command

// fixed commands are the same at every replica.
func fixed(command catalog.Command) commandFor {
	return func(*control) catalog.Command { return command }
}

// command sends a command under its operation ID until an answer comes.
func (o *operatorClient) command(command commandFor, done func(catalog.Result, bool)) {
	o.ask(func(ctl *control, answer func(any)) {
		ctl.propose(command(ctl), func(completion replica.Completion) {
			if completion.Err != nil {
				answer(nil)
				return
			}
			answer(completion.Result)
		})
		ctl.turn()
	}, func(value any) {
		result, ok := value.(catalog.Result)
		o.world.log("%s: command ends, ok %t, version %d, refusal %v", o.name, ok, result.Version.Version, result.Error)
		done(result, ok)
	})
}

// ask sends a request to one replica after another until one answers with a value.
func (o *operatorClient) ask(request func(ctl *control, answer func(any)), done func(any)) {
	o.askAgain(request, done, o.world.random.IntN(len(o.cluster.controls)), 0)
}

func (o *operatorClient) askAgain(request func(*control, func(any)), done func(any), next, resends int) {
	if resends >= maxResends {
		done(nil)
		return
	}
	settled := false
	again := func() {
		if !settled {
			settled = true
			o.world.log("%s: no answer from replica %d, asks the next", o.name, next%len(o.cluster.controls)+1)
			o.later(retryPause, func() { o.askAgain(request, done, next+1, resends+1) })
		}
	}
	ctl := o.cluster.controls[next%len(o.cluster.controls)]
	network := o.cluster.network
	answer := func(value any) {
		if !network.reaches(&ctl.process, &o.process) || o.losesAnswer() {
			return
		}
		o.world.after(network.delay(&ctl.process, &o.process), func() {
			if settled {
				return
			}
			if value == nil {
				again()
				return
			}
			settled = true
			done(value)
		})
	}
	o.later(answerTimeout, again)
	if network.reaches(&o.process, &ctl.process) && ctl.alive {
		o.world.after(network.delay(&o.process, &ctl.process), ctl.guarded(func() { request(ctl, answer) }))
	}
}

// losesAnswer decides whether an answer to this operator is lost; it is a fault like the
// others and ends with them.
func (o *operatorClient) losesAnswer() bool {
	return !o.cluster.healed && o.world.chance(answerLoss)
}
