package control

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/replica"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/storage"
)

const (
	joinInterval = 250 * time.Millisecond
	// createRetry is the pause before an empty folder is tried again on a disk that
	// takes no writes.
	createRetry = 200 * time.Millisecond
)

// knownMembership is the membership as the goroutines besides the driver see it.
type knownMembership struct {
	members []raft.Member
	servers []protocol.Server
	leader  raft.Member
	leading bool
}

// memberName is the replica's name in the membership: with seeds its address, which is all
// that the first replicas know of each other.
func memberName(config settings.Control) string {
	if len(config.Seeds) > 0 {
		return config.Advertise
	}
	return config.Name
}

// ownAddress is where the other replicas reach this one.
func ownAddress(config settings.Control) string {
	for _, peer := range config.Replicas {
		if peer.Name == config.Name {
			return peer.Address
		}
	}
	return config.Advertise
}

// founders returns the members of a new cluster.
func founders(config settings.Control) []raft.Member {
	var all []raft.Member
	for _, peer := range config.Replicas {
		all = append(all, raft.Member{Name: peer.Name, Address: peer.Address, Zone: peer.Zone})
	}
	addresses := config.SeedAddresses()
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		all = append(all, raft.Member{Name: address, Address: address})
	}
	return all
}

// createState makes the state of a replica whose folder is empty. A disk without room is
// waited for: a process that ends and starts again would not help.
func (s *Server) createState(files storage.FileSystem) error {
	founding := s.settings.Found && slices.Contains(s.settings.SeedAddresses(), s.settings.Advertise)
	s.logger.Log("event", "empty_data_folder", "founding", founding)
	for {
		var err error
		if founding {
			err = replica.CreateFirst(files, s.settings.Cluster, memberName(s.settings), founders(s.settings))
		} else {
			err = replica.CreateJoining(files, s.settings.Cluster, memberName(s.settings), replica.NewReplicaID())
		}
		if !errors.Is(err, storage.ErrNoRoom) {
			return err
		}
		time.Sleep(createRetry)
	}
}

// noteMembership lets the other goroutines see the membership in force.
func (s *Server) noteMembership() {
	node := s.replica.Node()
	members := node.Membership().Members
	leader, _ := node.Membership().Find(node.Leader())
	leading := node.Role() == raft.Leader
	before := s.known.Load()
	if before != nil && before.leader == leader && before.leading == leading && slices.Equal(before.members, members) {
		return
	}
	next := &knownMembership{members: slices.Clone(members), leader: leader, leading: leading}
	for _, member := range members {
		if !member.Learner {
			next.servers = append(next.servers, protocol.Server{Address: member.Address, Zone: member.Zone})
		}
	}
	s.known.Store(next)
	if before != nil && !slices.Equal(before.members, members) {
		s.logger.Log("event", "membership", "members", len(members), "voters", len(next.servers), "commit", node.Commit())
	}
}

// SetSeeds takes the replicas to start from out of newer settings.
func (s *Server) SetSeeds(addresses []string) { s.seeds.Store(&addresses) }

// servers lists the replicas that nodes may subscribe to.
func (s *Server) servers() []protocol.Server {
	if known := s.known.Load(); known != nil && len(s.settings.Seeds) > 0 {
		return known.servers
	}
	return nil
}

// keepJoining asks the other replicas for membership for as long as this one does not
// vote, is described otherwise than it is, or hears from no leader: it may have been
// removed while it was cut off.
func (p *peerSet) keepJoining() {
	for p.context.Err() == nil {
		var member raft.Member
		var asked []string
		err := p.server.inspect(p.context, func(now time.Duration) {
			member = p.server.joinRequest(now)
			asked = p.server.otherReplicas()
		})
		if err != nil {
			return
		}
		if member.ID != 0 {
			p.askToJoin(member, asked)
		}
		select {
		case <-p.context.Done():
		case <-time.After(joinInterval):
		}
	}
}

// joinRequest returns what to ask for, or the zero member if there is nothing. It runs in
// the driver's goroutine.
func (s *Server) joinRequest(now time.Duration) raft.Member {
	node := s.replica.Node()
	wanted := raft.Member{
		ID: node.ID(), Name: memberName(s.settings), Zone: s.settings.Zone,
		Address: ownAddress(s.settings), Interface: s.settings.InterfaceListen,
	}
	member, found := node.Membership().Find(node.ID())
	if !found || member.Learner {
		return wanted
	}
	if len(s.settings.Seeds) == 0 {
		return raft.Member{}
	}
	if member != wanted {
		// The leader takes its own request in at once.
		s.replica.Join(now, wanted)
		return wanted
	}
	if now-node.HeardLeaderAt(now) > 2*time.Duration(s.settings.ElectionTimeout) {
		return wanted
	}
	return raft.Member{}
}

// takeJoin takes a request in, and sends it on to the leader unless that was done already.
// It runs in the driver's goroutine.
func (s *Server) takeJoin(join protocol.Join) {
	s.replica.Join(s.clock.Elapsed(), join.Member)
	node := s.replica.Node()
	if leader := node.Leader(); !join.Forwarded && leader != 0 && leader != node.ID() {
		join.Forwarded = true
		s.peers.queue(leader, protocolFrame{kind: protocol.KindJoin, value: join})
	}
}

// otherReplicas returns the addresses of all replicas known from wherever. It runs in the
// driver's goroutine.
func (s *Server) otherReplicas() []string {
	addresses := slices.Clone(*s.seeds.Load())
	for _, peer := range s.settings.Replicas {
		addresses = append(addresses, peer.Address)
	}
	for _, member := range s.replica.Node().Membership().Members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == ownAddress(s.settings) })
}

// askToJoin tells all at once: one that does not answer must not hold up the rest.
func (p *peerSet) askToJoin(member raft.Member, addresses []string) {
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			conn, err := p.dial(address)
			if err != nil {
				return
			}
			defer conn.Close()
			if err := conn.Send(protocol.KindJoin, protocol.Join{Member: member}); err != nil {
				p.server.logger.Log("event", "join_request_failed", "peer", address, "error", err)
			}
		})
	}
	group.Wait()
}

// openInterface opens the listener of the deployment's interface.
func (s *Server) openInterface() error {
	if s.settings.InterfaceListen == "" || s.newInterface == nil {
		return nil
	}
	var err error
	s.interfaceListener, err = net.Listen("tcp", s.settings.InterfaceListen)
	return err
}

// LeaderInterface returns where the leader answers the deployment's interface, as far as
// it is known here, and whether that is this replica.
func (s *Server) LeaderInterface() (address string, self bool) {
	known := s.known.Load()
	if known == nil {
		return "", false
	}
	return known.leader.Interface, known.leading
}

// serveInterface answers the deployment's interface until the context ends.
func (s *Server) serveInterface(ctx context.Context) {
	if s.interfaceListener == nil {
		return
	}
	server := newInterfaceServer(s.newInterface(s))
	context.AfterFunc(ctx, func() { server.Close() })
	_ = server.Serve(s.interfaceListener)
}
