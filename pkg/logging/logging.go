// Package logging makes the process's logger: one line of key=value pairs an event.
package logging

import (
	"io"

	"github.com/go-kit/log"
)

// New returns a logger that writes to w. Each line carries the time, the role and the
// process's name.
func New(w io.Writer, role, name string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "role", role, "name", name)
}
