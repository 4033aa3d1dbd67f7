package pipeline

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptRetryDelay is the delay after a failed accept, for example without free file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks for open connections.
	shutdownPollInterval = 20 * time.Millisecond
	// maxBacklog bounds the established connections that Shutdown accepts: closing the listener resets the others.
	maxBacklog = 4096
	// maxAcceptErrors bounds the failed attempts of that, for instance for want of file descriptors.
	maxAcceptErrors = 5
	// acceptTimeout bounds accepting a connection that is established.
	acceptTimeout = time.Second
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
	// OnIncomplete, if set, is called when a response could not be completed, or a received request was dropped, after
	// AnnounceClose or Shutdown. It must not call the server.
	OnIncomplete func(r *http.Request, err error)
	// CloseNotice, if set, holds headers of the response with status 408 that is sent before an idle connection is
	// closed. It answers a request that crosses the close, and states to its caller that it was not handled.
	CloseNotice http.Header
}

// Pending counts what a server has received and not completed.
type Pending struct {
	// Connections is the number of open connections, Receiving that of those on which a part of a request was received.
	Connections, Receiving int
	// Requests is the number of requests that were received and whose responses are not written.
	Requests int
	// Unacknowledged is the number of connections without a request whose caller has not acknowledged all output.
	Unacknowledged int
}

// Server serves the connections of its listeners. It is safe for concurrent use.
type Server struct {
	cfg Config
	// closeNotice is the response that is sent before an idle connection is closed, nil for none.
	closeNotice []byte
	// closing is set once responses announce the close of their connections: from AnnounceClose or Shutdown on.
	closing atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	draining  bool
	// canceled is set once requests are canceled, closed once all connections are aborted.
	canceled bool
	closed   bool
}

// New returns a server without listeners; see Serve.
func New(cfg Config) *Server {
	cfg.MaxConcurrent = max(1, cfg.MaxConcurrent)
	return &Server{cfg: cfg, closeNotice: formatCloseNotice(cfg.CloseNotice), listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// formatCloseNotice returns the bytes of Config.CloseNotice, nil for none.
func formatCloseNotice(header http.Header) []byte {
	if header == nil {
		return nil
	}
	var notice bytes.Buffer
	fmt.Fprintf(&notice, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", http.StatusRequestTimeout, http.StatusText(http.StatusRequestTimeout))
	_ = header.Write(&notice)
	notice.WriteString("\r\n")
	return notice.Bytes()
}

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed. It returns another error
// if the listener was closed otherwise.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		l.Close()
		return http.ErrServerClosed
	}
	defer s.removeListener(l)
	for {
		rwc, err := l.Accept()
		if err == nil {
			s.serveConn(rwc)
			continue
		}
		if s.isDraining() {
			s.acceptEstablished(l)
			l.Close()
			return http.ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		time.Sleep(acceptRetryDelay)
	}
}

// deadlineListener is a listener whose Accept can be bounded in time.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// acceptEstablished accepts the connections that the kernel has established.
func (s *Server) acceptEstablished(l net.Listener) {
	bounded, ok := l.(deadlineListener)
	if !ok {
		return
	}
	errorsLeft := maxAcceptErrors
	for range maxBacklog {
		if errorsLeft == 0 || !acceptPending(l) || bounded.SetDeadline(time.Now().Add(acceptTimeout)) != nil {
			return
		}
		rwc, err := l.Accept()
		if err != nil {
			errorsLeft--
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serveConn(rwc)
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

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
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
	draining, canceled := s.draining, s.canceled
	s.mu.Unlock()
	if closed {
		rwc.Close()
		return
	}
	if draining {
		c.drain()
	}
	if canceled {
		c.cancelRequests()
	}
	go c.serve()
}

func (s *Server) reportUnsendable(r *http.Request, err error) {
	if s.cfg.OnUnsendable != nil {
		s.cfg.OnUnsendable(r, err)
	}
}

func (s *Server) reportIncomplete(r *http.Request, err error) {
	if s.cfg.OnIncomplete != nil && s.closing.Load() {
		s.cfg.OnIncomplete(r, err)
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

// AnnounceClose makes every response from now on announce the close of its connection, those of requests in flight
// included, unless another request was received behind it.
func (s *Server) AnnounceClose() { s.closing.Store(true) }

// stopAccepting makes Serve close its listener once no established connection is left to accept.
func (s *Server) stopAccepting() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for l := range s.listeners {
		bounded, ok := l.(deadlineListener)
		if !ok || bounded.SetDeadline(time.Now()) != nil {
			l.Close()
		}
	}
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
// open, or with the context's error. A connection stays open until its caller has acknowledged all output.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	for _, c := range s.openConns() {
		c.drain()
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for s.isAccepting() || len(s.openConns()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) isAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listeners) > 0
}

// CancelRequests cancels the contexts of all requests, so that their handlers respond without waiting for others, and
// returns how many there are. What was not read yet is not handled any more.
func (s *Server) CancelRequests() int {
	s.mu.Lock()
	s.canceled = true
	s.mu.Unlock()
	requests := 0
	for _, c := range s.openConns() {
		requests += c.cancelAll()
	}
	return requests
}

// Pending returns what was received and is not completed.
func (s *Server) Pending() Pending {
	var all Pending
	for _, c := range s.openConns() {
		c.addPending(&all)
	}
	return all
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
