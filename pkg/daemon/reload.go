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

// settingsInterval is how often the settings file is looked at: it may change without a
// signal.
const settingsInterval = 5 * time.Second

// watchSettings calls reload when the settings file has changed, told by SIGHUP or not. It
// catches the signal, which would end the process, also if there is no file, and goes on
// catching it after the context has ended: the process still finishes calls then.
func watchSettings(ctx context.Context, path string, logger log.Logger, reload func() error) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	last, _ := os.ReadFile(path)
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				signalled = true
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			changed := err == nil && !bytes.Equal(text, last)
			if !changed && !signalled {
				continue
			}
			if changed {
				last = text
				err = reload()
			}
			logger.Log("event", "settings_reload", "signal", signalled, "changed", changed, "error", err)
		}
	}()
}
