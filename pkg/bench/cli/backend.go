package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramblelift/pkg/bench/standin"
)

// backendOptions are the flags of the backend command, which runs one stand-in back end.
type backendOptions struct {
	Listen string        `long:"listen" default:"127.0.0.1:7501" description:"address to listen on"`
	Name   string        `long:"name" default:"orders-1" description:"name in its answers"`
	Slots  int           `long:"slots" default:"6" description:"calls worked on at a time"`
	Work   time.Duration `long:"work" default:"2ms" description:"how long a call takes"`
}

func (o backendOptions) run(out io.Writer) error {
	backend, err := standin.StartBackend(standin.BackendConfig{Listen: o.Listen, Name: o.Name, Slots: o.Slots, Work: o.Work}, nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "back end %s listens on %s\n", o.Name, backend.Address())
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	<-ctx.Done()
	backend.Stop()
	return nil
}
