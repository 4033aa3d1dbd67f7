package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/protocol"
)

// disconnectedNodeTTL is how long a disconnected node stays listed.
const disconnectedNodeTTL = 10 * time.Minute

// nodeRegistry holds the latest report about each node that this replica received. It isn't replicated:
// operators' clients query all replicas and use the newest report.
type nodeRegistry struct {
	mu    sync.Mutex
	nodes map[string]operator.Node
	// levels holds the levels of connected nodes that support less than this program.
	levels map[string]catalog.Level
}

func newNodeRegistry() *nodeRegistry {
	return &nodeRegistry{nodes: map[string]operator.Node{}, levels: map[string]catalog.Level{}}
}

func (r *nodeRegistry) record(report protocol.NodeReport, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Connected && report.Level < catalog.NewestLevel {
		r.levels[report.Node] = report.Level
	} else {
		delete(r.levels, report.Node)
	}
	r.nodes[report.Node] = operator.Node{
		Name: report.Node, Group: report.Group, Zone: report.Zone,
		Active: report.Position.Active, Staged: report.Position.Staged, Revision: report.Position.Revision,
		Connected: report.Connected, HeardMillis: at.UnixMilli(), Closed: describeClosedGate(report.Closed),
	}
}

// lowest returns the lowest level of the connected nodes.
func (r *nodeRegistry) lowest() catalog.Level {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lowestLocked()
}

// lowestLocked returns the lowest level of the connected nodes. The caller holds mu.
func (r *nodeRegistry) lowestLocked() catalog.Level {
	lowest := catalog.NewestLevel
	for _, level := range r.levels {
		lowest = min(lowest, level)
	}
	return lowest
}

// earlierSubscribers describes the connected nodes of an earlier release, nil if there are none.
func (r *nodeRegistry) earlierSubscribers() *protocol.EarlierSubscribers {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.levels) == 0 {
		return nil
	}
	return &protocol.EarlierSubscribers{Count: len(r.levels), Level: r.lowestLocked()}
}

func describeClosedGate(closed *protocol.ClosedGate) *operator.ClosedGate {
	if closed == nil {
		return nil
	}
	return &operator.ClosedGate{Reason: string(closed.Reason), Running: closed.Running}
}

func (r *nodeRegistry) list(now time.Time) []operator.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nodes []operator.Node
	for name, node := range r.nodes {
		if !node.Connected && now.UnixMilli()-node.HeardMillis > disconnectedNodeTTL.Milliseconds() {
			delete(r.nodes, name)
			continue
		}
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b operator.Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}
