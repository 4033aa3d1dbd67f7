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

// Guards against a process that neither serves nor exits after its listener for callers has failed.
func TestRunReturnsWhenTheCallersListenerFails(t *testing.T) {
	is := is.New(t)
	config := settings.Proxy{
		Common: settings.Common{
			Cluster: "c", Name: "one", Zone: "z", AdminListen: "127.0.0.1:0",
			ApprovalKeys: []string{base64.StdEncoding.EncodeToString(make([]byte, 32))},
		},
		Listen: "127.0.0.1:0", GateListen: "127.0.0.1:0", BackendAddress: "127.0.0.1:1", Service: "s",
		Relays: []settings.Peer{{Name: "relay", Address: "127.0.0.1:1"}}, StopTimeout: bundle.Duration(time.Second), CallerNotice: bundle.Duration(time.Millisecond),
	}
	is.NoErr(config.Check())
	server, err := New(config, log.NewNopLogger(), nil)
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- server.Run(context.Background()) }()
	server.callerListener.Close()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return")
	}
}
