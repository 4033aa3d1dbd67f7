// Package baseline carries two plain ways to distribute configuration, to compare the
// product with: one server that pushes the whole snapshot to every node upon each
// change, and one that nodes poll at a fixed period. Both use the product's framing,
// so that bytes compare.
package baseline

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/bench/tally"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/machinelist"
	"bramblelift/pkg/wire"
)

// Mode is how nodes get snapshots.
type Mode string

const (
	// Push sends the snapshot to every node upon each change.
	Push Mode = "snapshot-push"
	// Poll answers nodes that ask at a fixed period.
	Poll Mode = "polling"
)

// Kinds of frames.
const (
	kindSnapshot wire.Kind = iota + 1
	kindAsk
	kindUnchanged
)

const (
	writeTimeout = 5 * time.Second
	readTimeout  = time.Minute
)

// snapshot is everything at once.
type snapshot struct {
	Revision  uint64
	Version   uint64
	Content   bundle.Content
	Endpoints distribution.EndpointTable
}

type ask struct{ Held uint64 }

type unchanged struct{ Revision uint64 }

// Server holds the snapshot and serves it.
type Server struct {
	mode     Mode
	listener net.Listener
	group    sync.WaitGroup

	mu      sync.Mutex
	current *snapshot
	// conns holds what wakes the writer of each connection.
	conns map[*wire.Conn]chan struct{}
}

// Start runs a server on a free port. It reads the platform's list at the interval, as
// the product does.
func Start(ctx context.Context, mode Mode, platformURL string, interval time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start baseline: %w", err)
	}
	s := &Server{mode: mode, listener: listener, current: &snapshot{}, conns: map[*wire.Conn]chan struct{}{}}
	context.AfterFunc(ctx, func() { s.close() })
	s.group.Go(s.accept)
	s.group.Go(func() { s.readPlatform(ctx, platformURL, interval) })
	return s, nil
}

// Address returns where nodes connect.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Wait waits until a server whose context has ended is gone.
func (s *Server) Wait() { s.group.Wait() }

func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// SetContent puts a bundle in force.
func (s *Server) SetContent(version uint64, content bundle.Content) {
	s.change(func(next *snapshot) { next.Version, next.Content = version, content })
}

func (s *Server) change(apply func(next *snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current
	next.Revision++
	apply(&next)
	s.current = &next
	for _, wakeup := range s.conns {
		select {
		case wakeup <- struct{}{}:
		default:
		}
	}
}

func (s *Server) snapshot() *snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *Server) readPlatform(ctx context.Context, url string, interval time.Duration) {
	tracker := &machinelist.Tracker{}
	reader := machinelist.NewReader(http.DefaultClient, url)
	state := &distribution.State{}
	for ctx.Err() == nil {
		list, err := reader.Read(ctx)
		if err == nil {
			next := state.ChangeEndpoints(tracker.Changes(state.Endpoints, list))
			if next != state {
				state = next
				s.change(func(changed *snapshot) { changed.Endpoints = state.Endpoints })
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := wire.NewConn(raw, wire.DefaultMaxFrame, writeTimeout, nil)
		wakeup := make(chan struct{}, 1)
		wakeup <- struct{}{}
		s.mu.Lock()
		s.conns[conn] = wakeup
		s.mu.Unlock()
		s.group.Go(func() { s.serve(conn, wakeup) })
	}
}

func (s *Server) serve(conn *wire.Conn, wakeup chan struct{}) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	if s.mode == Poll {
		s.answerPolls(conn)
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = conn.Receive(0)
	}()
	for {
		select {
		case <-closed:
			return
		case <-wakeup:
		}
		if conn.Send(kindSnapshot, s.snapshot()) != nil {
			return
		}
	}
}

func (s *Server) answerPolls(conn *wire.Conn) {
	for {
		if _, err := conn.Receive(readTimeout); err != nil {
			return
		}
		var asked ask
		if conn.Decode(&asked) != nil {
			return
		}
		current := s.snapshot()
		var err error
		if asked.Held == current.Revision {
			err = conn.Send(kindUnchanged, unchanged{Revision: current.Revision})
		} else {
			err = conn.Send(kindSnapshot, current)
		}
		if err != nil {
			return
		}
	}
}

// Client is one node of the baseline.
type Client struct {
	Name    string
	Address string
	Mode    Mode
	// Period is the pause between polls; the first one comes at a part of it that
	// spreads the nodes.
	Period time.Duration
	Phase  time.Duration
	Tally  *tally.Tally
	// InForce is told each snapshot as a state.
	InForce func(node string, state *distribution.State)
}

// Run serves until the context ends.
func (c *Client) Run(ctx context.Context) error {
	raw, err := net.Dial("tcp", c.Address)
	if err != nil {
		return fmt.Errorf("baseline node %s: %w", c.Name, err)
	}
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, writeTimeout, c.Tally.Observe)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if c.Mode == Poll {
		return c.poll(ctx, conn)
	}
	for {
		if _, err := c.receive(conn); err != nil {
			return ended(ctx, err)
		}
	}
}

func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (c *Client) poll(ctx context.Context, conn *wire.Conn) error {
	var held uint64
	pause := c.Phase
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = c.Period
		if err := conn.Send(kindAsk, ask{Held: held}); err != nil {
			return ended(ctx, err)
		}
		revision, err := c.receive(conn)
		if err != nil {
			return ended(ctx, err)
		}
		held = revision
	}
}

func (c *Client) receive(conn *wire.Conn) (uint64, error) {
	kind, err := conn.Receive(0)
	if err != nil {
		return 0, err
	}
	if kind == kindUnchanged {
		var same unchanged
		return same.Revision, conn.Decode(&same)
	}
	var next snapshot
	if err := conn.Decode(&next); err != nil {
		return 0, err
	}
	c.InForce(c.Name, &distribution.State{
		Revision:  next.Revision,
		Active:    &bundle.Signed{Manifest: bundle.Manifest{Version: next.Version}, Content: next.Content},
		Endpoints: next.Endpoints,
	})
	return next.Revision, nil
}
