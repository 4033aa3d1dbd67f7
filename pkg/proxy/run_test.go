package proxy

import (
	"context"
	"encoding/base64"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/settings"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// testSettings returns the settings of a node with a gate, whose relay is not reachable.
func testSettings(t *testing.T) settings.Proxy {
	t.Helper()
	config := settings.Proxy{
		Common: settings.Common{
			Cluster: "c", Name: "one", Zone: "z", AdminListen: "127.0.0.1:0",
			ApprovalKeys: []string{base64.StdEncoding.EncodeToString(make([]byte, 32))},
		},
		Listen: "127.0.0.1:0", Relays: []settings.Peer{{Name: "r", Address: "127.0.0.1:1"}}, Service: "store",
		GateListen: "127.0.0.2:0", BackendAddress: "127.0.0.1:1", StopTimeout: bundle.Duration(time.Second),
	}
	is.New(t).NoErr(config.Check())
	return config
}

// Guards against a node that neither serves callers nor exits once its listener for them has failed.
func TestNodeExitsWhenItsCallersListenerFails(t *testing.T) {
	is := is.New(t)
	s, err := New(testSettings(t), log.NewNopLogger(), nil)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(s.callerListener.Close())
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the node did not exit")
	}
}
