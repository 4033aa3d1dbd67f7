// Package admin builds the small HTTP service that every daemon has: status, metrics,
// and the live and ready checks.
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
	// Mux takes further calls until Serve.
	Mux      *http.ServeMux
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
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "live\n") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { answerReady(w, options.Ready) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, options.Status()) })
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return &Service{Mux: mux, Registry: registry, listeners: listeners}, nil
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

func answerReady(w http.ResponseWriter, ready func() error) {
	if err := ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, err.Error()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// WriteJSON answers with a value as JSON.
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

// Address returns where the service listens.
func (s *Service) Address() string { return s.listeners[0].Addr().String() }

// Serve answers until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	s.server = &http.Server{
		Handler: s.Mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
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
