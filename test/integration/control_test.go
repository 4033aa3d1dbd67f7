package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/bench/faultnet"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"

	"github.com/matryer/is"
)

// TestAcceptedVersionsSurviveLeaderKills guards against accepted versions that are lost
// or delayed when the leader is killed during a commit.
func TestAcceptedVersionsSurviveLeaderKills(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.startRecordingVersions()
	for round := range 3 {
		leader, err := s.Leader()
		is.NoErr(err)
		killed := make(chan struct{})
		time.AfterFunc(time.Duration(1+round*7)*time.Millisecond, func() {
			defer close(killed)
			leader.Kill()
		})
		accepted := s.publish()
		<-killed
		is.NoErr(s.awaitVersion(s.Proxies, accepted))
		is.NoErr(leader.Start())
		is.NoErr(s.awaitFullReplication())
		status, err := s.status()
		is.NoErr(err)
		is.True(status.Active >= accepted) // an accepted version never reverts
	}
	s.checkHistory()
}

// TestAcceptedVersionSurvivesSecondDiskLossAfterRepair guards against a repair that is
// reported as complete before another disk can be lost safely.
func TestAcceptedVersionSurvivesSecondDiskLossAfterRepair(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.startRecordingVersions()
	accepted := s.publish()
	before, err := s.status()
	is.NoErr(err)
	s.loseDisk(s.Controls[0])
	is.NoErr(s.Controls[0].Start())
	// The old replica counts as durable until the leader has missed its heartbeats.
	is.NoErr(eventually(setupTimeout, func() error {
		now, err := s.status()
		if err == nil && newestReplicaID(now, "control-1") == newestReplicaID(before, "control-1") {
			err = errors.New("control-1 still has the ID of the replica whose disk was lost")
		}
		return err
	}))
	is.NoErr(s.awaitFullReplication())
	s.loseDisk(s.Controls[1])
	status, err := s.status()
	is.NoErr(err)
	is.Equal(status.Active, accepted)
	accepted = s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	is.NoErr(s.Controls[1].Start())
	is.NoErr(s.awaitFullReplication())
	s.checkHistory()
}

// newestReplicaID returns the ID of the newest replica on a machine.
func newestReplicaID(status operator.Status, name string) uint64 {
	var found uint64
	for _, replica := range status.Replicas {
		if replica.Name == name {
			found = replica.ID
		}
	}
	return found
}

// TestPartitionedLeaderStopsAnswering guards against a leader that responds to operators, or
// keeps relays on old versions, while its connections are open but drop all data.
func TestPartitionedLeaderStopsAnswering(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.startRecordingVersions()
	leader, err := s.Leader()
	is.NoErr(err)
	is.NoErr(s.network.Cut(faultnet.Between(faultnet.Names(leader.Name), faultnet.Not(faultnet.Names(leader.Name)))))
	accepted := s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	leaderClient := operator.NewClient([]string{leader.Admin})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = leaderClient.Do(ctx, http.MethodGet, operator.PathStatus, nil, &operator.Status{})
	is.True(err != nil) // without a quorum it has no valid lease
	accepted = s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	is.NoErr(s.network.Heal())
	is.NoErr(s.awaitFullReplication())
	s.checkHistory()
}

// TestThawedLeaderServesNoStaleStatus guards against a leader that responds under its
// expired lease after it was frozen.
func TestThawedLeaderServesNoStaleStatus(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.startRecordingVersions()
	leader, err := s.Leader()
	is.NoErr(err)
	is.NoErr(leader.Suspend())
	is.NoErr(s.Relays[0].Suspend())
	accepted := s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	accepted = s.publish()
	is.NoErr(leader.Resume())
	leaderClient := operator.NewClient([]string{leader.Admin})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		var status operator.Status
		if leaderClient.Do(ctx, http.MethodGet, operator.PathStatus, nil, &status) == nil {
			is.True(status.Active >= accepted) // no stale status
		}
	}
	is.NoErr(s.Relays[0].Resume())
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	is.NoErr(s.awaitFullReplication())
	s.checkHistory()
}

// TestPartitionedZoneKeepsServingAndCatchesUp guards against failed calls in a zone that is
// cut off from the control plane, and against an old version there after the partition heals.
func TestPartitionedZoneKeepsServingAndCatchesUp(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.startRecordingVersions()
	var zoneProcessNames []string
	var zoneNodes []*fleet.Member
	for _, node := range s.All() {
		if node.Zone == s.profile.Zones[1] {
			zoneProcessNames = append(zoneProcessNames, node.Name)
		}
	}
	for _, node := range s.Proxies {
		if node.Zone == s.profile.Zones[1] {
			zoneNodes = append(zoneNodes, node)
		}
	}
	is.NoErr(s.network.Cut(faultnet.Between(faultnet.Names(zoneProcessNames...), faultnet.Not(faultnet.Names(zoneProcessNames...)))))
	accepted := s.publish()
	for i := range 20 {
		call := s.call(zoneNodes[i%len(zoneNodes)], http.MethodGet, "/pedidos/stock/1", fmt.Sprintf("cut-%d", i), false)
		is.True(call.Answered() && call.Complete) // the back ends are still reachable
		time.Sleep(100 * time.Millisecond)
	}
	is.NoErr(s.network.Heal())
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	s.checkHistory()
}

// TestConcurrentCreatesHaveOneWinnerDespiteLostResponses guards against two creates that
// win the same version number, and against a resent create that is applied twice.
func TestConcurrentCreatesHaveOneWinnerDespiteLostResponses(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	network := faultnet.New()
	t.Cleanup(network.Stop)
	var addresses []string
	for _, node := range s.Controls {
		address, err := network.ProxyFor("operator", node.Name, node.Admin)
		is.NoErr(err)
		addresses = append(addresses, address)
	}
	stop := make(chan struct{})
	var dropper sync.WaitGroup
	dropper.Go(func() { dropResponsesIntermittently(network, stop) })

	var mu sync.Mutex
	winners := map[uint64]string{}
	var group sync.WaitGroup
	for worker := range 3 {
		group.Go(func() {
			for round := range 5 {
				secret := fmt.Sprintf("racer-%d-round-%d", worker, round)
				version, err := createVersion(s, addresses, secret)
				if err != nil {
					t.Errorf("%s: %v", secret, err)
					return
				}
				mu.Lock()
				if other, taken := winners[version]; taken {
					t.Errorf("version %d was created by %s and by %s", version, other, secret)
				}
				winners[version] = secret
				mu.Unlock()
			}
		})
	}
	group.Wait()
	close(stop)
	dropper.Wait()
	status, err := s.status()
	is.NoErr(err)
	is.Equal(status.Head, uint64(1+len(winners))) // no create was applied twice
}

// dropResponsesIntermittently drops all responses for 40 ms at a time until stop closes.
func dropResponsesIntermittently(network *faultnet.Network, stop chan struct{}) {
	for {
		_ = network.CutResponses(func(faultnet.Link) bool { return true })
		time.Sleep(40 * time.Millisecond)
		_ = network.Heal()
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
	}
}

// createVersion creates a version with a unique secret on the current head, and repeats
// with a new operation ID after each conflict.
func createVersion(s *system, addresses []string, secret string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	defer cancel()
	client := operator.NewClient(addresses)
	for {
		var list operator.VersionList
		if err := client.Do(ctx, http.MethodGet, operator.PathVersions, nil, &list); err != nil {
			return 0, err
		}
		request := operator.CreateRequest{
			OperationID: operator.NewOperationID(), ExpectedHead: &list.Head, TOML: s.profile.BundleText(secret), FileName: "race.toml",
		}
		var created struct {
			Version bundle.Manifest `json:"version"`
		}
		err := client.Do(ctx, http.MethodPost, operator.PathVersions, request, &created)
		var refused *catalog.OperationError
		if errors.As(err, &refused) && refused.Code == catalog.CodeConflict {
			continue
		}
		return created.Version.Version, err
	}
}
