package relay

import (
	"sync"

	"bramblelift/pkg/protocol"
)

// reportQueue holds the newest report of each node until the next ping.
type reportQueue struct {
	mu      sync.Mutex
	reports map[string]protocol.NodeReport
	server  string
}

func newReportQueue() *reportQueue {
	return &reportQueue{reports: map[string]protocol.NodeReport{}}
}

func (q *reportQueue) add(report protocol.NodeReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reports[report.Node] = report
}

func (q *reportQueue) take() []protocol.NodeReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken []protocol.NodeReport
	for _, report := range q.reports {
		taken = append(taken, report)
	}
	clear(q.reports)
	return taken
}

func (q *reportQueue) discard() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.reports)
}

// recordServer records the server that receives the reports; it reports whether the server has
// changed.
func (q *reportQueue) recordServer(server string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := q.server != server
	q.server = server
	return changed
}
