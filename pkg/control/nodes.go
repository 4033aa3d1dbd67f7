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

// forgetNodesAfter is how long a node that is gone is still listed.
const forgetNodesAfter = 10 * time.Minute

// nodeRegistry keeps what this replica last heard of each node. It is an opinion, not
// replicated state: operators' clients ask all replicas and take the newest.
type nodeRegistry struct {
	mu    sync.Mutex
	nodes map[string]operator.Node
	// levels are those of the connected nodes that are below this program's own.
	levels map[string]catalog.Level
}

func newNodeRegistry() *nodeRegistry {
	return &nodeRegistry{nodes: map[string]operator.Node{}, levels: map[string]catalog.Level{}}
}

func (r *nodeRegistry) take(report protocol.NodeReport, at time.Time) {
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
		Connected: report.Connected, HeardMillis: at.UnixMilli(), Closed: closedGate(report.Closed),
	}
}

// least returns the least level among the connected nodes.
func (r *nodeRegistry) least() catalog.Level {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leastLocked()
}

// leastLocked is least; the mutex is held.
func (r *nodeRegistry) leastLocked() catalog.Level {
	least := catalog.NewestLevel
	for _, level := range r.levels {
		least = min(least, level)
	}
	return least
}

// earlier describes the connected nodes of an earlier release, nil if there are none.
func (r *nodeRegistry) earlier() *protocol.EarlierSubscribers {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.levels) == 0 {
		return nil
	}
	return &protocol.EarlierSubscribers{Count: len(r.levels), Level: r.leastLocked()}
}

func closedGate(closed *protocol.ClosedGate) *operator.ClosedGate {
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
		if !node.Connected && now.UnixMilli()-node.HeardMillis > forgetNodesAfter.Milliseconds() {
			delete(r.nodes, name)
			continue
		}
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b operator.Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}
