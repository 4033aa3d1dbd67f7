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

// A SIGHUP that comes while the process stops must not end it: calls are still under way.
// Found by a hunt (kvwdb-petitions, scale-1, seed 637449068412): the process ended 0.3 s
// after its SIGTERM.
func TestHangupDoesNotEndAStoppingProcess(t *testing.T) {
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
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // ended the test's process before
	time.Sleep(50 * time.Millisecond)
}
