package sim

import (
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/stream"
)

// Timing of the simulated relays and nodes, as in the daemons.
const (
	relayPingInterval   = time.Second
	relaySilenceTimeout = 3 * time.Second
	nodePingInterval    = 2 * time.Second
	nodeSilenceTimeout  = 5 * time.Second
)

// relay is a simulated relay: a subscriber of control that serves nodes.
type relay struct {
	process
	cluster *cluster
	holder  *distribution.Holder
	server  *server
	client  *subscriber
}

func (r *relay) start() {
	if r.running {
		return
	}
	r.startRun()
	r.simulation.log("%s starts", r.name)
	r.holder = distribution.NewHolder(bundle.ScopeAll, r.cluster.verifier, nil)
	r.server = newServer(&r.process, r.holder.State(), r.freshness)
	r.client = &subscriber{
		process: &r.process, network: r.cluster.network, target: r,
		hello:        protocol.Hello{Role: protocol.RoleRelay, Name: r.name, Zone: r.zone, Group: bundle.ScopeAll},
		selector:     r.cluster.selector(r.zone, r.cluster.controlProcesses()),
		lookup:       r.cluster.lookupControl,
		pingInterval: relayPingInterval, silenceTimeout: relaySilenceTimeout,
	}
	r.client.start()
}

func (r *relay) kill() {
	if r.running {
		r.simulation.log("%s is killed", r.name)
		r.endRun()
	}
}

func (r *relay) freshness() stream.Freshness {
	return stream.Freshness{Confirmed: r.client.confirmed, Stale: r.clock() - r.client.confirmedAt}
}

// Position implements stream.Target.
func (r *relay) Position() distribution.Position { return r.holder.State().Position() }

// Apply implements stream.Target.
func (r *relay) Apply(update *distribution.Update) error {
	if err := r.holder.Apply(update); err != nil {
		return err
	}
	r.server.setState(r.holder.State())
	return nil
}

// Current implements stream.Target.
func (r *relay) Current(revision uint64) {
	if revision > r.holder.State().Revision {
		r.holder.AdvanceTo(revision)
		r.server.setState(r.holder.State())
	}
}
