package control

import (
	"context"
	"encoding/base64"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"bramblelift/pkg/settings"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// singleReplica are the settings of a replica that is the only one.
func singleReplica(t *testing.T) settings.Control {
	t.Helper()
	return settings.Control{
		Common: settings.Common{
			Cluster: "c", Name: "one", AdminListen: "127.0.0.1:0",
			ApprovalKeys: []string{base64.StdEncoding.EncodeToString(make([]byte, 32))},
		},
		Data: filepath.Join(t.TempDir(), "data"), Listen: "127.0.0.1:0",
		Replicas: []settings.Peer{{Name: "one", Address: "127.0.0.1:1"}},
	}
}

// A stop must close the listener however the goroutines fall. Run could call the closing
// off before it began, and then waited for its own listener for ever; that was rare, so
// this is many stops, not a proof.
func TestStopAlwaysEnds(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	config := singleReplica(t)
	is.NoErr(config.Check())
	is.NoErr(Init(config))
	for range 40 {
		server, err := New(config, log.NewNopLogger(), nil)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		time.Sleep(2 * time.Millisecond)
		cancel()
		select {
		case err := <-ended:
			is.NoErr(err)
		case <-time.After(8 * time.Second):
			t.Fatal("the server does not end")
		}
	}
}
