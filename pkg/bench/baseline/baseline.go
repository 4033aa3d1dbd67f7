// Package baseline implements two simple configuration distributors that the product is
// compared with: a server that pushes a full snapshot to every node on each change, and
// one that nodes poll at a fixed period. Both use the product's framing, so that byte
// counts are comparable.
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

// Mode selects how nodes receive snapshots.
type Mode string

const (
	// Push sends the snapshot to every node on each change.
	Push Mode = "snapshot-push"
	// Poll responds to nodes that request the snapshot at a fixed period.
	Poll Mode = "polling"
)

// Frame kinds of the baseline protocol.
const (
	kindSnapshot wire.Kind = iota + 1
	kindPoll
	kindUnchanged
)

const (
	writeTimeout = 5 * time.Second
	readTimeout  = time.Minute
)

// snapshot is the full configuration with all endpoints.
type snapshot struct {
	Revision  uint64
	Version   uint64
	Content   bundle.Content
	Endpoints distribution.EndpointTable
}

// ask is a poll request; Held is the revision that the node already has.
type ask struct{ Held uint64 }

// unchanged responds to a poll whose revision is current.
type unchanged struct{ Revision uint64 }

// Server distributes the current snapshot to nodes by push or poll.
type Server struct {
	mode     Mode
	listener net.Listener
	group    sync.WaitGroup

	mu      sync.Mutex
	current *snapshot
	// conns maps each connection to the channel that signals a new snapshot to its writer.
	conns map[*wire.Conn]chan struct{}
}

// Start runs a server on a free port of 127.0.0.1 until ctx ends. Like the product, it
// reads the platform's machine list at the given interval.
func Start(ctx context.Context, mode Mode, platformURL string, interval time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start baseline server: %w", err)
	}
	s := &Server{mode: mode, listener: listener, current: &snapshot{}, conns: map[*wire.Conn]chan struct{}{}}
	context.AfterFunc(ctx, func() { s.close() })
	s.group.Go(s.accept)
	s.group.Go(func() { s.pollPlatform(ctx, platformURL, interval) })
	return s, nil
}

// Address returns the host:port that nodes connect to.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Wait blocks until all goroutines of the server have exited; cancel its context first.
func (s *Server) Wait() { s.group.Wait() }

func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// SetContent replaces the bundle in the snapshot.
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

func (s *Server) pollPlatform(ctx context.Context, url string, interval time.Duration) {
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
		s.servePolls(conn)
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

func (s *Server) servePolls(conn *wire.Conn) {
	for {
		if _, err := conn.Receive(readTimeout); err != nil {
			return
		}
		var request ask
		if conn.Decode(&request) != nil {
			return
		}
		current := s.snapshot()
		var err error
		if request.Held == current.Revision {
			err = conn.Send(kindUnchanged, unchanged{Revision: current.Revision})
		} else {
			err = conn.Send(kindSnapshot, current)
		}
		if err != nil {
			return
		}
	}
}

// Client is one node that receives snapshots from a baseline server.
type Client struct {
	Name    string
	Address string
	Mode    Mode
	// Period is the time between polls.
	Period time.Duration
	// Phase is the delay before the first poll; it spreads the polls of many nodes.
	Phase time.Duration
	Tally *tally.Tally
	// OnActivate is called with each received snapshot, converted to a state.
	OnActivate func(node string, state *distribution.State)
}

// Run receives snapshots until the context ends, which is not an error, or until the
// connection fails.
func (c *Client) Run(ctx context.Context) error {
	raw, err := net.Dial("tcp", c.Address)
	if err != nil {
		return fmt.Errorf("baseline node %s: connect to server: %w", c.Name, err)
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
			return ignoreAfterCancel(ctx, err)
		}
	}
}

// ignoreAfterCancel drops an error that results from the end of the context.
func ignoreAfterCancel(ctx context.Context, err error) error {
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
		if err := conn.Send(kindPoll, ask{Held: held}); err != nil {
			return ignoreAfterCancel(ctx, err)
		}
		revision, err := c.receive(conn)
		if err != nil {
			return ignoreAfterCancel(ctx, err)
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
	c.OnActivate(c.Name, &distribution.State{
		Revision:  next.Revision,
		Active:    &bundle.Signed{Manifest: bundle.Manifest{Version: next.Version}, Content: next.Content},
		Endpoints: next.Endpoints,
	})
	return next.Revision, nil
}
