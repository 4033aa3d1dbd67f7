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
	// acceptRetryDelay is the delay after a failed accept, for example without free file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks for open connections.
	shutdownPollInterval = 20 * time.Millisecond
)

// Config holds a Server's settings.
type Config struct {
	Handler http.Handler
	// Concurrent reports whether a request without a body may be handled at the same time as others of its
	// connection, because it may run more than once. Nil means that none may.
	Concurrent func(*http.Request) bool
	// MaxConcurrent bounds the requests of one connection that are handled at the same time; at least 1.
	MaxConcurrent int
	// HeaderTimeout bounds reading a head from its first byte, and each read of a body. IdleTimeout bounds the
	// time without a request, WriteTimeout each write to a caller. For WriteTimeout alone zero
	// means no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	WriteTimeout  time.Duration
	// MaxHeaderBytes bounds the size of a request's head.
	MaxHeaderBytes int
	// OnPanic, if set, is called with the value of a handler's panic, except http.ErrAbortHandler.
	OnPanic func(value any)
	// OnUnsendable, if set, is called when a handler set a status that is not sent.
	OnUnsendable func(r *http.Request, err error)
}

// Server serves the connections of its listeners. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	draining  bool
	closed    bool
}

// New returns a server without listeners; see Serve.
func New(cfg Config) *Server {
	cfg.MaxConcurrent = max(1, cfg.MaxConcurrent)
	return &Server{cfg: cfg, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed. It returns another error
// if the listener was closed otherwise.
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
		time.Sleep(acceptRetryDelay)
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

func (s *Server) reportUnsendable(r *http.Request, err error) {
	if s.cfg.OnUnsendable != nil {
		s.cfg.OnUnsendable(r, err)
	}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) openConns() []*conn {
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

// Shutdown closes the listeners, and each connection after its last response. It returns when no connection is
// open, or with the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	for _, c := range s.openConns() {
		c.drain()
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for len(s.openConns()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	s.closeListeners()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.abort()
	}
	return nil
}
