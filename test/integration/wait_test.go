package integration

import (
	"fmt"
	"time"

	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/proxy"
)

// eventually polls until check returns nil or the timeout passes, and returns the last
// error.
func eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitVersion waits until the given nodes have a version, or a later one, in force.
func (s *system) awaitVersion(nodes []*fleet.Member, version uint64) error {
	return eventually(convergenceTimeout, func() error {
		for _, node := range nodes {
			var status proxy.Status
			if err := node.Status(&status); err != nil {
				return err
			}
			if status.Version < version {
				return fmt.Errorf("%s has version %d in force, not %d", node.Name, status.Version, version)
			}
		}
		return nil
	})
}

// awaitEndpoints waits until the given nodes know a back end of each service, because a
// version may be rolled out before the control replicas have read the machine list.
func (s *system) awaitEndpoints(nodes []*fleet.Member) error {
	return eventually(convergenceTimeout, func() error {
		for _, node := range nodes {
			var status proxy.Status
			if err := node.Status(&status); err != nil {
				return err
			}
			for service, pool := range status.Pools {
				if len(pool) == 0 {
					return fmt.Errorf("%s knows no back end of %s", node.Name, service)
				}
			}
		}
		return nil
	})
}
