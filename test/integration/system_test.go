// Package integration runs the real programs, behind fault proxies, against stand-ins,
// breaks them, and judges the histories.
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
	setupLimit = 30 * time.Second
	callLimit  = 10 * time.Second
	// convergenceLimit is the bound within which an accepted version must be in force.
	convergenceLimit = 8 * time.Second
	// leaveBound is within what time a leaving back end must get no new work.
	leaveBound = 3 * time.Second
)

// system is a running fleet with its stand-ins.
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

// startSystem runs a fleet of two zones that serves version 1 of the san-jose profile.
// change may alter the configuration before.
func startSystem(t *testing.T, change func(*fleet.Config)) *system {
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
		Replicas: 3, Relays: 2, Proxies: 4, ProxyData: true, Through: s.network.Through,
		PlatformURL: s.platform.ListURL(), SourceURL: s.platform.SourceURL(),
	}
	if change != nil {
		change(&config)
	}
	s.Fleet, err = fleet.New(config)
	is.NoErr(err)
	t.Cleanup(func() {
		s.Fleet.Kill()
		s.keepLogs()
	})
	is.NoErr(s.network.Delay(func(faultnet.Link) bool { return true }, chosen.ZoneLatency))
	is.NoErr(s.Fleet.Start())
	s.publish()
	is.NoErr(fleet.WaitReady(s.context(), s.Proxies))
	is.NoErr(s.awaitEndpoints(s.Proxies))
	return s
}

// keepLogs prints the processes' last lines when a test has failed.
func (s *system) keepLogs() {
	if !s.t.Failed() {
		return
	}
	const lastBytes = 1500
	for _, node := range s.All() {
		text, _ := os.ReadFile(node.Log)
		s.t.Logf("log of %s ends:\n%s", node.Name, text[max(0, len(text)-lastBytes):])
	}
}

func (s *system) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	s.t.Cleanup(cancel)
	return ctx
}

// publish creates, approves and rolls the next version and returns its number.
func (s *system) publish() uint64 {
	s.t.Helper()
	s.versions++
	number, _, err := s.Publish(s.context(), s.profile.BundleText(fmt.Sprintf("credential-%d", s.versions)))
	is.New(s.t).NoErr(err)
	return number
}

// status reads the control plane's status from its leader.
func (s *system) status() (operator.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), convergenceLimit)
	defer cancel()
	var status operator.Status
	err := s.Client().Do(ctx, http.MethodGet, operator.PathStatus, nil, &status)
	return status, err
}

// loseDisk kills a process and removes its data folder.
func (s *system) loseDisk(node *fleet.Node) {
	s.t.Helper()
	node.Kill()
	is.New(s.t).NoErr(os.RemoveAll(s.DataFolder(node.Name)))
}

// awaitRepair waits until all replicas are voters that hold everything.
func (s *system) awaitRepair() error {
	return eventually(setupLimit, func() error {
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

// call sends one call through a proxy and records it.
func (s *system) call(node *fleet.Node, method, path, id string, once bool) history.Call {
	call := history.Call{ID: id, Once: once, Node: node.Name}
	client := &http.Client{Timeout: callLimit}
	defer client.CloseIdleConnections()
	load.Send(client, method, "http://"+node.Address+path, nil, 100, &call)
	s.history.AddCall(call)
	return call
}

// startLoad lets callers call the given nodes until stop, which waits for their end.
func (s *system) startLoad(nodes []*fleet.Node, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	go func() {
		defer close(done)
		load.Run(ctx, load.Config{
			Services: s.profile.Services, Nodes: addresses, Callers: 12, Pause: 10 * time.Millisecond, Timeout: callLimit, Seed: seed,
		}, s.history)
	}()
	stop = func() {
		cancel()
		<-done
	}
	s.t.Cleanup(stop)
	return stop
}

// judge runs every checker over the history.
func (s *system) judge() {
	s.t.Helper()
	for _, violation := range check.All(s.history.Records(), leaveBound) {
		s.t.Error(violation)
	}
}

// sight records the versions that the nodes have in force.
func (s *system) sight() {
	for _, node := range s.Proxies {
		var status proxy.Status
		if node.Status(&status) == nil && status.Serving {
			s.history.AddSighting(history.Sighting{Node: node.Name, Version: status.Version, At: time.Now()})
		}
	}
}

// watch sights the nodes' versions until the test ends.
func (s *system) watch() {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				s.sight()
			}
		}
	}()
	s.t.Cleanup(func() {
		close(stop)
		<-done
	})
}
