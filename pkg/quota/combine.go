package quota

import "time"

// combined is the total of several sums.
type combined struct {
	nodes  int
	unseen float64
	// uses includes ended process runs, active only running ones.
	uses, active map[string]Use
	// endedLives is the number of ended process runs that still count.
	endedLives int
}

// combine adds up sums and counts each process run once. A departed run that has arrived at another replica is
// in that replica's sum. Otherwise it has ended if its connection was closed or its node runs a new process,
// and its calls count until they leave the window. A silent run is assumed to continue.
func combine(sums []Sum, window time.Duration) combined {
	c := combined{uses: map[string]Use{}, active: map[string]Use{}}
	arrived, hasSuccessor, endedNodes := arrivedLives(sums), map[string]bool{}, map[string]bool{}
	for life := range arrived {
		hasSuccessor[life.Node] = true
	}
	for _, sum := range sums {
		c.add(sum.Nodes, sum.Unseen, sum.Uses)
		for _, departure := range sum.Departures {
			switch {
			case arrived[departure.Life]:
			case departure.Silent && !hasSuccessor[departure.Life.Node]:
				c.add(1, departure.Unseen, departure.Uses)
			default:
				endedNodes[departure.Life.Node] = true
				c.endedLives++
				addUses(c.uses, departure.remaining(window))
			}
		}
	}
	for _, sum := range sums {
		for _, arrival := range sum.Arrivals {
			if endedNodes[arrival.Life.Node] {
				c.unseen -= float64(arrival.Unseen)
			}
		}
	}
	c.unseen = max(0, c.unseen)
	return c
}

// add adds the uses of running nodes.
func (c *combined) add(nodes int, unseen float32, uses []Use) {
	c.nodes += nodes
	c.unseen += float64(unseen)
	addUses(c.uses, uses)
	addUses(c.active, uses)
}

// arrivedLives returns the process runs that recently arrived at any replica.
func arrivedLives(sums []Sum) map[Life]bool {
	arrived := map[Life]bool{}
	for _, sum := range sums {
		for _, arrival := range sum.Arrivals {
			arrived[arrival.Life] = true
		}
	}
	return arrived
}
