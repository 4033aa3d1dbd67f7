package relay

import (
	"sync"

	"bramblelift/pkg/protocol"
)

// reportQueue holds the newest report of each node until the next ping takes them.
type reportQueue struct {
	mutex   sync.Mutex
	reports map[string]protocol.NodeReport
	server  string
}

func newReportQueue() *reportQueue {
	return &reportQueue{reports: map[string]protocol.NodeReport{}}
}

func (q *reportQueue) add(report protocol.NodeReport) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reports[report.Node] = report
}

func (q *reportQueue) take() []protocol.NodeReport {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var taken []protocol.NodeReport
	for _, report := range q.reports {
		taken = append(taken, report)
	}
	clear(q.reports)
	return taken
}

func (q *reportQueue) drop() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	clear(q.reports)
}

// changedServer notes which server the reports go to.
func (q *reportQueue) changedServer(server string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	changed := q.server != server
	q.server = server
	return changed
}
