// Package integration runs the real programs against stand-ins and checks histories.
package integration

import (
	"context"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/history"
	"bramblelift/pkg/bench/load"
	"bramblelift/pkg/bench/profile"
	"bramblelift/pkg/bench/standin"

	"github.com/matryer/is"
)

const (
	setupLimit = 30 * time.Second
	callLimit  = 10 * time.Second
)

// system is a running fleet with its stand-ins.
type system struct {
	*fleet.Fleet
	profile  profile.Profile
	platform *standin.Platform
	backends *profile.Backends
	history  *history.History
}

// startSystem runs a fleet that serves version 1 of the san-jose profile. change may
// alter the configuration before.
func startSystem(t *testing.T, change func(*fleet.Config)) *system {
	t.Helper()
	is := is.New(t)
	chosen, err := profile.Find("san-jose")
	is.NoErr(err)
	s := &system{profile: chosen, history: &history.History{}}
	s.platform, err = standin.StartPlatform(0)
	is.NoErr(err)
	t.Cleanup(s.platform.Stop)
	s.backends, err = chosen.StartBackends(s.history)
	is.NoErr(err)
	t.Cleanup(s.backends.Stop)
	s.platform.SetMachines(s.backends.Machines())
	config := fleet.Config{
		Folder: filepath.Join(t.TempDir(), "fleet"), Cluster: "test", Zones: chosen.Zones[:2],
		Replicas: 3, Relays: 2, Proxies: 2, ProxyData: true,
		PlatformURL: s.platform.ListURL(), SourceURL: s.platform.SourceURL(),
	}
	if change != nil {
		change(&config)
	}
	s.Fleet, err = fleet.New(config)
	is.NoErr(err)
	t.Cleanup(s.Fleet.Kill)
	is.NoErr(s.Fleet.Start())
	ctx := s.context(t)
	_, _, err = s.Publish(ctx, chosen.BundleText("first"))
	is.NoErr(err)
	is.NoErr(fleet.WaitReady(ctx, s.Proxies))
	is.NoErr(s.awaitEndpoints(s.Proxies))
	return s
}

func (s *system) context(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), setupLimit)
	t.Cleanup(cancel)
	return ctx
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

// TestRequestIsServedEndToEnd is the whole path: a version is created, approved and
// rolled, a call is answered through a proxy, and a second version changes the route.
func TestRequestIsServedEndToEnd(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	first := s.call(s.Proxies[0], http.MethodGet, "/pedidos/stock/1", "first", false)
	is.True(first.Answered() && first.Whole) // served by version 1
	before := s.call(s.Proxies[0], http.MethodGet, "/new/1", "before", false)
	is.Equal(before.Status, http.StatusNotFound)
	is.Equal(before.Outcome, "not-run")

	text := s.profile.BundleText("second") + "\n[[route]]\nname = \"new\"\npath_prefix = \"/new\"\nservice = \"catalogo\"\n"
	number, _, err := s.Publish(s.context(t), text)
	is.NoErr(err)
	is.Equal(number, uint64(2))
	is.NoErr(s.awaitVersion(t, s.Proxies, 2))
	after := s.call(s.Proxies[0], http.MethodGet, "/new/2", "after", false)
	is.True(after.Answered() && after.Whole) // the new route works
}
