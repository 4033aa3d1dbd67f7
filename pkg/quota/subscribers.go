package quota

import (
	"maps"
	"slices"
	"time"
)

// silentRetention is how long the reports of a silent node count and the part of a silent replica stays
// reserved. The node, or the replica's nodes, may be isolated and still admit calls.
const silentRetention = 10 * time.Second

// subscriberReports holds the newest reports of a replica's subscribers. Its zero value is empty.
type subscriberReports struct {
	reports map[string]latestReport
	// departed are the process runs that ended or moved elsewhere within the last window.
	departed []departedLife
	// unreported estimates the calls that a node admitted in the given time after a report.
	unreported func(use Use, gap time.Duration) float32
}

// record stores a node's newest report, and the calls of its previous process run if the node has restarted.
func (s *subscriberReports) record(now time.Duration, node string, report Report) {
	if s.reports == nil {
		s.reports = map[string]latestReport{}
	}
	latest, found := s.reports[node]
	next := latestReport{report: report, receivedAt: now, firstSeenAt: latest.firstSeenAt, hasPredecessor: latest.hasPredecessor}
	if found && !latest.sameLife(report) {
		s.keepDeparted(node, latest, now-report.Age)
		found = false
	}
	s.departed = slices.DeleteFunc(s.departed, func(d departedLife) bool { return d.sameLife(now, node, report) })
	if !found {
		next.firstSeenAt = now
		next.hasPredecessor = slices.ContainsFunc(s.departed, func(d departedLife) bool { return d.life.Node == node })
	}
	s.reports[node] = next
}

// recordDeparture records that a node has ended or moved elsewhere.
func (s *subscriberReports) recordDeparture(now time.Duration, node string) {
	if latest, found := s.reports[node]; found {
		delete(s.reports, node)
		s.keepDeparted(node, latest, now)
	}
}

// keepDeparted stores the calls of a departed process run. Nodes below a departed relay reconnect elsewhere
// and report there themselves.
func (s *subscriberReports) keepDeparted(node string, latest latestReport, leftAt time.Duration) {
	if latest.report.Nodes == 0 {
		s.departed = append(s.departed, latest.asDeparted(node, leftAt, s.unreported))
	}
}

// expire drops silent reports and departures whose calls have left the window.
func (s *subscriberReports) expire(now, window time.Duration) {
	maps.DeleteFunc(s.reports, func(_ string, latest latestReport) bool { return now-latest.receivedAt > silentRetention })
	s.departed = slices.DeleteFunc(s.departed, func(d departedLife) bool { return now-d.leftAt > window })
}

// sum combines all reports.
func (s *subscriberReports) sum(now time.Duration, replica string, window time.Duration) Sum {
	s.expire(now, window)
	sum := Sum{Replica: replica}
	uses := map[string]Use{}
	for node, latest := range s.reports {
		nodes := max(1, latest.report.Nodes)
		unseen := float32(float64(nodes) * latest.unseen(window))
		if latest.silent(now) {
			sum.Departures = append(sum.Departures, Departure{Life: latest.life(node), Ago: now - latest.receivedAt, Silent: true, Unseen: unseen, Uses: latest.report.Uses})
			continue
		}
		sum.Nodes += nodes
		sum.Unseen += unseen
		addUses(uses, s.withEarlierLives(now, node, latest.report.Uses, window))
		sum.Departures = append(sum.Departures, latest.report.Departures...)
		sum.Arrivals = append(sum.Arrivals, latest.report.Arrivals...)
		if now-latest.firstSeenAt <= silentRetention && latest.report.Nodes == 0 {
			sum.Arrivals = append(sum.Arrivals, Arrival{Life: latest.life(node), Unseen: unseen})
		}
	}
	for _, d := range s.departed {
		if latest, returned := s.reports[d.life.Node]; !returned || latest.silent(now) {
			sum.Departures = append(sum.Departures, d.departure(now))
		}
	}
	sum.Uses = sortedUses(uses)
	slices.SortFunc(sum.Arrivals, compareArrivals)
	return sum
}

// lives returns the process runs of all reporting nodes.
func (s *subscriberReports) lives() []Life {
	var lives []Life
	for node, latest := range s.reports {
		if latest.report.Nodes == 0 {
			lives = append(lives, latest.life(node))
		}
	}
	return lives
}

// withEarlierLives adds the calls of a node's earlier process runs to its uses. The demand is at least that of
// the previous run's last reports.
func (s *subscriberReports) withEarlierLives(now time.Duration, node string, uses []Use, window time.Duration) []Use {
	var all map[string]Use
	for _, d := range s.departed {
		if d.life.Node != node {
			continue
		}
		if all == nil {
			all = map[string]Use{}
			addUses(all, uses)
		}
		for _, earlier := range d.departure(now).remaining(window) {
			sum := all[earlier.Tenant]
			all[earlier.Tenant] = Use{
				Tenant: earlier.Tenant, Asked: max(sum.Asked, earlier.Asked),
				Used: sum.Used + earlier.Used, Leaving: sum.Leaving + earlier.Leaving,
			}
		}
	}
	if all == nil {
		return uses
	}
	return sortedUses(all)
}

// reportInterval is the approximate time between two reports of a node.
const reportInterval = 400 * time.Millisecond

// fractions are the parts of all limits that some nodes may use while disconnected.
type fractions struct {
	byTenant map[string]float64
	// other is the part of limits that are missing from byTenant.
	other float64
}

func (f fractions) fraction(tenant string) float64 {
	if fraction, found := f.byTenant[tenant]; found {
		return fraction
	}
	return f.other
}

// evenlySpreadCalls is the number of calls, in addition to the counted ones, that are assumed to be spread
// evenly, because a few calls predict the next ones poorly.
const evenlySpreadCalls = 10

// fractionsOf returns the parts of the nodes in s, in proportion to the calls in the last window. The parts of
// all sums add up to at most one.
func (s Sum) fractionsOf(nodes int, all map[string]Use) fractions {
	f := fractions{other: float64(s.Nodes) / float64(max(1, nodes)), byTenant: make(map[string]float64, len(all))}
	used := make(map[string]float32, len(s.Uses))
	for _, use := range s.Uses {
		used[use.Tenant] = use.Used
	}
	for tenant, sum := range all {
		f.byTenant[tenant] = (float64(used[tenant]) + evenlySpreadCalls*f.other) / (float64(sum.Used) + evenlySpreadCalls)
	}
	return f
}

func addUses(totals map[string]Use, uses []Use) {
	for _, use := range uses {
		sum := totals[use.Tenant]
		totals[use.Tenant] = Use{Tenant: use.Tenant, Asked: sum.Asked + use.Asked, Used: sum.Used + use.Used, Leaving: sum.Leaving + use.Leaving}
	}
}

func sortedUses(uses map[string]Use) []Use {
	return slices.SortedFunc(maps.Values(uses), compareUses)
}
