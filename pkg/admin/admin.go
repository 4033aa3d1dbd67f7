// Package admin provides the HTTP service for operators that every daemon runs: status,
// metrics, and the liveness and readiness checks.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits and timeouts of the service.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
	// shutdownTimeout is short, since no response of this service is worth delaying the exit of
	// the process.
	shutdownTimeout = 200 * time.Millisecond
)

// NewServer returns an HTTP server that bounds the time and the size of a request's head, the time of a whole request, and
// the time of a connection without one.
func NewServer(handler http.Handler, requestTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Service is the HTTP service of one daemon, with its metrics registry.
type Service struct {
	// Mux accepts further handlers until Serve is called.
	Mux      *http.ServeMux
	Registry *prometheus.Registry
	server   *http.Server
	// listeners are the open listeners, that of the admin address first.
	listeners []net.Listener
}

// Options configure a Service.
type Options struct {
	// Status returns the value that /status returns as JSON.
	Status func() any
	// Ready returns nil if the daemon is ready, or else the reason, which /ready returns with
	// status 503.
	Ready func() error
	// MetricsListen is a second address of the same service, for a metrics collector that
	// cannot reach the first; empty for none.
	MetricsListen string
}

// Listen opens the service's listeners and registers its handlers. Call Serve to run it.
func Listen(address string, options Options) (*Service, error) {
	listeners, err := listenAll(address, options.MetricsListen)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, options.Ready) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, options.Status()) })
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &Service{Mux: mux, Registry: registry, listeners: listeners}, nil
}

// listenAll listens at all non-empty addresses. If one fails, it closes the others.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var opened []net.Listener
	for _, address := range addresses {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, previous := range opened {
				previous.Close()
			}
			return nil, fmt.Errorf("listen for administration: %w", err)
		}
		opened = append(opened, l)
	}
	return opened, nil
}

func writeReady(w http.ResponseWriter, ready func() error) {
	if err := ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, err.Error()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// WriteJSON writes a response with value as JSON, or status 500 if it cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode answer: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Address returns the admin address that the service listens at, with its actual port.
func (s *Service) Address() string { return s.listeners[0].Addr().String() }

// Serve handles requests at all addresses until ctx ends or a listener fails.
func (s *Service) Serve(ctx context.Context) error {
	s.server = NewServer(s.Mux, requestTimeout)
	s.server.WriteTimeout = requestTimeout
	shutdownDone := make(chan struct{})
	cancelShutdown := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = s.server.Shutdown(shutdownCtx)
	})
	serveErrs := make(chan error, len(s.listeners))
	for _, l := range s.listeners {
		go func() { serveErrs <- s.server.Serve(l) }()
	}
	err := <-serveErrs
	if !cancelShutdown() {
		<-shutdownDone
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve administration: %w", err)
}
