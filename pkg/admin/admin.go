// Package admin builds the small HTTP service that every daemon has: status, metrics,
// and the live and ready checks.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Bounds of the service.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// shutdownTimeout is short: nobody waits for an answer that is worth holding up the
	// end of the process for.
	shutdownTimeout = 200 * time.Millisecond
)

// Service is the HTTP service of one daemon.
type Service struct {
	App      *iris.Application
	Registry *prometheus.Registry
	server   *http.Server
	// listeners are where it answers, the administration's own address first.
	listeners []net.Listener
}

// Options fill the service.
type Options struct {
	// Status returns what /status shows as JSON.
	Status func() any
	// Ready reports whether the daemon can do its job, and if not why.
	Ready func() error
	// MetricsListen is a further address at which the service answers, for a collector
	// that does not reach the first; empty for none.
	MetricsListen string
}

// Listen opens the service; Serve runs it.
func Listen(address string, options Options) (*Service, error) {
	listeners, err := listenAll(address, options.MetricsListen)
	if err != nil {
		return nil, err
	}
	app := iris.New().Configure(iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed))
	app.Logger().SetLevel("disable")
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s := &Service{App: app, Registry: registry, listeners: listeners}
	app.Get("/live", func(ctx iris.Context) { _, _ = ctx.WriteString("live\n") })
	app.Get("/ready", func(ctx iris.Context) { answerReady(ctx, options.Ready) })
	app.Get("/status", func(ctx iris.Context) { _ = ctx.JSON(options.Status()) })
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	return s, nil
}

// listenAll opens the addresses that are set: all of them or none.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var opened []net.Listener
	for _, address := range addresses {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range opened {
				other.Close()
			}
			return nil, fmt.Errorf("listen for administration: %w", err)
		}
		opened = append(opened, l)
	}
	return opened, nil
}

func answerReady(ctx iris.Context, ready func() error) {
	if err := ready(); err != nil {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString(err.Error() + "\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

// Address returns where the service listens.
func (s *Service) Address() string { return s.listeners[0].Addr().String() }

// Serve answers until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	if err := s.App.Build(); err != nil {
		return fmt.Errorf("build administration service: %w", err)
	}
	s.server = &http.Server{
		Handler: s.App, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		WriteTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.server.Shutdown(limited)
	})
	ended := make(chan error, len(s.listeners))
	for _, l := range s.listeners {
		go func() { ended <- s.server.Serve(l) }()
	}
	err := <-ended
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve administration: %w", err)
}
