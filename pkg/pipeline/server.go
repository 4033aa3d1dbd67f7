package pipeline

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// acceptPause is how long the server waits after an accept that failed, for example
	// for lack of descriptors.
	acceptPause = 20 * time.Millisecond
	// shutdownPoll is how often Shutdown looks for connections that are left.
	shutdownPoll = 20 * time.Millisecond
)

// Config sets up a Server.
type Config struct {
	Handler http.Handler
	// Concurrent reports whether a request without a body may be handled beside others of
	// its connection: it may run more than once. Nil is for none.
	Concurrent func(*http.Request) bool
	// MaxConcurrent bounds the requests of one connection that are handled at once.
	MaxConcurrent int
	// HeaderTimeout is for the head of a request from its first byte, and for each further
	// piece of its body; IdleTimeout for a connection without a request, WriteTimeout for
	// each write to a caller.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	WriteTimeout  time.Duration
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// OnPanic, if set, is told of a handler that panicked with anything but
	// http.ErrAbortHandler.
	OnPanic func(value any)
}

// Server serves connections. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	draining  bool
	closed    bool
}

// New returns a server that listens nowhere yet.
func New(cfg Config) *Server {
	cfg.MaxConcurrent = max(1, cfg.MaxConcurrent)
	return &Server{cfg: cfg, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return http.ErrServerClosed
	}
	for {
		rwc, err := l.Accept()
		if err == nil {
			s.serveConn(rwc)
			continue
		}
		if s.isDraining() {
			return http.ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		time.Sleep(acceptPause)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) serveConn(rwc net.Conn) {
	c := newConn(s, rwc)
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.conns[c] = struct{}{}
	}
	draining := s.draining
	s.mu.Unlock()
	if closed {
		rwc.Close()
		return
	}
	if draining {
		c.drain()
	}
	go c.serve()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) held() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for l := range s.listeners {
		l.Close()
	}
}

// Shutdown accepts nothing more, closes each connection after its last answer, and returns when
// none is left or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	for _, c := range s.held() {
		c.drain()
	}
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for len(s.held()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends everything at once.
func (s *Server) Close() error {
	s.closeListeners()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.held() {
		c.kill()
	}
	return nil
}
