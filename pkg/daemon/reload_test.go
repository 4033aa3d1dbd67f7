package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// A SIGHUP during a graceful stop must not terminate the process: calls are still in flight.
func TestSIGHUPDoesNotTerminateStoppingProcess(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(os.WriteFile(path, []byte("one"), 0o600))
	reloads := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	watchSettings(ctx, path, log.NewNopLogger(), func() error {
		reloads <- struct{}{}
		return nil
	})
	is.NoErr(os.WriteFile(path, []byte("two"), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	<-reloads
	cancel()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // it would terminate the test if it were not caught
	time.Sleep(50 * time.Millisecond)
}
