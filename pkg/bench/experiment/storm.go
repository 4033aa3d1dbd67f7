package experiment

import (
	"errors"
	"fmt"
	"io"
	"time"

	"bramblelift/pkg/bench/convergence"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/hollow"
	"bramblelift/pkg/bench/tally"
)

// StormOptions are the flags of the reconnect-storm experiment.
type StormOptions struct {
	Nodes    int     `long:"nodes" default:"1000" description:"how many hollow nodes"`
	Services int     `long:"services" default:"410" description:"how many services"`
	Relays   int     `long:"relays" default:"10" description:"how many relays"`
	Share    float64 `long:"share" default:"0.9" description:"share of the nodes that die and come back at once"`
	Lose     string  `long:"lose" default:"none" description:"what is lost under them: none, relay, leader or relays (all of them)"`
	Seed     uint64  `long:"seed" default:"1" description:"seed of the changes"`
	JSON     string  `long:"json" value-name:"FILE" description:"write the report as JSON, - for the output"`
}

// StormReport is what the experiment found.
type StormReport struct {
	Run      Run    `json:"run"`
	Services int    `json:"services"`
	Relays   int    `json:"relays"`
	Returned int    `json:"returned_nodes"`
	Lose     string `json:"lose"`
	// Serving is when all nodes had a configuration in force again, Recovery when all
	// were known to be current as of their return.
	Serving  float64 `json:"serving_seconds"`
	Recovery float64 `json:"recovery_seconds"`
	// NodeBytes are the bytes of all nodes until all were current, PerNode the mean of
	// those that came back.
	NodeBytes tally.Bytes `json:"node_bytes"`
	PerNode   float64     `json:"bytes_per_returned_node"`
	// ControlCPU and RelayCPU are the seconds of processor time spent meanwhile.
	ControlCPU float64 `json:"control_cpu_seconds"`
	RelayCPU   float64 `json:"relay_cpu_seconds"`
	// Bystanders are the times a change made in the storm took at the other nodes.
	Bystanders convergence.Summary `json:"bystanders"`
	// Everybody are the times that change took at all nodes.
	Everybody convergence.Summary `json:"everybody"`
}

// What may be lost under the returning nodes.
const (
	loseNothing = "none"
	loseRelay   = "relay"
	loseRelays  = "relays"
	loseLeader  = "leader"
)

var errBadStorm = errors.New("nodes, services and relays must be more than zero, share from 0 to 1, lose one of none, relay, relays, leader")

func (o StormOptions) check() error {
	known := map[string]bool{loseNothing: true, loseRelay: true, loseRelays: true, loseLeader: true}
	if o.Nodes < 1 || o.Services < 1 || o.Relays < 1 || o.Share <= 0 || o.Share > 1 || !known[o.Lose] {
		return errBadStorm
	}
	return nil
}

const (
	// stormDelay is how long after the nodes' return something is lost and a change is
	// made.
	stormDelay = 200 * time.Millisecond
	// lossTime is how long the lost process is gone.
	lossTime = time.Second
)

// Storm ends most nodes and brings them back at once, without memory of their earlier
// lives, and times until all are current and how long a change made meanwhile takes.
func Storm(options StormOptions, out io.Writer) error {
	if err := options.check(); err != nil {
		return err
	}
	s, err := startSystem(meshWorkload(aimZones, options.Services, options.Nodes, options.Seed), systemSize{nodes: options.Nodes, relays: options.Relays})
	if err != nil {
		return err
	}
	defer s.stop()
	time.Sleep(nodeSilence)
	report := &StormReport{Run: currentRun("mesh", options.Seed, options.Nodes), Services: options.Services, Relays: options.Relays, Lose: options.Lose}
	if err := report.strike(s, options); err != nil {
		return err
	}
	return report.show(options, out)
}

// strike is the storm itself.
func (r *StormReport) strike(s *system, options StormOptions) error {
	returning := s.swarm.Nodes[:int(float64(options.Nodes)*options.Share)]
	r.Returned = len(returning)
	herd := &hollow.Swarm{Nodes: returning, Tally: s.swarm.Tally}
	herd.Stop()
	from, err := s.read()
	if err != nil {
		return err
	}
	bystanders := convergence.NewRecorder(namesOf(s.swarm.Nodes[len(returning):]))
	s.watch(bystanders)
	back := time.Now()
	if err := herd.Start(); err != nil {
		return err
	}
	time.Sleep(stormDelay)
	restart, lost, err := s.lose(options.Lose)
	if err != nil {
		return err
	}
	if err := s.change(changeBundle); err != nil {
		return err
	}
	restarted := make(chan error, 1)
	time.AfterFunc(lossTime, func() { restarted <- restart() })
	if err := r.awaitRecovery(s, herd, back); err != nil {
		return err
	}
	if err := errors.Join(<-restarted, s.recorder.Await(convergeLimit), bystanders.Await(convergeLimit)); err != nil {
		return err
	}
	to, err := s.read()
	if err != nil {
		return err
	}
	r.NodeBytes = to.swarm.Minus(from.swarm)
	r.PerNode = float64(r.NodeBytes.Total()) / float64(len(returning))
	r.ControlCPU = cpuBetween(from.control, to.control, lost, "control")
	r.RelayCPU = cpuBetween(from.relay, to.relay, lost, "relay")
	r.Bystanders, r.Everybody = bystanders.Summary(), s.recorder.Summary()
	return nil
}

// awaitRecovery times until the returned nodes serve and all nodes are known current.
func (r *StormReport) awaitRecovery(s *system, herd *hollow.Swarm, back time.Time) error {
	if err := herd.AwaitServing(convergeLimit); err != nil {
		return err
	}
	r.Serving = time.Since(back).Seconds()
	if err := s.swarm.AwaitCurrent(back, convergeLimit); err != nil {
		return err
	}
	r.Recovery = time.Since(back).Seconds()
	return nil
}

// cpuBetween returns the processor time of a role between two readings. A process that
// was restarted began to count anew, so its role's figure is left out as negative one.
func cpuBetween(from, to roleUsage, lostRole, role string) float64 {
	if lostRole == role {
		return -1
	}
	return to.cpuSeconds - from.cpuSeconds
}

func namesOf(nodes []*hollow.Node) []string {
	var names []string
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}

// lose kills what the option names and returns how to bring it back, and its role.
func (s *system) lose(what string) (restart func() error, role string, err error) {
	var lost []*fleet.Node
	switch what {
	case loseRelay:
		lost, role = s.fleet.Relays[:1], "relay"
	case loseRelays:
		lost, role = s.fleet.Relays, "relay"
	case loseLeader:
		leader, err := s.fleet.Leader()
		if err != nil {
			return nil, "", err
		}
		lost, role = []*fleet.Node{leader}, "control"
	}
	for _, node := range lost {
		node.Kill()
	}
	return func() error {
		for _, node := range lost {
			if err := node.Start(); err != nil {
				return err
			}
		}
		return nil
	}, role, nil
}

func (r *StormReport) show(options StormOptions, out io.Writer) error {
	if options.JSON == "-" {
		return writeJSON(out, options.JSON, r)
	}
	fmt.Fprintf(out, "%d of %d nodes came back at once; lost under them: %s\n", r.Returned, r.Run.Nodes, r.Lose)
	fmt.Fprintf(out, "bytes by kind of frame:%s\n", listBytes(r.NodeBytes))
	fmt.Fprintf(out, "result commit=%s seed=%d nodes=%d services=%d relays=%d lose=%s returned=%d serving_s=%.2f recovery_s=%.2f bytes_per_returned_node=%.0f control_cpu_s=%.2f relay_cpu_s=%.2f change_everybody_worst_ms=%.0f change_bystanders_worst_ms=%.0f\n",
		r.Run.Commit, r.Run.Seed, r.Run.Nodes, r.Services, r.Relays, r.Lose, r.Returned, r.Serving, r.Recovery, r.PerNode,
		r.ControlCPU, r.RelayCPU, r.Everybody.Worst, r.Bystanders.Worst)
	if options.JSON != "" {
		return writeJSON(out, options.JSON, r)
	}
	return nil
}
