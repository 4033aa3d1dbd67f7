// Package chain simulates services that call each other: a call of depth n waits for the
// work time and then makes a call of depth n-1, through a node or directly.
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

// propagatedHeaders are copied from an incoming call to the calls it causes, as tracing
// headers are.
var propagatedHeaders = []string{"Request-Timeout-Ms", "Request-Retry"}

const maxIdleConns = 1024

// Config sets how a service handles calls.
type Config struct {
	// Next lists the addresses that receive the calls of lower depth, in rotation.
	Next []string
	// Prefix is the URL path that precedes the depth.
	Prefix string
	// Work is the processing time of each call.
	Work time.Duration
	// LeafDeclines makes the service decline each call of depth zero as not run.
	LeafDeclines bool
}

// Service is an HTTP server that takes part in call chains.
type Service struct {
	config    Config
	listener  net.Listener
	server    *http.Server
	client    *http.Client
	calls     atomic.Int64
	leafCalls atomic.Int64
}

// Start runs a service on a free port of 127.0.0.1. Configure sets its configuration once
// the addresses that it calls are known.
func Start() (*Service, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start chain service: %w", err)
	}
	s := &Service{listener: listener, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Configure replaces the configuration. It must not be called while calls are in flight.
func (s *Service) Configure(config Config) { s.config = config }

// Address returns the host:port that the service listens on.
func (s *Service) Address() string { return s.listener.Addr().String() }

// LeafCalls returns the number of calls of depth zero received so far.
func (s *Service) LeafCalls() int64 { return s.leafCalls.Load() }

// Stop closes the server and its idle client connections.
func (s *Service) Stop() {
	_ = s.server.Close()
	s.client.CloseIdleConnections()
}

// ServeHTTP handles one call; the last path segment is its depth.
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
	s.leafCalls.Add(1)
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
		// Processing has started here, so the call must not be reported as not run.
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
	for _, name := range propagatedHeaders {
		if value := header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	return s.client.Do(request)
}
