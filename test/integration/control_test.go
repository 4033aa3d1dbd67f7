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

// TestLeaderKilledInMidCommit: versions are published without pause while one leader
// after another is killed; what was accepted stays, and is in force everywhere in time.
func TestLeaderKilledInMidCommit(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.watch()
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
		is.NoErr(s.awaitRepair())
		status, err := s.status()
		is.NoErr(err)
		is.True(status.Active >= accepted) // never reverts
	}
	s.judge()
}

// TestSecondLossRightAfterRepair: a replica's disk is lost; as soon as the repair is
// called done, another one is lost for good. Nothing accepted may be lost.
func TestSecondLossRightAfterRepair(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.watch()
	accepted := s.publish()
	before, err := s.status()
	is.NoErr(err)
	s.loseDisk(s.Controls[0])
	is.NoErr(s.Controls[0].Start())
	// The lost disk's last word counts until the leader has missed its heartbeats.
	is.NoErr(eventually(setupLimit, func() error {
		now, err := s.status()
		if err == nil && identityOf(now, "control-1") == identityOf(before, "control-1") {
			err = errors.New("control-1 is still known as the replica whose disk is lost")
		}
		return err
	}))
	is.NoErr(s.awaitRepair())
	s.loseDisk(s.Controls[1])
	status, err := s.status()
	is.NoErr(err)
	is.Equal(status.Active, accepted)
	accepted = s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	is.NoErr(s.Controls[1].Start())
	is.NoErr(s.awaitRepair())
	s.judge()
}

// identityOf returns the newest replica's ID of a machine.
func identityOf(status operator.Status, name string) uint64 {
	var found uint64
	for _, replica := range status.Replicas {
		if replica.Name == name {
			found = replica.ID
		}
	}
	return found
}

// TestLeaderCutOffInSilence: the leader hears nobody and nobody hears it, but every
// connection stays open. It must stop answering operators, and the nodes whose relays
// were on it must get what the others accept.
func TestLeaderCutOffInSilence(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.watch()
	leader, err := s.Leader()
	is.NoErr(err)
	is.NoErr(s.network.Cut(faultnet.Between(faultnet.Names(leader.Name), faultnet.Not(faultnet.Names(leader.Name)))))
	accepted := s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	alone := operator.NewClient([]string{leader.Admin})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = alone.Do(ctx, http.MethodGet, operator.PathStatus, nil, &operator.Status{})
	is.True(err != nil) // it cannot know any more
	accepted = s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	is.NoErr(s.network.Heal())
	is.NoErr(s.awaitRepair())
	s.judge()
}

// TestFrozenLeaderWakesUp: the leader and a relay are frozen while the others move on.
// When the leader wakes up its lease is in the past: it must not answer from before.
func TestFrozenLeaderWakesUp(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.watch()
	leader, err := s.Leader()
	is.NoErr(err)
	is.NoErr(leader.Freeze())
	is.NoErr(s.Relays[0].Freeze())
	accepted := s.publish()
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	accepted = s.publish()
	is.NoErr(leader.Thaw())
	alone := operator.NewClient([]string{leader.Admin})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		var status operator.Status
		if alone.Do(ctx, http.MethodGet, operator.PathStatus, nil, &status) == nil {
			is.True(status.Active >= accepted) // an answer is never from before
		}
	}
	is.NoErr(s.Relays[0].Thaw())
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	is.NoErr(s.awaitRepair())
	s.judge()
}

// TestZoneCutOffAndHealed: a zone keeps serving on what it has, and has the newest
// version soon after the cut ends.
func TestZoneCutOffAndHealed(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.watch()
	var inside []string
	var insideNodes []*fleet.Node
	for _, node := range s.All() {
		if node.Zone == s.profile.Zones[1] {
			inside = append(inside, node.Name)
		}
	}
	for _, node := range s.Proxies {
		if node.Zone == s.profile.Zones[1] {
			insideNodes = append(insideNodes, node)
		}
	}
	is.NoErr(s.network.Cut(faultnet.Between(faultnet.Names(inside...), faultnet.Not(faultnet.Names(inside...)))))
	accepted := s.publish()
	for i := range 20 {
		call := s.call(insideNodes[i%len(insideNodes)], http.MethodGet, "/pedidos/stock/1", fmt.Sprintf("cut-%d", i), false)
		is.True(call.Answered() && call.Whole) // cut off from control, not from back ends
		time.Sleep(100 * time.Millisecond)
	}
	is.NoErr(s.network.Heal())
	is.NoErr(s.awaitVersion(s.Proxies, accepted))
	s.judge()
}

// TestOperatorsRaceWithLostAnswers: operators create versions under one number at the
// same time, and half of the answers are lost. Each number has one winner, who knows it,
// and nothing is made twice.
func TestOperatorsRaceWithLostAnswers(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	network := faultnet.New()
	t.Cleanup(network.Stop)
	var addresses []string
	for _, node := range s.Controls {
		address, err := network.Through("operator", node.Name, node.Admin)
		is.NoErr(err)
		addresses = append(addresses, address)
	}
	stop := make(chan struct{})
	var flapping sync.WaitGroup
	flapping.Go(func() { flap(network, stop) })

	var mu sync.Mutex
	winners := map[uint64]string{}
	var group sync.WaitGroup
	for racer := range 3 {
		group.Go(func() {
			for round := range 5 {
				secret := fmt.Sprintf("racer-%d-round-%d", racer, round)
				version, err := createOne(s, addresses, secret)
				if err != nil {
					t.Errorf("%s: %v", secret, err)
					return
				}
				mu.Lock()
				if other, taken := winners[version]; taken {
					t.Errorf("version %d was won by %s and by %s", version, other, secret)
				}
				winners[version] = secret
				mu.Unlock()
			}
		})
	}
	group.Wait()
	close(stop)
	flapping.Wait()
	status, err := s.status()
	is.NoErr(err)
	is.Equal(status.Head, uint64(1+len(winners))) // no version was made twice
}

// flap loses the answers for some moments, again and again.
func flap(network *faultnet.Network, stop chan struct{}) {
	for {
		_ = network.CutAnswers(func(faultnet.Link) bool { return true })
		time.Sleep(40 * time.Millisecond)
		_ = network.Heal()
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
	}
}

// createOne creates a version with a content of its own, on whatever head there is by
// then, and resends under the same operation ID until it is told the outcome.
func createOne(s *system, addresses []string, secret string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
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
