package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
)

// settingsPollInterval is the interval at which the settings file is checked for changes
// made without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file on SIGHUP and at each poll, and calls reload if it has changed. SIGHUP
// stays caught without a file and after ctx has ended, since by default it would terminate the process while it
// drains calls.
func watchSettings(ctx context.Context, path string, logger log.Logger, reload func() error) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	previous, _ := os.ReadFile(path)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			signaled := false
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				signaled = true
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			changed := err == nil && !bytes.Equal(text, previous)
			if !changed && !signaled {
				continue
			}
			if changed {
				previous = text
				err = reload()
			}
			logger.Log("event", "settings_reload", "signal", signaled, "changed", changed, "error", err)
		}
	}()
}
