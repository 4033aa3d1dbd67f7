package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

// pipeNetwork connects servers and clients by net.Pipe. Unlike a socket, a pipe lets the clock of a synctest bubble advance.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// dial connects to a listener. It is a link.DialFunc.
func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	if listener == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case listener.accepted <- &pipeConn{Conn: server, address: listener.address}:
		return &pipeConn{Conn: client, address: listener.address}, nil
	case <-listener.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *pipeNetwork) listen() *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*pipeListener{}
	}
	l := &pipeListener{address: &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: len(n.listeners) + 1}, accepted: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	n.listeners[net.JoinHostPort("10.0.0.1", strconv.Itoa(l.address.Port))] = l
	return l
}

// serve starts a server whose Client uses the network.
func (n *pipeNetwork) serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := &httptest.Server{Listener: n.listen(), Config: &http.Server{Handler: handler}}
	server.Start()
	server.Client().Transport.(*http.Transport).DialContext = n.dial
	t.Cleanup(server.Close)
	return server
}

// pipeListener implements net.Listener.
type pipeListener struct {
	address  *net.TCPAddr
	accepted chan net.Conn
	closed   chan struct{}
	close    func()
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return l.address }

// pipeConn is a connection with the address of its listener.
type pipeConn struct {
	net.Conn
	address net.Addr
}

// LocalAddr implements net.Conn.
func (c *pipeConn) LocalAddr() net.Addr { return c.address }

// RemoteAddr implements net.Conn.
func (c *pipeConn) RemoteAddr() net.Addr { return c.address }
