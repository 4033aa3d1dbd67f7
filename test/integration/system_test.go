// Package integration runs the real programs behind fault-injecting proxies, against
// simulated back ends and a simulated platform, and checks the recorded histories.
package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bramblelift/pkg/bench/check"
	"bramblelift/pkg/bench/faultnet"
	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/history"
	"bramblelift/pkg/bench/load"
	"bramblelift/pkg/bench/profile"
	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/proxy"

	"github.com/matryer/is"
)

const (
	setupTimeout = 30 * time.Second
	callTimeout  = 10 * time.Second
	// convergenceTimeout bounds the time until an accepted version is in force everywhere.
	convergenceTimeout = 8 * time.Second
	// leaveBound bounds the time until a leaving back end gets no new calls.
	leaveBound = 3 * time.Second
)

// system is a running fleet with its simulated platform and back ends.
type system struct {
	*fleet.Fleet
	t        *testing.T
	network  *faultnet.Network
	profile  profile.Profile
	platform *standin.Platform
	backends *profile.Backends
	history  *history.History
	versions uint64
}

// startSystem starts a fleet in two zones that serves version 1 of the san-jose profile.
// configure, if not nil, alters the fleet's configuration first.
func startSystem(t *testing.T, configure func(*fleet.Config)) *system {
	t.Helper()
	is := is.New(t)
	chosen, err := profile.Find("san-jose")
	is.NoErr(err)
	s := &system{t: t, profile: chosen, history: &history.History{}, network: faultnet.New()}
	t.Cleanup(s.network.Stop)
	s.platform, err = standin.StartPlatform(0)
	is.NoErr(err)
	t.Cleanup(s.platform.Stop)
	s.backends, err = chosen.StartBackends(s.history)
	is.NoErr(err)
	t.Cleanup(s.backends.Stop)
	s.platform.SetMachines(s.backends.Machines())
	config := fleet.Config{
		Folder: filepath.Join(t.TempDir(), "fleet"), Cluster: "test", Zones: chosen.Zones[:2],
		Replicas: 3, Relays: 2, Proxies: 4, ProxyData: true, ProxyFor: s.network.ProxyFor,
		PlatformURL: s.platform.ListURL(), SourceURL: s.platform.SourceURL(),
	}
	if configure != nil {
		configure(&config)
	}
	s.Fleet, err = fleet.New(config)
	is.NoErr(err)
	t.Cleanup(func() {
		s.Fleet.Kill()
		s.printLogTails()
	})
	is.NoErr(s.network.DelayPermanently(func(faultnet.Link) bool { return true }, chosen.ZoneLatency))
	is.NoErr(s.Fleet.Start())
	s.publish()
	is.NoErr(fleet.WaitReady(s.context(), s.Proxies))
	is.NoErr(s.awaitEndpoints(s.Proxies))
	return s
}

// printLogTails logs the end of each process's log if the test has failed.
func (s *system) printLogTails() {
	if !s.t.Failed() {
		return
	}
	const lastBytes = 1500
	for _, node := range s.All() {
		text, _ := os.ReadFile(node.Log)
		s.t.Logf("end of the log of %s:\n%s", node.Name, text[max(0, len(text)-lastBytes):])
	}
}

func (s *system) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), setupTimeout)
	s.t.Cleanup(cancel)
	return ctx
}

// publish creates, approves and rolls out the next version and returns its number.
func (s *system) publish() uint64 {
	s.t.Helper()
	s.versions++
	number, _, err := s.Publish(s.context(), s.profile.BundleText(fmt.Sprintf("credential-%d", s.versions)))
	is.New(s.t).NoErr(err)
	return number
}

// status reads the control plane's status from its leader.
func (s *system) status() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), convergenceTimeout)
	defer cancel()
	var status operator.Status
	err := s.Client().Do(ctx, http.MethodGet, operator.PathStatus, nil, &status)
	return status, err
}

// loseDisk kills a process and removes its data folder.
func (s *system) loseDisk(node *fleet.Member) {
	s.t.Helper()
	node.Kill()
	is.New(s.t).NoErr(os.RemoveAll(s.DataFolder(node.Name)))
}

// awaitFullReplication waits until all replicas are voters that hold all entries.
func (s *system) awaitFullReplication() error {
	return eventually(setupTimeout, func() error {
		status, err := s.status()
		if err != nil {
			return err
		}
		if status.Voters != len(s.Controls) || status.DurableCopies != status.Voters || len(status.Replicas) != status.Voters {
			return fmt.Errorf("%d durable copies at %d voters: %+v", status.DurableCopies, status.Voters, status.Replicas)
		}
		return nil
	})
}

// call sends one call through a node and records it.
func (s *system) call(node *fleet.Member, method, path, id string, once bool) history.Call {
	call := history.Call{ID: id, Once: once, Node: node.Name}
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	load.Send(client, method, "http://"+node.Address+path, nil, 100, &call)
	s.history.AddCall(call)
	return call
}

// startLoad generates calls to the given nodes until stop is called; stop waits until
// the last calls have ended.
func (s *system) startLoad(nodes []*fleet.Member, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	go func() {
		defer close(done)
		load.Run(ctx, load.Config{
			Services: s.profile.Services, Nodes: addresses, Callers: 12, Pause: 10 * time.Millisecond, Timeout: callTimeout, Seed: seed,
		}, s.history)
	}()
	stop = func() {
		cancel()
		<-done
	}
	s.t.Cleanup(stop)
	return stop
}

// checkHistory runs every checker on the recorded history.
func (s *system) checkHistory() {
	s.t.Helper()
	for _, violation := range check.All(s.history.Records(), leaveBound) {
		s.t.Error(violation)
	}
}

// recordVersions records the versions that the nodes have in force.
func (s *system) recordVersions() {
	for _, node := range s.Proxies {
		var status proxy.Status
		if node.Status(&status) == nil && status.Serving {
			s.history.AddVersionObservation(history.VersionObservation{Node: node.Name, Version: status.Version, At: time.Now()})
		}
	}
}

// startRecordingVersions records the nodes' versions every 20 ms until the test ends.
func (s *system) startRecordingVersions() {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				s.recordVersions()
			}
		}
	}()
	s.t.Cleanup(func() {
		close(stop)
		<-done
	})
}
