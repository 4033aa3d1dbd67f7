package control

import (
	"context"
	"encoding/base64"
	"net"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"bramblelift/pkg/settings"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// singleReplicaSettings returns the settings of a cluster with one replica.
func singleReplicaSettings(t *testing.T) settings.Control {
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

// Run must always close its listener and return, also if it is stopped just after its start. A race that
// prevents this is rare, so the test repeats the stop.
func TestServerAlwaysStops(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	config := singleReplicaSettings(t)
	is.NoErr(config.Check())
	is.NoErr(Init(config))
	for range 40 {
		server, err := New(context.Background(), config, log.NewNopLogger(), nil)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Run(ctx) }()
		time.Sleep(2 * time.Millisecond)
		cancel()
		select {
		case err := <-stopped:
			is.NoErr(err)
		case <-time.After(8 * time.Second):
			t.Fatal("server did not stop in time")
		}
	}
}

// Guards against a stop that waits until the handshake with a silent replica times out.
func TestStopDoesNotWaitForASilentReplica(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	config := singleReplicaSettings(t)
	for _, name := range []string{"two", "three"} {
		config.Replicas = append(config.Replicas, settings.Peer{Name: name, Address: silent.Addr().String()})
	}
	is.NoErr(config.Check())
	is.NoErr(Init(config))
	server, err := New(context.Background(), config, log.NewNopLogger(), nil)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	conn, err := silent.Accept()
	is.NoErr(err)
	defer conn.Close()
	cancel()
	select {
	case err := <-stopped:
		is.NoErr(err)
	case <-time.After(handshakeTimeout / 3):
		t.Fatal("server did not stop in time")
	}
}
