package daemon

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a replica that ignores SIGTERM while its disk rejects the creation of its state.
func TestControlStopsWhileTheDiskRejectsWrites(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	data := filepath.Join(dir, "data")
	// A folder in place of the temporary log file makes its creation fail.
	is.NoErr(os.MkdirAll(filepath.Join(data, "replica.log.tmp"), 0o700))
	key := base64.StdEncoding.EncodeToString(make([]byte, 32))
	text := fmt.Sprintf("cluster = \"c\"\nname = \"one\"\nzone = \"z\"\nlisten = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\n"+
		"data = %q\nseeds = [\"127.0.0.1:1\"]\napproval_keys = [%q]\n", data, key)
	path := filepath.Join(dir, "control.toml")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	command := controlCommand{commonFlags: commonFlags{Settings: path}}
	ended := make(chan error, 1)
	go func() { ended <- command.run(ctx, PlatformHandlers{}, io.Discard) }()
	select {
	case err := <-ended:
		t.Fatalf("ended before the stop: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	cancel()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(2 * time.Second):
		t.Fatal("did not stop")
	}
}
