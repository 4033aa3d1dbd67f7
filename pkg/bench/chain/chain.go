// Package chain is a stand-in for services that call each other: a call of depth n does
// its work and then calls, through a node or directly, with depth n-1.
package chain

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Headers that a service passes on with the calls it makes, as services do with those
// of tracing.
var passedOn = []string{"Request-Timeout-Ms", "Request-Retry"}

const maxConnections = 1024

// Config describes a service.
type Config struct {
	// Next are the addresses to which calls of lower depth go, in turn.
	Next []string
	// Prefix is the path before the depth.
	Prefix string
	Work   time.Duration
	// LeafDeclines makes a call of depth zero decline.
	LeafDeclines bool
}

// Service is one running service.
type Service struct {
	config   Config
	listener net.Listener
	server   *http.Server
	client   *http.Client
	calls    atomic.Int64
	leaves   atomic.Int64
}

// Start runs a service on a free port of 127.0.0.1. Its configuration is set later, when
// the nodes that it calls are known.
func Start() (*Service, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start service: %w", err)
	}
	s := &Service{listener: listener, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxConnections, DisableCompression: true,
	}}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Configure sets what the service does. It must not be called while calls are made.
func (s *Service) Configure(config Config) { s.config = config }

// Address returns where the service listens.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Leaves returns how many calls of depth zero arrived.
func (s *Service) Leaves() int64 { return s.leaves.Load() }

// Stop ends the service.
func (s *Service) Stop() {
	_ = s.server.Close()
	s.client.CloseIdleConnections()
}

// ServeHTTP takes one call of the chain.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	depth, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if err != nil {
		http.Error(w, "the path must end in a depth", http.StatusBadRequest)
		return
	}
	number := s.calls.Add(1)
	if s.config.Work > 0 {
		time.Sleep(s.config.Work)
	}
	if depth > 0 {
		s.callNext(w, r, depth-1, number)
		return
	}
	s.leaves.Add(1)
	if s.config.LeafDeclines {
		w.Header().Set("Request-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "leaf\n")
}

func (s *Service) callNext(w http.ResponseWriter, r *http.Request, depth int, number int64) {
	next := s.config.Next[int(number)%len(s.config.Next)]
	response, err := s.forward(r.Context(), r.Header, fmt.Sprintf("http://%s%s/%d", next, s.config.Prefix, depth))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		// This service has begun: it cannot say that the call did not run.
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	_, _ = io.Copy(w, response.Body)
}

func (s *Service) forward(ctx context.Context, header http.Header, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	for _, name := range passedOn {
		if value := header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	return s.client.Do(request)
}
