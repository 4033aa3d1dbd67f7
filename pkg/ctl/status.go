package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/operator"
)

type statusCommand struct{}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error { return nil }

func (c *statusCommand) run(s *session) error {
	var status operator.Status
	if err := s.call(http.MethodGet, operator.PathStatus, nil, &status); err != nil {
		return err
	}
	return s.print(status, func() { printStatus(s, status) })
}

func printStatus(s *session, status operator.Status) {
	fmt.Fprintf(s.stdout, "cluster %s  leader %s  term %d  commit %d\n", status.Cluster, status.Leader, status.Term, status.Commit)
	fmt.Fprintf(s.stdout, "active version %d  staged %d  head %d  revision %d  log %d bytes\n",
		status.Active, status.Staged, status.Head, status.Revision, status.LogBytes)
	fmt.Fprintf(s.stdout, "durable copies of all that is committed: %d of %d voters\n", status.DurableCopies, status.Voters)
	if status.PlatformError != "" {
		fmt.Fprintf(s.stdout, "platform list unreadable: %s\n", status.PlatformError)
	}
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REPLICA\tZONE\tROLE\tALIVE\tMATCH\tADDRESS")
	for _, r := range status.Replicas {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%s\n", r.Name, r.Zone, r.Role, r.Alive, r.Match, r.Address)
	}
	table.Flush()
}

type proxiesCommand struct {
	Zones bool `long:"zones" description:"one line a zone and version in place of one a node"`
}

// Execute implements flags.Commander.
func (c *proxiesCommand) Execute([]string) error { return nil }

func (c *proxiesCommand) run(s *session) error {
	nodes, err := s.nodes()
	if err != nil {
		return err
	}
	if c.Zones {
		zones := summarizeZones(nodes)
		return s.print(zones, func() { printZones(s, zones) })
	}
	return s.print(nodes, func() {
		table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "NODE\tGROUP\tZONE\tACTIVE\tSTAGED\tREVISION\tCONNECTED\tHEARD")
		for _, n := range nodes {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%t\t%s\n", n.Name, orDash(n.Group), n.Zone, n.Active, n.Staged, n.Revision, n.Connected, formatMillis(n.HeardMillis))
		}
		table.Flush()
	})
}

// nodes fetches the nodes from every replica and returns the latest report on each, sorted by name.
func (s *session) nodes() ([]operator.Node, error) {
	if err := s.requireControl(); err != nil {
		return nil, err
	}
	newest := map[string]operator.Node{}
	_, err := s.client.QueryAll(s.context, operator.PathNodes, func(response []byte) error {
		var nodes []operator.Node
		if err := json.Unmarshal(response, &nodes); err != nil {
			return fmt.Errorf("decode nodes: %w", err)
		}
		for _, node := range nodes {
			previous, found := newest[node.Name]
			if !found || supersedes(node, previous) {
				newest[node.Name] = node
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	nodes := make([]operator.Node, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		nodes = append(nodes, newest[name])
	}
	return nodes, nil
}

type diffCommand struct {
	Positional struct {
		From uint64 `positional-arg-name:"FROM" required:"yes"`
		To   uint64 `positional-arg-name:"TO" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error { return nil }

func (c *diffCommand) run(s *session) error {
	var changes []operator.Change
	path := fmt.Sprintf("%s?from=%d&to=%d", operator.PathDiff, c.Positional.From, c.Positional.To)
	if err := s.call(http.MethodGet, path, nil, &changes); err != nil {
		return err
	}
	return s.print(changes, func() {
		for _, change := range changes {
			fmt.Fprintf(s.stdout, "%s %s %q\n", change.Action, change.Kind, change.Name)
			if change.Before != "" {
				fmt.Fprintln(s.stdout, "  -", change.Before)
			}
			if change.After != "" {
				fmt.Fprintln(s.stdout, "  +", change.After)
			}
		}
	})
}

type watchCommand struct {
	versionArgument
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error { return nil }

func (c *watchCommand) run(s *session) error { return s.watch(c.Positional.Version) }

const watchInterval = 200 * time.Millisecond

// watchProgress counts the connected nodes, and those that have a version in force.
type watchProgress struct {
	Version   uint64 `json:"version"`
	InForce   int    `json:"in_force"`
	Connected int    `json:"connected"`
}

// String returns the progress in one line.
func (p watchProgress) String() string {
	return fmt.Sprintf("version %d in force on %d of %d connected nodes", p.Version, p.InForce, p.Connected)
}

func (p watchProgress) done() bool { return p.Connected > 0 && p.InForce == p.Connected }

// watch prints each change of progress until every connected node has the version with the given number, or a
// later one, in force.
func (s *session) watch(number uint64) error {
	var last watchProgress
	for {
		nodes, err := s.nodes()
		if err != nil {
			return err
		}
		current := versionProgress(nodes, number)
		if current != last {
			if err := s.print(current, func() { fmt.Fprintln(s.stdout, current) }); err != nil {
				return err
			}
			last = current
		}
		if current.done() {
			return nil
		}
		select {
		case <-s.context.Done():
			return fmt.Errorf("version %d is not in force on every connected node yet: %s", number, current)
		case <-time.After(watchInterval):
		}
	}
}

func versionProgress(nodes []operator.Node, number uint64) watchProgress {
	p := watchProgress{Version: number}
	for _, node := range nodes {
		// Relays report their versions, but serve no calls.
		if !node.Connected || node.Group == bundle.ScopeAll {
			continue
		}
		p.Connected++
		if node.Active >= number {
			p.InForce++
		}
	}
	return p
}
